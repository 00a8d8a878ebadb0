// Times are those of the simulation, except for leases, which use the worker's
// clock.

#include "support/simulated_worker.h"

#include <algorithm>
#include <utility>

namespace parsleyhitch::tests {

namespace {

constexpr work::duration kMaxLease{10000};
constexpr work::duration kGangTimeout{3000};
constexpr work::duration kStopDuration{200};
// Leaves lives for the restarts that follow, so that none comes twice.
constexpr std::uint64_t kSetBackBy = 8;
// A worker lists so many ends at a time, the oldest first.
constexpr std::size_t kListedEnds = 500;

}  // namespace

work::duration simulated_worker::Clock(work::duration now) const {
  const double passed = static_cast<double>((now - started_at_).count());
  return work::duration(static_cast<std::int64_t>(passed * clock_rate));
}

bool simulated_worker::AcceptToken(std::uint64_t token) {
  if (token < newest_token_)
    return false;
  newest_token_ = token;
  return true;
}

work::resources simulated_worker::Used() const {
  work::resources used;
  for (const auto& [task, run] : running_)
    used = used + spec_of(task).need;
  return used;
}

work::order_outcome simulated_worker::Start(const work::start_run& order,
                                            work::duration now) {
  if (replaced)
    return work::order_outcome::kRestarted;
  Advance(now);
  if (!AcceptToken(order.target.token))
    return work::order_outcome::kFenced;
  const auto found = running_.find(order.task);
  if (found != running_.end() && found->second.attempt == order.attempt)
    return work::order_outcome::kDone;
  const auto closed = closed_attempts_.find(order.task);
  const bool outdated =
      (closed != closed_attempts_.end() && order.attempt <= closed->second) ||
      found != running_.end();
  const work::duration until =
      std::min(order.lease_until, Clock(now) + kMaxLease);
  if (Clock(now) >= order.lease_until)
    return work::order_outcome::kTooLate;
  lease_until_ = std::max(lease_until_, until);
  if (outdated)
    return work::order_outcome::kOutdated;
  running_[order.task] = {.attempt = order.attempt, .started = now};
  if (!work::Fits(Used(), capacity))
    on_breach("worker " + id.value() + " is over its capacity");
  on_started(order.task);
  if (is_deadly(order.task))
    Crash();
  return work::order_outcome::kDone;
}

work::order_outcome simulated_worker::Stop(const work::stop_run& order,
                                           work::duration now) {
  if (replaced)
    return work::order_outcome::kRestarted;
  if (refuses_stops_with)
    return *refuses_stops_with;
  Advance(now);
  if (!AcceptToken(order.target.token))
    return work::order_outcome::kFenced;
  std::uint64_t& closed = closed_attempts_[order.task];
  closed = std::max(closed, order.attempt);
  const auto found = running_.find(order.task);
  const bool stops = found != running_.end() && !found->second.stopping &&
                     found->second.attempt <= order.attempt;
  if (stops) {
    found->second.stopping = true;
    found->second.stops_at = now + kStopDuration;
  }
  return work::order_outcome::kDone;
}

work::order_outcome simulated_worker::Hold(const work::hold_worker& order,
                                           work::duration now) {
  if (replaced)
    return work::order_outcome::kRestarted;
  if (refuses_holds_with)
    return *refuses_holds_with;
  Advance(now);
  if (!AcceptToken(order.target.token))
    return work::order_outcome::kFenced;
  if (order.lease_until) {
    lease_until_ = std::max(
        lease_until_, std::min(*order.lease_until, Clock(now) + kMaxLease));
  }
  std::vector<work::ended_task> kept;
  for (const work::ended_task& each : ended_) {
    if (each.number > order.acknowledged) {
      kept.push_back(each);
      continue;
    }
    const auto at = ended_at_.find(each.number);
    if (at != ended_at_.end() && each.how == work::run_end_kind::kDone)
      on_end_acknowledged(each.task, at->second);
  }
  ended_ = std::move(kept);
  return work::order_outcome::kDone;
}

work::worker_listing simulated_worker::Listing() const {
  std::vector<work::running_task> running;
  for (const auto& [task, run] : running_) {
    running.push_back({.task = task,
                       .attempt = run.attempt,
                       .percent = PercentOf(task, run)});
  }
  const std::size_t listed = std::min(ended_.size(), kListedEnds);
  std::vector<work::ended_task> ended(
      ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(listed));
  return {
      .life = life, .running = std::move(running), .ended = std::move(ended)};
}

work::duration simulated_worker::WorkedBy(const simulated_run& run) const {
  return advanced_to_ - run.working_since -
         work::duration(static_cast<std::int64_t>(run.behind));
}

std::uint32_t simulated_worker::PercentOf(const work::task_id& task,
                                          const simulated_run& run) const {
  constexpr std::int64_t kAllPercent = 100;
  if (!run.working)
    return 0;
  const work::duration duration = duration_of(task);
  const work::duration worked = std::min(WorkedBy(run), duration);
  return static_cast<std::uint32_t>(worked * kAllPercent / duration);
}

bool simulated_worker::HasEndAfter(std::uint64_t after) const {
  return last_end_number_ > after;
}

void simulated_worker::End(const work::task_id& task, work::run_end_kind how) {
  const std::uint64_t attempt = running_.at(task).attempt;
  running_.erase(task);
  std::uint64_t& closed = closed_attempts_[task];
  closed = std::max(closed, attempt);
  ended_.push_back({.number = ++last_end_number_,
                    .task = task,
                    .attempt = attempt,
                    .how = how});
  ended_at_[last_end_number_] = advanced_to_;
  on_ended(task, how);
}

void simulated_worker::EndWithGang(const work::task_id& task) {
  if (running_.contains(task))
    End(task, work::run_end_kind::kGangMemberEnded);
}

void simulated_worker::FinishWithGang(const work::task_id& task) {
  if (running_.contains(task))
    End(task, work::run_end_kind::kDone);
}

void simulated_worker::Advance(work::duration now) {
  if (!alive)
    return;
  std::vector<std::pair<work::task_id, work::run_end_kind>> due;
  const work::duration passed = now - advanced_to_;
  for (auto& [task, run] : running_) {
    constexpr double kPermille = 1000.0;
    const double pace = speed * kPermille / slowdown_of(task, *this);
    if (run.working)
      run.behind += (1.0 - pace) * static_cast<double>(passed.count());
  }
  advanced_to_ = now;
  const bool lease_expired = Clock(now) >= lease_until_;
  if (lease_expired)
    ended_at_.clear();
  const bool tasks_expire = !running_.empty() && lease_expired;
  for (auto& [task, run] : running_) {
    const bool present = is_gang_present(task, run.attempt);
    if (present && !run.working) {
      run.working = true;
      run.working_since = now;
    }
    if (tasks_expire)
      due.emplace_back(task, work::run_end_kind::kLeaseExpired);
    else if (run.stopping && now >= run.stops_at)
      due.emplace_back(task, work::run_end_kind::kStopped);
    else if (run.working && fails_all_tasks)
      due.emplace_back(task, work::run_end_kind::kFailed);
    else if (run.working && WorkedBy(run) >= duration_of(task))
      due.emplace_back(task, work::run_end_kind::kDone);
    else if (!run.working && now - run.started >= kGangTimeout)
      due.emplace_back(task, work::run_end_kind::kGangIncomplete);
  }
  for (const auto& [task, how] : due) {
    if (running_.contains(task))
      End(task, how);
  }
}

void simulated_worker::Crash() {
  alive = false;
  const auto lost = running_;
  running_.clear();
  for (const auto& [task, run] : lost)
    on_ended(task, work::run_end_kind::kLeaseExpired);
}

void simulated_worker::Replace(work::duration now) {
  Crash();
  alive = true;
  replaced = true;
  started_at_ = now;
}

void simulated_worker::Restart(work::duration now) {
  Crash();
  alive = true;
  replaced = false;
  life += 1;
  started_at_ = now;
  closed_attempts_.clear();
  ended_.clear();
  ended_at_.clear();
  last_end_number_ = 0;
  newest_token_ = 0;
  lease_until_ = work::duration(0);
}

void simulated_worker::RestartWithEarlierLife(work::duration now) {
  Restart(now);
  earliest_life_ = earliest_life_.value_or(life - 1) - kSetBackBy;
  life = *earliest_life_;
}

}  // namespace parsleyhitch::tests
