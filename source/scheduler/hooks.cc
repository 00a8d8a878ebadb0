// The production hooks and the baseline hooks.

#include "scheduler/hooks.h"

#include <xxhash.h>

#include <algorithm>

#include "scheduler/job_rules.h"
#include "scheduler/plan.h"

namespace parsleyhitch::scheduler {

namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 8;

std::uint64_t HashText(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

// The most important first; among equals, the earliest deadline.
request_order ByImportanceThenDeadline(const request_view& view) {
  return {.major = -static_cast<std::int64_t>(view.rank),
          .minor = view.deadline.time_since_epoch().count()};
}

request_order FirstComeFirstServed(const request_view& view) {
  return {.minor = view.received.time_since_epoch().count()};
}

std::uint32_t UrgentSlotShare(const model::limits& limits,
                              std::uint32_t slots) {
  constexpr std::uint32_t kPermille = 1000;
  return slots * limits.urgent_slots_permille / kPermille;
}

// Exponential backoff with full jitter: a random delay up to a bound that
// doubles with each attempt.
model::duration JitteredBackoff(const model::limits& limits,
                                std::uint32_t attempt,
                                std::uint64_t random) {
  const std::uint32_t doublings = std::min(attempt, kMaxBackoffDoublings);
  const std::int64_t bound = limits.retry_backoff.count() << doublings;
  const std::uint64_t wait = random % static_cast<std::uint64_t>(bound + 1);
  return model::duration(static_cast<std::int64_t>(wait));
}

bool LeavesGuarantees(const model::capacity& use,
                      std::uint32_t total,
                      std::uint32_t accelerators) {
  return use.firm + use.reserved + accelerators <= total;
}

// A member is started only when every member of the gang is at least held.
bool WholeGangIsHeld(const model::placement& placed, const model::member&) {
  return AllReached(placed, model::task_state::kHeld);
}

bool IsAwaitedAttempt(const attempt_view& view) {
  return view.answered == view.awaited;
}

model::run_state RefusalState(const dispatch_view& view) {
  return view.ambiguous_attempts == 0 ? model::run_state::kNotRun
                                      : model::run_state::kOutcomeUnknown;
}

bool HoldsClaim(const model::request_claim* claim, const model::writer& self) {
  return claim != nullptr && claim->by == self.entry &&
         claim->incarnation == self.incarnation && !claim->result.has_value();
}

bool AnySourceReportsLeaving(const leaving_view& view) {
  return view.listed || view.reported_by_endpoint || view.reported_by_peer;
}

bool IsDrained(const drain_view& view) {
  if (view.timed_out)
    return true;
  return view.open_requests == 0 && view.open_calls == 0 &&
         view.pending_records == 0;
}

// Compare-and-swap: the proposal must be based on the version in force.
bool IsBasedOnVersionInForce(const model::manifest* in_force,
                             const model::manifest& proposed) {
  const std::uint64_t version = in_force == nullptr ? 0 : in_force->version;
  return proposed.base == version && proposed.version > version;
}

}  // namespace

hooks DefaultHooks() {
  return hooks{
      .hash = HashText,
      .plan = PlanPlacements,
      .order_request = ByImportanceThenDeadline,
      .urgent_slots = UrgentSlotShare,
      .may_shed = [](const request_view&) { return true; },
      .backoff = JitteredBackoff,
      .leaves_guarantees = LeavesGuarantees,
      .may_start = WholeGangIsHeld,
      .answers_request = IsAwaitedAttempt,
      .refusal_state = RefusalState,
      .may_run_once = HoldsClaim,
      .is_leaving = AnySourceReportsLeaving,
      .may_stop = IsDrained,
      .supersedes = IsBasedOnVersionInForce,
  };
}

hooks BaselineHooks() {
  hooks baseline = DefaultHooks();
  baseline.plan = PlanFirstFit;
  baseline.order_request = FirstComeFirstServed;
  baseline.urgent_slots = [](const model::limits&, std::uint32_t) {
    return 0U;
  };
  baseline.may_shed = [](const request_view&) { return false; };
  return baseline;
}

}  // namespace parsleyhitch::scheduler
