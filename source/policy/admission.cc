// The wait is a lower bound: it counts no work of steps that are not open yet,
// none that arrives later, and takes all capacity for usable.

#include "policy/admission.h"

#include <algorithm>

#include "policy/objective.h"

namespace parsleyhitch::policy {

namespace {

constexpr duration kLeastReported{1000};
// Bounds the size of heartbeats, of which every member gets four a second.
constexpr std::size_t kMostReported = 64;

// A result is of use to callers until three times the objective.
constexpr std::int64_t kUsefulObjectives = 3;
// Estimates of run times are off by up to a half.
constexpr std::int64_t kEstimateMargin = 2;

constexpr duration kLeastRetry{1000};
constexpr duration kLongestRetry{30000};

// Amounts multiplied by milliseconds.
using resource_time = work::resources;

resource_time TimeOf(const queued_work& each) {
  const std::int64_t ms = std::max<std::int64_t>(each.run_time.count(), 0);
  return {.cpu_millis = each.need.cpu_millis * ms,
          .memory_mb = each.need.memory_mb * ms,
          .accelerators = each.need.accelerators * ms};
}

resource_time ElementwiseMin(const resource_time& a, const resource_time& b) {
  return {.cpu_millis = std::min(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::min(a.memory_mb, b.memory_mb),
          .accelerators = std::min(a.accelerators, b.accelerators)};
}

// The time that the capacity takes for the work.
duration TimeFor(const resource_time& amount, const work::resources& capacity) {
  std::int64_t ms = 0;
  const auto count = [&](std::int64_t part, std::int64_t all) {
    if (all > 0)
      ms = std::max(ms, part / all);
  };
  count(amount.cpu_millis, capacity.cpu_millis);
  count(amount.memory_mb, capacity.memory_mb);
  count(amount.accelerators, capacity.accelerators);
  return duration(ms);
}

struct owner_work {
  resource_time amount;
  bool waiting = false;
};

using work_by_owner = std::map<work::workspace_id, owner_work>;

// The work that is done before a further job of the owner, at its priority.
resource_time WorkBefore(const work_by_owner& all, const owner_work& own) {
  resource_time sum;
  for (const auto& [owner, each] : all)
    sum = sum + ElementwiseMin(each.amount, own.amount);
  return sum;
}

bool MayFit(const work::step_spec& step, const work::expected_wait& wait) {
  const work::resources need = NeedOf(step);
  const std::int64_t members = step.gang ? step.tasks : 1;
  return work::Fits(need, wait.largest_free) &&
         work::Fits({.cpu_millis = need.cpu_millis * members,
                     .memory_mb = need.memory_mb * members,
                     .accelerators = need.accelerators * members},
                    wait.free);
}

// Jobs that run at set times or until they are cancelled have no end that a
// wait could make late.
bool HasObjective(const work::job_request& request) {
  return request.when.occurrences == 0 &&
         std::ranges::none_of(request.steps, &work::step_spec::endless);
}

}  // namespace

std::vector<work::expected_wait> ExpectedWaits(
    const std::vector<queued_work>& queued,
    const std::map<work::service_id, service_capacity>& services) {
  std::map<work::service_id, std::map<std::uint32_t, work_by_owner>> sums;
  for (const queued_work& each : queued) {
    const std::uint32_t priority = std::min(each.priority, kLeastPriority);
    owner_work& sum = sums[each.account.service][priority][each.account.owner];
    sum.amount = sum.amount + TimeOf(each);
    sum.waiting = sum.waiting || each.waiting;
  }
  std::vector<work::expected_wait> waits;
  for (const auto& [service, priorities] : sums) {
    const auto capacity = services.find(service);
    if (capacity == services.end())
      continue;
    resource_time more_important;
    for (const auto& [priority, owners] : priorities) {
      for (const auto& [owner, own] : owners) {
        const duration wait = TimeFor(more_important + WorkBefore(owners, own),
                                      capacity->second.all);
        if (own.waiting && wait >= kLeastReported) {
          waits.push_back({.service = service,
                           .owner = owner,
                           .priority = priority,
                           .wait = wait,
                           .free = capacity->second.free,
                           .largest_free = capacity->second.largest_free});
        }
      }
      for (const auto& [owner, own] : owners)
        more_important = more_important + own.amount;
    }
  }
  std::ranges::stable_sort(waits, std::ranges::greater(),
                           &work::expected_wait::wait);
  waits.resize(std::min(waits.size(), kMostReported));
  return waits;
}

admission Admit(const work::submission& job,
                const std::vector<work::expected_wait>& waits) {
  const std::uint32_t priority = std::min(job.priority, kLeastPriority);
  const auto found = std::ranges::find_if(waits, [&](const auto& each) {
    return each.service == job.service && each.owner == job.owner &&
           each.priority == priority;
  });
  if (found == waits.end() || !HasObjective(job.request))
    return {};
  const bool may_fit =
      std::ranges::any_of(job.request.steps, [&](const work::step_spec& step) {
        return step.after.empty() && MayFit(step, *found);
      });
  if (may_fit)
    return {};
  const duration run_time = CriticalPath(job.request.steps);
  const duration useful_until =
      kUsefulObjectives * (run_time + ObjectiveSlack(job));
  const duration acceptable_wait =
      kEstimateMargin * std::max(useful_until - run_time, duration(0));
  if (found->wait <= acceptable_wait)
    return {};
  return {.accepted = false,
          .retry_after = std::clamp(found->wait - acceptable_wait, kLeastRetry,
                                    kLongestRetry)};
}

}  // namespace parsleyhitch::policy
