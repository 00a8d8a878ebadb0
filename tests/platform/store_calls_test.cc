// Tests of the encoding of store effects and the decoding of their outcomes.

#include "platform/store_calls.h"

#include <criterion/criterion.h>

#include "platform/store_codec.h"
#include "wire/work_codec.h"

namespace model = parsleyhitch::model;
namespace platform = parsleyhitch::platform;
namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

const work::timestamp kNow(work::duration(1000));

std::string EncodeOffset(char last) {
  return std::string(7, '\0') + last;
}

struct store_fixture {
  const work::append_records append{
      .call = 4,
      .writer = "leader",
      .epoch = 2,
      .sequence = 9,
      .records = {work::job_cancelled{.job = work::job_id("a1")}}};

  work::append_outcome OutcomeForResponse(std::uint32_t status,
                                          const std::string& body) const {
    const auto decoded = platform::DecodeOutcome(
        append, wire::http_response{.status = status, .body = body}, kNow);
    return std::get<work::append_answered>(decoded.event).outcome;
  }

  static platform::decoded_event DecodeRead(work::feed source,
                                            const std::string& body) {
    return platform::DecodeOutcome(
        work::read_feed{.source = source, .from = 3},
        wire::http_response{.status = 200, .body = body}, kNow);
  }
};

}  // namespace

Test(append, request_carries_writer_epoch_and_sequence) {
  store_fixture fixture;
  const wire::http_request request =
      platform::RequestFor("10.0.0.1:80", fixture.append);
  cr_assert_eq(request.url,
               "http://10.0.0.1:80/log-append?topic=keyed.parsleyhitch&part=0"
               "&producer=leader&epoch=2&sequence=9");
}

Test(append, request_has_the_encoded_bytes_of_its_records) {
  store_fixture fixture;
  const wire::http_request request =
      platform::RequestFor("10.0.0.1:80", fixture.append);
  cr_assert_eq(request.body.size(),
               platform::EncodedBytes(fixture.append.records[0]));
}

Test(append, answered_with_each_status_has_the_matching_outcome) {
  store_fixture fixture;
  using outcome = work::append_outcome;
  cr_assert(fixture.OutcomeForResponse(200, R"({"offset":4,"end":5})") ==
            outcome::kStored);
  cr_assert(fixture.OutcomeForResponse(409, R"({"reason":"fenced"})") ==
            outcome::kFenced);
  cr_assert(fixture.OutcomeForResponse(409, R"({"reason":"seq"})") ==
            outcome::kOutOfSequence);
  cr_assert(fixture.OutcomeForResponse(429, "") == outcome::kRefused);
  cr_assert(fixture.OutcomeForResponse(503, "") == outcome::kRefused);
  cr_assert(fixture.OutcomeForResponse(507, "") == outcome::kRefused);
  cr_assert(fixture.OutcomeForResponse(500, "") == outcome::kUnknown);
  cr_assert(fixture.OutcomeForResponse(200, "damaged") == outcome::kUnknown);
}

// Guards against appends that are repeated although the store never takes them.
Test(append, that_the_store_will_never_take_is_rejected_for_good) {
  store_fixture fixture;
  for (const std::uint32_t status : {400U, 403U, 413U}) {
    cr_assert(fixture.OutcomeForResponse(status, R"({"reason":"size"})") ==
              work::append_outcome::kRejected);
  }
}

Test(append, sent_without_a_response_has_an_unknown_outcome) {
  store_fixture fixture;
  const auto sent = platform::DecodeOutcome(
      fixture.append, wire::http_failure{.sent = true}, kNow);
  const auto unsent = platform::DecodeOutcome(
      fixture.append, wire::http_failure{.sent = false}, kNow);
  cr_assert(std::get<work::append_answered>(sent.event).outcome ==
            work::append_outcome::kUnknown);
  cr_assert(std::get<work::append_answered>(unsent.event).outcome ==
            work::append_outcome::kRefused);
}

