// Repeated calls to the store: their pauses, and what one append may hold.

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/simulation_fixture.h"

namespace dispatch = parsleyhitch::dispatch;
namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::simulation_fixture;

namespace {

const work::limits kLimits;
// The entry wakes up within this after the pause that it chose.
constexpr work::duration kWakeDelay{1};
// What the store takes.
constexpr std::uint64_t kMaxRecordBytes = 300;
constexpr std::uint64_t kMaxAppendBytes = 1000;

work::published_catalog Catalog() {
  return {.content = {.version = 1,
                      .queues = {{.id = work::queue_id("normal"),
                                  .host = "jobs.example",
                                  .path_prefix = "/normal/",
                                  .service = work::service_id("pool")}},
                      .services = {{.id = work::service_id("pool")}},
                      .workspaces = {{.id = work::workspace_id("team"),
                                      .keys = {"key-1"}}}},
          .encoded = "1"};
}

// A job's ID from a small number.
work::job_id JobId(std::uint32_t number) {
  constexpr std::uint32_t kFirst = 1000;
  return work::job_id("000000000000" + std::to_string(kFirst + number));
}

// The job that the record submits; empty for other records.
work::job_id SubmittedJob(const work::record& record) {
  const auto* submitted = std::get_if<work::job_submitted>(&record);
  return submitted == nullptr ? work::job_id() : submitted->content.job;
}

bool Submits(const work::append_records& append, const work::job_id& job) {
  return std::ranges::any_of(append.records, [&](const work::record& each) {
    return SubmittedJob(each) == job;
  });
}

// One entry whose reducer is driven event by event. The test answers its calls.
class entry_fixture {
 public:
  explicit entry_fixture(
      std::uint64_t seed = 1,
      const std::function<std::uint64_t(const work::record&)>& record_bytes =
          dispatch::DefaultHooks().record_bytes)
      : environment_(EnvironmentWith(record_bytes)) {
    Deliver(work::entry_started{
        .at = now_, .incarnation = kIncarnation, .seed = seed});
  }

  void Deliver(const work::event& event) {
    dispatch::step done =
        dispatch::Reduce(environment_, std::move(state_), event);
    state_ = std::move(done.state);
    for (const work::effect& each : done.effects) {
      if (const auto* wake = std::get_if<work::wake_at>(&each))
        wake_at_ = wake->at;
      else
        effects_.push_back(each);
      if (std::holds_alternative<work::answer_client>(each))
        last_answer_at_ = now_;
    }
  }

  // The next effect of the type that `matches`, once it is due.
  template <typename Effect>
  std::optional<Effect> Next(const std::function<bool(const Effect&)>& matches =
                                 [](const Effect&) { return true; }) {
    constexpr work::duration kWait{5000};
    const work::timestamp until = now_ + kWait;
    while (true) {
      for (auto each = effects_.begin(); each != effects_.end(); ++each) {
        const auto* found = std::get_if<Effect>(&*each);
        if (found == nullptr || !matches(*found))
          continue;
        const Effect result = *found;
        effects_.erase(each);
        return result;
      }
      if (wake_at_ > until)
        return {};
      now_ = std::max(now_, wake_at_);
      Deliver(work::wake_due{.at = now_});
    }
  }

  work::read_newest NextCatalogRead() {
    return Next<work::read_newest>([](const work::read_newest& read) {
             return read.source == work::feed::kCatalog;
           })
        .value();
  }

  void FailRead(const work::read_newest& read) {
    Deliver(work::feed_unread{
        .at = now_, .call = read.call, .source = read.source});
  }

  // Fails that many reads of the catalog. Returns the pauses after them.
  std::vector<work::duration> PausesAfterFailedReads(std::size_t count) {
    std::vector<work::duration> pauses;
    FailRead(NextCatalogRead());
    while (pauses.size() < count) {
      const work::timestamp failed_at = now_;
      const work::read_newest read = NextCatalogRead();
      pauses.push_back(now_ - failed_at);
      FailRead(read);
    }
    return pauses;
  }

