// What log lines and metrics tell of failed calls to the store. The events are
// given to one reducer by hand.

#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/reduce.h"

namespace dispatch = parsleyhitch::dispatch;
namespace work = parsleyhitch::work;

namespace {

// An entry that has started, with its first reads in flight.
struct store_health_fixture {
  store_health_fixture() {
    Reduce(work::entry_started{.at = Time(), .incarnation = 1, .seed = 1});
  }

  work::timestamp Time() const { return work::timestamp(now); }

  void Reduce(const work::event& event) {
    dispatch::step step =
        dispatch::Reduce(environment, std::move(state), event);
    state = std::move(step.state);
    for (const work::effect& effect : step.effects) {
      if (const auto* line = std::get_if<work::write_log>(&effect))
        Keep(*line);
      if (const auto* counted = std::get_if<work::count_metric>(&effect))
        counters[counted->name] += counted->increment;
    }
  }

  void Keep(const work::write_log& line) {
    std::string fields;
    for (const work::log_field& each : line.fields)
      fields += each.name + "=" + each.value + " ";
    if (line.decision == "store_lost")
      lost.push_back(fields);
  }

  // Fails the read of the feed in flight. Does nothing else for a while, so
  // that the read is repeated.
  void FailRead(work::feed source,
                work::read_failure why,
                const work::store_exchange& exchange) {
    const dispatch::feed_state& feed =
        source == work::feed::kRecords ? state.records : state.catalogs;
    cr_assert(feed.in_flight.has_value());
    Reduce(work::feed_unread{.at = Time(),
                             .call = *feed.in_flight,
                             .source = source,
                             .why = why,
                             .exchange = exchange});
    now += work::duration(1000);
    Reduce(work::wake_due{.at = Time()});
  }

  void ReadRecordsSnapshot() {
    Reduce(work::newest_read{.at = Time(),
                             .call = *state.records.in_flight,
                             .exchange = {.status = 200, .bytes_read = 70}});
  }

  void ReadCatalogSnapshot() {
    cr_assert(state.catalogs.in_flight.has_value());
    Reduce(work::newest_read{.at = Time(),
                             .call = *state.catalogs.in_flight,
                             .source = work::feed::kCatalog,
                             .exchange = {.status = 200, .bytes_read = 70}});
  }

  const dispatch::environment environment{
      .self = work::entry_id("front-1"),
      .peer_address = "10.0.0.1:7100",
      .behaviour = dispatch::DefaultHooks()};
  work::duration now{1000};
  dispatch::state state;
  std::map<std::string, std::uint64_t> counters;
  // The fields of the `store_lost` lines.
  std::vector<std::string> lost;
};

}  // namespace

Test(store_lost, after_a_refused_read_names_the_feed_and_the_status) {
  store_health_fixture fixture;
  fixture.ReadRecordsSnapshot();
  fixture.FailRead(work::feed::kRecords, work::read_failure::kUnavailable,
                   {.status = 503, .bytes_read = 12});
  cr_assert_eq(fixture.lost.size(), 1U);
  cr_assert_eq(fixture.lost[0],
               "call=read_records outcome=status_503 status=503 "
               "bytes_read=12 ");
}

Test(store_lost, after_a_failed_append_names_the_append) {
  store_health_fixture fixture;
  cr_assert(fixture.state.submissions.in_flight.has_value());
  fixture.Reduce(
      work::append_answered{.at = fixture.Time(),
                            .call = *fixture.state.submissions.in_flight,
                            .outcome = work::append_outcome::kUnknown,
                            .exchange = {.bytes_written = 90}});
  cr_assert_eq(fixture.lost.size(), 1U);
  cr_assert_eq(fixture.lost[0],
               "call=append_submissions outcome=no_answer status=0 "
               "bytes_read=0 ");
  cr_assert_eq(fixture.counters["store_append_submissions_bytes_written"], 90U);
}

// Guards against a stream that can be read hiding that another one can't.
Test(store_lost, of_the_records_lasts_while_the_catalog_is_read) {
  store_health_fixture fixture;
  fixture.FailRead(work::feed::kRecords, work::read_failure::kUnavailable,
                   {.status = 503});
  fixture.ReadCatalogSnapshot();
  fixture.FailRead(work::feed::kRecords, work::read_failure::kUnavailable,
                   {.status = 503});
  cr_assert_eq(fixture.lost.size(), 1U);
  fixture.FailRead(work::feed::kCatalog, work::read_failure::kUnavailable,
                   {.status = 503});
  cr_assert_eq(fixture.lost.size(), 2U);
}

Test(failed_read, while_the_store_counts_as_lost_is_counted_but_not_logged) {
  store_health_fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.FailRead(work::feed::kRecords, work::read_failure::kUnavailable,
                     {.bytes_read = 700});
  }
  cr_assert_eq(fixture.lost.size(), 1U);
  cr_assert_eq(fixture.counters["store_newest_records_no_answer"], 3U);
  cr_assert_eq(fixture.counters["store_newest_records_bytes_read"], 2100U);
}

Test(failed_read, of_each_kind_is_counted_under_its_own_outcome) {
  store_health_fixture fixture;
  fixture.ReadRecordsSnapshot();
  using why = work::read_failure;
  const auto fail = [&](why each, const work::store_exchange& exchange) {
    fixture.FailRead(work::feed::kRecords, each, exchange);
  };
  fail(why::kUnavailable, {.sent = false});
  fail(why::kUnavailable, {});
  fail(why::kUnavailable, {.status = 429});
  fail(why::kUnavailable, {.status = 200, .bytes_read = 9});
  fail(why::kTrimmed, {.status = 410});
  for (const char* outcome :
       {"no_connection", "no_answer", "status_429", "unreadable", "trimmed"}) {
    const std::string counter = std::string("store_read_records_") + outcome;
    cr_assert_eq(fixture.counters[counter], 1U, "%s", counter.c_str());
  }
}