Test(append, answered_with_an_error_reports_its_status_and_bytes) {
  store_fixture fixture;
  const auto decoded = platform::DecodeOutcome(
      fixture.append,
      wire::http_response{.status = 503, .body = "busy", .bytes_written = 40},
      kNow);
  const work::store_exchange expected{
      .status = 503, .bytes_written = 40, .bytes_read = 4};
  cr_assert(std::get<work::append_answered>(decoded.event).exchange ==
            expected);
}

Test(page, read_reports_its_status_and_bytes) {
  const std::string body = EncodeOffset(3) + EncodeOffset(0);
  const auto decoded = store_fixture::DecodeRead(work::feed::kRecords, body);
  const work::store_exchange expected{.status = 200, .bytes_read = body.size()};
  cr_assert(std::get<work::feed_read>(decoded.event).exchange == expected);
}

Test(page, refused_by_the_store_reports_its_status_and_bytes) {
  const auto decoded = platform::DecodeOutcome(
      work::read_feed{}, wire::http_response{.status = 429, .body = "slow"},
      kNow);
  const auto& unread = std::get<work::feed_unread>(decoded.event);
  cr_assert(unread.why == work::read_failure::kUnavailable);
  const work::store_exchange expected{.status = 429, .bytes_read = 4};
  cr_assert(unread.exchange == expected);
}

Test(page, without_a_complete_response_reports_what_was_sent_and_received) {
  const auto broken_off = platform::DecodeOutcome(
      work::read_feed{}, wire::http_failure{.sent = true, .bytes_read = 700},
      kNow);
  const auto unconnected = platform::DecodeOutcome(
      work::read_feed{}, wire::http_failure{.sent = false}, kNow);
  const work::store_exchange partial{.bytes_read = 700};
  cr_assert(std::get<work::feed_unread>(broken_off.event).exchange == partial);
  const work::store_exchange unsent{.sent = false};
  cr_assert(std::get<work::feed_unread>(unconnected.event).exchange == unsent);
}

Test(page, with_a_malformed_record_keeps_the_others_and_reports_it) {
  const std::string good =
      wire::EncodeRecord(work::job_cancelled{.job = work::job_id("a1")});
  const std::string body =
      EncodeOffset(5) + EncodeOffset(0) +
      platform::EncodeKeyedRecord("cancelled/a1", good) +
      platform::EncodeKeyedRecord("cancelled/b2", "\xff\xff");
  const auto decoded = store_fixture::DecodeRead(work::feed::kRecords, body);
  const auto& read = std::get<work::feed_read>(decoded.event);
  cr_assert_eq(read.next, 5U);
  cr_assert_eq(read.items.size(), 2U);
  cr_assert(read.items[0].value.has_value());
  cr_assert_not(read.items[1].value.has_value());
  cr_assert_eq(decoded.findings.size(), 1U);
  cr_assert_eq(decoded.findings[0].place, "keyed.parsleyhitch/4/cancelled/b2");
}

// Guards against a job that is taken for deleted because a record of it can't
// be read.
Test(page, tells_a_deleted_record_from_an_unreadable_one) {
  const std::string body = EncodeOffset(2) + EncodeOffset(0) +
                           platform::EncodeKeyedRecord("progress/a1", "") +
                           platform::EncodeKeyedRecord("progress/b2", "\xff");
  const auto decoded = store_fixture::DecodeRead(work::feed::kRecords, body);
  const auto& read = std::get<work::feed_read>(decoded.event);
  cr_assert(read.items.at(0).deleted);
  cr_assert_not(read.items.at(1).deleted);
}

Test(page, truncated_is_reported_as_unread) {
  const std::string body =
      EncodeOffset(5) + EncodeOffset(0) + std::string("\0\0\0\x09xy", 6);
  const auto decoded = store_fixture::DecodeRead(work::feed::kRecords, body);
  const work::store_exchange expected{.status = 200, .bytes_read = body.size()};
  cr_assert(std::get<work::feed_unread>(decoded.event).exchange == expected);
}

Test(page, of_workers_with_an_invalid_entry_skips_and_reports_it) {
  const std::string entry =
      R"({"service":"s","address":"10.0.0.2:80","state":"odd","born":4})";
  const auto decoded = store_fixture::DecodeRead(
      work::feed::kWorkers, EncodeOffset(4) + EncodeOffset(0) +
                                platform::EncodeKeyedRecord("w-1", entry));
  const auto& read = std::get<work::feed_read>(decoded.event);
  cr_assert_not(read.items[0].value.has_value());
  cr_assert_eq(decoded.findings[0].place, "keyed.servers/3/w-1/state");
}