  // The next append of this entry's own records.
  std::optional<work::append_records> NextAppend() {
    return Next<work::append_records>([](const work::append_records& append) {
      return append.writer == "entry/entry-0";
    });
  }

  void Answer(const work::append_records& append,
              work::append_outcome outcome) {
    Deliver(work::append_answered{
        .at = now_, .call = append.call, .outcome = outcome});
  }

  // Reads the configuration, so that the entry takes calls, and stores what it
  // writes at its start.
  void Open() {
    Answer(NextAppend().value(), work::append_outcome::kStored);
    Deliver(
        work::newest_read{.at = now_,
                          .call = NextCatalogRead().call,
                          .source = work::feed::kCatalog,
                          .items = {{.key = "config", .value = Catalog()}}});
  }

  // Submits the job; the call has the same number.
  void Submit(std::uint32_t number) {
    Deliver(work::client_called{
        .at = now_,
        .call = number,
        .content = {.verb = work::call_verb::kSubmit,
                    .host = "jobs.example",
                    .path = "/normal/" + JobId(number).value(),
                    .key = "key-1",
                    .request = work::job_request{
                        .spec = "work", .steps = {tests::Step(1, 1)}}}});
  }

  // When the latest submission was answered.
  work::timestamp last_answer_at() const { return last_answer_at_; }

  // The answer to the submission; empty while there is none.
  std::optional<work::answer_kind> AnswerOf(std::uint32_t number) const {
    for (const work::effect& each : effects_) {
      const auto* answer = std::get_if<work::answer_client>(&each);
      if (answer != nullptr && answer->call == number)
        return answer->content.kind;
    }
    return {};
  }

  // Answers appends, each after `kAppendTime`, until none is left. Those that
  // hold `rejected` are rejected. Returns all appends.
  std::vector<work::append_records> AnswerAppends(
      const work::job_id& rejected = {}) {
    constexpr std::size_t kMost = 100;
    constexpr work::duration kAppendTime{5};
    std::vector<work::append_records> appends;
    while (const auto append = NextAppend()) {
      cr_assert(appends.size() < kMost);
      appends.push_back(*append);
      now_ += kAppendTime;
      const bool rejects = !rejected.empty() && Submits(*append, rejected);
      Answer(*append, rejects ? work::append_outcome::kRejected
                              : work::append_outcome::kStored);
    }
    return appends;
  }

  // Fails that many appends. Returns the pauses after them.
  std::vector<work::duration> PausesAfterFailedAppends(
      std::size_t count,
      work::append_outcome outcome) {
    std::vector<work::duration> pauses;
    Answer(NextAppend().value(), outcome);
    while (pauses.size() < count) {
      const work::timestamp failed_at = now_;
      const work::append_records append = NextAppend().value();
      pauses.push_back(now_ - failed_at);
      Answer(append, outcome);
    }
    return pauses;
  }

  work::timestamp now() const { return now_; }

 private:
  static constexpr std::uint64_t kIncarnation = 1;

  static dispatch::environment EnvironmentWith(
      const std::function<std::uint64_t(const work::record&)>& record_bytes) {
    dispatch::environment environment{.self = work::entry_id("entry-0"),
                                      .peer_address = "entry-0:1",
                                      .max_record_bytes = kMaxRecordBytes,
                                      .max_append_bytes = kMaxAppendBytes,
                                      .behaviour = dispatch::DefaultHooks()};
    environment.behaviour.record_bytes = record_bytes;
    return environment;
  }

  const dispatch::environment environment_;
  dispatch::state state_;
  work::timestamp now_{work::duration(1000000)};
  work::timestamp wake_at_;
  work::timestamp last_answer_at_;
  // A list, as effects are not assignable.
  std::list<work::effect> effects_;
};

// Many entries that share one store. Records when the reads of each failed.
class shared_store_fixture {
 public:
  static constexpr std::uint32_t kEntries = 30;
  // Entries that act within this of one another count as acting together.
  static constexpr work::duration kTogether{10};

