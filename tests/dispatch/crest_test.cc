// A crest of load on a large site, with the processor time that events take.
// All figures are a 25th of those of a site with 1,100 workers, and all costs
// 25 times those of an entry with half a core, as its log shows them.

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>

#include "dispatch/simulation_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::simulation_fixture;
using tests::Step;

namespace {

using std::chrono::microseconds;

constexpr std::uint32_t kWorkers = 44;
constexpr std::uint32_t kEntries = 7;
constexpr std::uint32_t kTasksOfJob = 8;
constexpr work::duration kTaskDuration{5000};

// Half the cost of a call to a worker: a busy leader makes 2,000 a second.
constexpr microseconds kCostOfCall{6250};
// Of one order or answer in a message between entries.
constexpr microseconds kCostOfForwarding{750};

// Urgent jobs a second: 500 starts a second on the site, twice that in a crest.
constexpr double kUsualJobs = 2.4;
constexpr double kCrestJobs = 5.2;
constexpr work::duration kStep{100};
constexpr work::duration kCrestLength{6000};
// From the users' bounds: how long after a fault service is back, and within
// which time an urgent job begins.
constexpr work::duration kRecovery{15000};
constexpr work::duration kBeginsWithin{2900};

microseconds CostOf(const work::effect& effect) {
  const bool calls_worker = std::holds_alternative<work::start_run>(effect) ||
                            std::holds_alternative<work::stop_run>(effect) ||
                            std::holds_alternative<work::hold_worker>(effect);
  if (calls_worker)
    return kCostOfCall;
  const auto* sent = std::get_if<work::send_to_peer>(&effect);
  if (sent == nullptr)
    return microseconds(0);
  if (const auto* orders =
          std::get_if<work::orders_forwarded>(&sent->message.content))
    return kCostOfForwarding * orders->orders.size();
  if (const auto* answers =
          std::get_if<work::answers_returned>(&sent->message.content))
    return kCostOfForwarding * answers->answers.size();
  return microseconds(0);
}

microseconds CostOf(const work::event& event) {
  const bool from_worker =
      std::holds_alternative<work::start_answered>(event) ||
      std::holds_alternative<work::stop_answered>(event) ||
      std::holds_alternative<work::hold_answered>(event);
  if (from_worker)
    return kCostOfCall;
  const auto* heard = std::get_if<work::peer_heard>(&event);
  if (heard == nullptr)
    return microseconds(0);
  if (const auto* orders =
          std::get_if<work::orders_forwarded>(&heard->message.content))
    return kCostOfForwarding * orders->orders.size();
  if (const auto* answers =
          std::get_if<work::answers_returned>(&heard->message.content))
    return kCostOfForwarding * answers->answers.size();
  return microseconds(0);
}

microseconds Cost(const work::event& event, const work::effects& effects) {
  microseconds cost = CostOf(event);
  for (const work::effect& each : effects)
    cost += CostOf(each);
  return cost;
}

struct crest_fixture : simulation_fixture {
  crest_fixture()
      : simulation_fixture({.entries = kEntries,
                            .workers = kWorkers,
                            .max_hold_time = work::duration(1000),
                            .cpu_millis = 500,
                            .listed_ends_answer_holds = true,
                            .task_duration = kTaskDuration,
                            .task_duration_spread = work::duration(1000),
                            .workers_per_core = 20,
                            .cost_of = Cost}) {}

  // Submits so many urgent jobs a second, and notes when each begins.
  void Load(double jobs_per_second, work::duration time) {
    const work::duration until = simulation.now() + time;
    while (simulation.now() < until) {
      owed_ += jobs_per_second * std::chrono::duration<double>(kStep).count();
      for (; owed_ >= 1.0; owed_ -= 1.0)
        SubmitJob();
      simulation.RunFor(kStep);
      NoteBegun();
    }
  }

  microseconds LeaderBusyFor() { return simulation.entry(Leader()).busy_for; }

  // The longest wait of a job that was submitted since `from` until it began,
  // or until now if it has not.
  work::duration LongestWait(work::duration from) {
    work::duration longest{0};
    for (const auto& [job, times] : jobs_) {
      if (times.submitted >= from)
        longest = std::max(
            longest, times.begun.value_or(simulation.now()) - times.submitted);
    }
    return longest;
  }

 private:
  struct job_times {
    work::duration submitted{0};
    std::optional<work::duration> begun;
  };

  void SubmitJob() {
    std::string id = std::to_string(jobs_.size() + 1);
    id.insert(0, 16 - id.size(), '0');
    simulation.Submit(Follower(), id, {Step(kTasksOfJob, 1, true)}, "urgent");
    jobs_[id] = {.submitted = simulation.now()};
  }

  void NoteBegun() {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      for (const auto& [task, run] : simulation.worker(i).running()) {
        std::optional<work::duration>& begun = jobs_[task.job.value()].begun;
        begun = begun.value_or(simulation.now());
      }
    }
  }

  std::map<std::string, job_times> jobs_;
  double owed_ = 0;
};

}  // namespace

// Guards against a leader that stays late after a crest: late orders and
// answers that are repeated take the time that the work asked for needs.
Test(urgent_jobs, submitted_after_a_crest_begin_in_time_again) {
  crest_fixture fixture;
  fixture.Load(kUsualJobs, work::duration(7000));
  fixture.Load(kCrestJobs, kCrestLength);
  fixture.Load(kUsualJobs, kRecovery);
  const work::duration recovered = fixture.simulation.now();
  fixture.Load(kUsualJobs, work::duration(7000));
  const work::duration longest = fixture.LongestWait(recovered);
  cr_assert_leq(longest.count(), kBeginsWithin.count());
  cr_assert(fixture.Violation().empty(), "%s", fixture.Violation().c_str());
}

// Guards against a leader whose share of a core does not suffice for a crest:
// calls to workers must leave half of it to decisions.
Test(urgent_jobs,
     submitted_in_a_crest_begin_in_time_by_half_the_leaders_share) {
  crest_fixture fixture;
  fixture.Load(kUsualJobs, work::duration(7000));
  const work::duration crest = fixture.simulation.now();
  const microseconds busy_before = fixture.LeaderBusyFor();
  fixture.Load(kCrestJobs, kCrestLength);
  const microseconds busy = fixture.LeaderBusyFor() - busy_before;
  fixture.Load(kUsualJobs, kBeginsWithin);
  cr_assert_leq(fixture.LongestWait(crest).count(), kBeginsWithin.count());
  cr_assert_leq(busy.count(), microseconds(kCrestLength).count() / 2,
                "busy for %s us", std::to_string(busy.count()).c_str());
}