Test(page, of_deleted_records_is_reported_as_trimmed) {
  const auto decoded =
      platform::DecodeOutcome(work::read_feed{.source = work::feed::kRecords},
                              wire::http_response{.status = 410}, kNow);
  cr_assert(std::get<work::feed_unread>(decoded.event).why ==
            work::read_failure::kTrimmed);
}

Test(newest, with_further_pages_gives_the_key_to_continue_after) {
  const auto decoded = platform::DecodeOutcome(
      work::read_newest{.source = work::feed::kCatalog},
      wire::http_response{
          .status = 200,
          .body = R"({"items":[{"key":"wave/1","value":"e30=","offset":2}],
                      "hasMore":true,"end":6})"},
      kNow);
  const auto& read = std::get<work::newest_read>(decoded.event);
  cr_assert_eq(read.next_page_after, "wave/1");
  cr_assert_eq(read.end, 6U);
  cr_assert_eq(read.exchange.status, 200U);
  cr_assert_gt(read.exchange.bytes_read, 0U);
}

Test(catalog, published_is_decoded_with_queues_and_workspaces) {
  const std::string config =
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",
      "service":"s","priority":2,"maxAttempts":3,"stretch":1.5,
      "targetLatencyMs":250}],"services":[{"name":"s"}],
      "tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":72}}]})";
  const auto decoded = store_fixture::DecodeRead(
      work::feed::kCatalog, EncodeOffset(4) + EncodeOffset(0) +
                                platform::EncodeKeyedRecord("config", config));
  const auto& read = std::get<work::feed_read>(decoded.event);
  const auto& published =
      std::get<work::published_catalog>(*read.items[0].value);
  cr_assert_eq(published.content.version, 7U);
  cr_assert_eq(published.content.queues[0].stretch_permille, 1500U);
  cr_assert_eq(published.content.workspaces[0].guaranteed_accelerators, 72U);
  cr_assert_eq(published.encoded, config);
}

Test(catalog, published_with_limits_of_clients_has_them) {
  const std::string config =
      R"({"version":7,"limits":{"maxHeaderBytes":9000,"maxBodyBytes":70000,
      "headerTimeoutMs":1500,"idleTimeoutMs":20000}})";
  const auto decoded = store_fixture::DecodeRead(
      work::feed::kCatalog, EncodeOffset(4) + EncodeOffset(0) +
                                platform::EncodeKeyedRecord("config", config));
  const auto& read = std::get<work::feed_read>(decoded.event);
  const work::client_limits limits =
      std::get<work::published_catalog>(*read.items[0].value).content.limits;
  const work::client_limits expected{.max_header_bytes = 9000,
                                     .max_body_bytes = 70000,
                                     .header_timeout = work::duration(1500),
                                     .idle_timeout = work::duration(20000)};
  cr_assert(limits == expected);
}

// Guards against the end of an evacuation that is taken for an unused key.
Test(read, of_evacuations_tells_which_domain_and_whether_it_ended) {
  const std::string body =
      EncodeOffset(6) + EncodeOffset(0) +
      platform::EncodeKeyedRecord("evacuate/zone-1", "{}") +
      platform::EncodeKeyedRecord("evacuate/zone-2", "") +
      platform::EncodeKeyedRecord("evacuate/", "{}");
  const auto decoded = store_fixture::DecodeRead(work::feed::kCatalog, body);
  const auto& items = std::get<work::feed_read>(decoded.event).items;
  cr_assert_eq(items.size(), 3U);
  const auto& begun = std::get<work::domain_evacuation>(*items[0].value);
  cr_assert_eq(begun.failure_domain.value(), "zone-1");
  cr_assert(begun.active);
  const auto& ended = std::get<work::domain_evacuation>(*items[1].value);
  cr_assert_eq(ended.failure_domain.value(), "zone-2");
  cr_assert_not(ended.active);
  cr_assert_not(items[2].value.has_value());
}