  shared_store_fixture()
      : fixture_({.entries = kEntries,
                  .on_reduced = [this](std::uint32_t entry,
                                       const work::event& event,
                                       std::chrono::nanoseconds) {
                    Observe(entry, event);
                  }}) {}

  simulation_fixture& site() { return fixture_; }

  // Takes the store away for this time.
  void TakeStoreAway(work::duration time) {
    fixture_.simulation.store().down = true;
    fixture_.simulation.RunFor(time);
    fixture_.simulation.store().down = false;
  }

  // The failed reads from a time on.
  std::vector<work::timestamp> FailuresSince(work::duration since) const {
    std::vector<work::timestamp> found;
    std::ranges::copy_if(
        failures_, std::back_inserter(found),
        [&](work::timestamp at) { return at >= start_ + since; });
    return found;
  }

  // The most failures within `kTogether`.
  static std::size_t MostTogether(const std::vector<work::timestamp>& sorted) {
    std::size_t most = 0;
    for (auto first = sorted.begin(); first != sorted.end(); ++first) {
      const auto last =
          std::upper_bound(first, sorted.end(), *first + kTogether);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

  // For each entry, how long after a trim of the records it read them anew.
  const std::map<std::uint32_t, work::duration>& snapshot_delays() const {
    return snapshot_delays_;
  }

  // The longest time between two failed reads of the records by the entry.
  work::duration LongestPauseOf(std::uint32_t entry) const {
    const std::vector<work::timestamp>& times = record_failures_.at(entry);
    work::duration longest{0};
    for (std::size_t i = 1; i < times.size(); ++i)
      longest = std::max(longest, times[i] - times[i - 1]);
    return longest;
  }

 private:
  void Observe(std::uint32_t entry, const work::event& event) {
    if (const auto* unread = std::get_if<work::feed_unread>(&event)) {
      const bool trimmed = unread->why == work::read_failure::kTrimmed;
      if (trimmed)
        trimmed_at_[entry] = unread->at;
      else
        failures_.push_back(unread->at);
      if (!trimmed && unread->source == work::feed::kRecords)
        record_failures_[entry].push_back(unread->at);
    }
    const auto* newest = std::get_if<work::newest_read>(&event);
    const bool reread = newest != nullptr &&
                        newest->source == work::feed::kRecords &&
                        trimmed_at_.contains(entry);
    if (reread)
      snapshot_delays_[entry] = newest->at - trimmed_at_.at(entry);
  }

  // The simulated clock's epoch.
  const work::timestamp start_{work::duration(1700000000000)};
  std::vector<work::timestamp> failures_;
  std::map<std::uint32_t, std::vector<work::timestamp>> record_failures_;
  std::map<std::uint32_t, work::timestamp> trimmed_at_;
  std::map<std::uint32_t, work::duration> snapshot_delays_;
  simulation_fixture fixture_;
};

}  // namespace

// Guards against reads that keep a store in trouble busy at a constant rate.
Test(reads, that_fail_again_and_again_are_repeated_after_longer_pauses) {
  const auto pauses = entry_fixture().PausesAfterFailedReads(6);
  cr_assert(pauses.front() >= kLimits.read_retry / 2);
  cr_assert(pauses.front() <= kLimits.read_retry + kWakeDelay);
  cr_assert(pauses.back() >= kLimits.store_retry_max / 2);
  for (const work::duration each : pauses)
    cr_assert(each <= kLimits.store_retry_max + kWakeDelay);
}

// Guards against entries that lost the store together and retry in step.
Test(reads, that_fail_at_two_entries_together_are_repeated_apart) {
  cr_assert(entry_fixture(1).PausesAfterFailedReads(6) !=
            entry_fixture(2).PausesAfterFailedReads(6));
}

Test(reads, that_fail_after_one_was_answered_are_repeated_soon_again) {
  entry_fixture fixture;
  fixture.PausesAfterFailedReads(6);
  const work::read_newest read = fixture.NextCatalogRead();
  // One page of several.
  fixture.Deliver(work::newest_read{.at = fixture.now(),
                                    .call = read.call,
                                    .source = work::feed::kCatalog,
                                    .next_page_after = "a"});
  const auto pauses = fixture.PausesAfterFailedReads(1);
  cr_assert(pauses.front() <= kLimits.read_retry + kWakeDelay);
}

// Guards against appends that keep a store in trouble busy at a constant rate.
Test(appends, that_fail_again_and_again_are_repeated_after_longer_pauses) {
  for (const work::append_outcome outcome :
       {work::append_outcome::kRefused, work::append_outcome::kUnknown}) {
    const auto pauses = entry_fixture().PausesAfterFailedAppends(6, outcome);
    cr_assert(pauses.front() <= kLimits.append_retry + kWakeDelay);
    cr_assert(pauses.back() >= kLimits.store_retry_max / 2);
    for (const work::duration each : pauses)
      cr_assert(each <= kLimits.store_retry_max + kWakeDelay);
  }
}

// Guards against entries that lost the store together and retry in step.
Test(appends, that_fail_at_two_entries_together_are_repeated_apart) {
  const auto pauses_of = [](std::uint64_t seed) {
    return entry_fixture(seed).PausesAfterFailedAppends(
        6, work::append_outcome::kRefused);
  };
  cr_assert(pauses_of(1) != pauses_of(2));
}

// Guards against a store in trouble that all entries ask at the same moments.
Test(store, away_for_seconds_is_not_asked_by_all_entries_at_once) {
  shared_store_fixture fixture;
  const work::duration settled =
      fixture.site().simulation.now() + work::duration(2000);
  fixture.TakeStoreAway(work::duration(6000));
  const auto failures = fixture.FailuresSince(settled);
  // Each entry reads two feeds.
  const std::size_t reads = 2 * shared_store_fixture::kEntries;
  cr_assert(shared_store_fixture::MostTogether(failures) <= reads / 4, "%zu",
            shared_store_fixture::MostTogether(failures));
  // The shortest pause that is left by then, for four seconds.
  const auto rounds = static_cast<std::size_t>(work::duration(4000) /
                                               (kLimits.store_retry_max / 2));
  cr_assert(failures.size() <= reads * (rounds + 1), "%zu", failures.size());
}

Test(leader, that_lost_the_store_asks_it_several_times_before_it_is_replaced) {
  shared_store_fixture fixture;
  const std::uint32_t leader = fixture.site().Leader();
  fixture.TakeStoreAway(work::duration(6000));
  cr_assert(fixture.LongestPauseOf(leader) <= kLimits.store_silent / 3);
}

Test(store, back_after_an_outage_has_a_configuration_in_force_within_a_second) {
  shared_store_fixture fixture;
  auto& simulation = fixture.site().simulation;
  fixture.TakeStoreAway(work::duration(6000));
  simulation.Publish({.version = 7});
  simulation.RunFor(work::duration(1000));
  const auto lines = fixture.site().LinesOf("catalog_in_force 7");
  cr_assert_eq(lines.size(), shared_store_fixture::kEntries);
}

// Guards against all entries reading the whole of the records at one moment.
Test(records, trimmed_under_all_entries_are_read_again_one_after_the_other) {
  shared_store_fixture fixture;
  auto& simulation = fixture.site().simulation;
  const std::uint32_t leader = fixture.site().Leader();
  simulation.store().Put(work::feed::kRecords, "cancelled/0",
                         work::job_cancelled{.job = work::job_id("0")});
  simulation.store().Compact();
  simulation.RunFor(work::duration(2000));
  const auto& delays = fixture.snapshot_delays();
  cr_assert_eq(delays.size(), shared_store_fixture::kEntries);
  cr_assert(delays.at(leader) <= shared_store_fixture::kTogether);
  std::vector<work::duration> followers;
  for (const auto& [entry, delay] : delays) {
    if (entry != leader)
      followers.push_back(delay);
  }
  const auto [least, most] = std::ranges::minmax(followers);
  cr_assert(most - least >= kLimits.store_retry_max / 2);
}

// Guards against an append that is refused for good and holds up all callers.
Test(submission, that_the_store_rejects_is_answered_and_delays_no_later_one) {
  entry_fixture fixture;
  fixture.Open();
  fixture.Submit(1);
  const work::append_records append = fixture.NextAppend().value();
  fixture.Submit(2);
  fixture.Answer(append, work::append_outcome::kRejected);
  cr_assert(fixture.AnswerOf(1) == work::answer_kind::kNotRun);
  const work::append_records next = fixture.NextAppend().value();
  cr_assert(Submits(next, JobId(2)) && !Submits(next, JobId(1)));
  fixture.Answer(next, work::append_outcome::kStored);
  cr_assert(fixture.AnswerOf(2) == work::answer_kind::kAccepted);
}

// Guards against sound submissions that are lost with one that is rejected.
Test(batch, with_one_record_that_is_rejected_stores_all_others) {
  constexpr std::uint32_t kJobs = 150;
  constexpr std::uint32_t kRejected = 101;
  entry_fixture fixture;
  fixture.Open();
  for (std::uint32_t job = 0; job < kJobs; ++job)
    fixture.Submit(job);
  const work::timestamp start = fixture.now();
  fixture.AnswerAppends(JobId(kRejected));
  for (std::uint32_t job = 0; job < kJobs; ++job) {
    cr_assert(fixture.AnswerOf(job) == (job == kRejected
                                            ? work::answer_kind::kNotRun
                                            : work::answer_kind::kAccepted));
  }
  cr_assert(fixture.last_answer_at() - start <= kLimits.default_patience / 2);
}

// Guards against an append that the store takes for a repeat of a rejected one.
Test(batch, rejected_after_an_unknown_outcome_is_followed_under_a_new_epoch) {
  entry_fixture fixture;
  fixture.Open();
  fixture.Submit(1);
  const work::append_records first = fixture.NextAppend().value();
  fixture.Answer(first, work::append_outcome::kUnknown);
  fixture.Answer(fixture.NextAppend().value(), work::append_outcome::kRejected);
  cr_assert(fixture.AnswerOf(1) == work::answer_kind::kNotSettled);
  fixture.Submit(2);
  const work::append_records next = fixture.NextAppend().value();
  cr_assert_gt(next.epoch, first.epoch);
  cr_assert(!Submits(next, JobId(1)));
}

// Guards against an append that exceeds what the store takes in one call.
Test(batch, of_large_submissions_stays_within_the_bytes_of_an_append) {
  constexpr std::uint32_t kJobs = 20;
  entry_fixture fixture(1, [](const work::record&) { return kMaxRecordBytes; });
  fixture.Open();
  for (std::uint32_t job = 0; job < kJobs; ++job)
    fixture.Submit(job);
  for (const work::append_records& each : fixture.AnswerAppends())
    cr_assert(each.records.size() <= kMaxAppendBytes / kMaxRecordBytes);
  for (std::uint32_t job = 0; job < kJobs; ++job)
    cr_assert(fixture.AnswerOf(job) == work::answer_kind::kAccepted);
}

// Guards against a submission that the store never takes and that waits.
Test(submission, larger_than_the_store_takes_is_refused_at_once_as_invalid) {
  entry_fixture fixture(1, [](const work::record& record) {
    return SubmittedJob(record) == JobId(1) ? kMaxRecordBytes + 1 : 1;
  });
  fixture.Open();
  fixture.Submit(1);
  cr_assert(fixture.AnswerOf(1) == work::answer_kind::kInvalid);
  fixture.Submit(2);
  for (const work::append_records& each : fixture.AnswerAppends())
    cr_assert(!Submits(each, JobId(1)));
  cr_assert(fixture.AnswerOf(2) == work::answer_kind::kAccepted);
}
