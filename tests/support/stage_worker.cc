// The worker's side of the platform's page.

#include "support/stage_worker.h"

#include <algorithm>
#include <utility>

namespace parsleyhitch::tests {

namespace {

constexpr work::duration kLongestLease{10000};
constexpr work::duration kGangWait{3000};
constexpr work::duration kStopTime{200};

}  // namespace

work::duration stage_worker::Clock(work::duration now) const {
  const double passed = static_cast<double>((now - born_).count());
  return work::duration(static_cast<std::int64_t>(passed * clock_rate));
}

bool stage_worker::TakesToken(std::uint64_t token) {
  if (token < token_)
    return false;
  token_ = token;
  return true;
}

work::resources stage_worker::Used() const {
  work::resources used;
  for (const auto& [task, run] : running_)
    used = used + spec_of(task).need;
  return used;
}

work::order_outcome stage_worker::Start(const work::start_run& order,
                                        work::duration now) {
  Advance(now);
  if (!TakesToken(order.target.token))
    return work::order_outcome::kFenced;
  const auto found = running_.find(order.task);
  if (found != running_.end() && found->second.attempt == order.attempt)
    return work::order_outcome::kDone;
  const auto closed = closed_.find(order.task);
  const bool old =
      (closed != closed_.end() && order.attempt <= closed->second) ||
      found != running_.end();
  const work::duration until =
      std::min(order.lease_until, Clock(now) + kLongestLease);
  if (Clock(now) >= order.lease_until)
    return work::order_outcome::kTooLate;
  lease_until_ = std::max(lease_until_, until);
  if (old)
    return work::order_outcome::kOutdated;
  running_[order.task] = {.attempt = order.attempt, .started = now};
  if (!work::Fits(Used(), capacity))
    breach("worker " + id.value() + " is over its capacity");
  started(order.task);
  return work::order_outcome::kDone;
}

work::order_outcome stage_worker::Stop(const work::stop_run& order,
                                       work::duration now) {
  Advance(now);
  if (!TakesToken(order.target.token))
    return work::order_outcome::kFenced;
  std::uint64_t& closed = closed_[order.task];
  closed = std::max(closed, order.attempt);
  const auto found = running_.find(order.task);
  const bool stops = found != running_.end() && !found->second.stopping &&
                     found->second.attempt <= order.attempt;
  if (stops) {
    found->second.stopping = true;
    found->second.stops_at = now + kStopTime;
  }
  return work::order_outcome::kDone;
}

work::order_outcome stage_worker::Hold(const work::hold_worker& order,
                                       work::duration now) {
  Advance(now);
  if (!TakesToken(order.target.token))
    return work::order_outcome::kFenced;
  if (order.lease_until) {
    lease_until_ = std::max(
        lease_until_, std::min(*order.lease_until, Clock(now) + kLongestLease));
  }
  std::vector<work::ended_task> kept;
  for (const work::ended_task& each : ended_) {
    if (each.number > order.acknowledged) {
      kept.push_back(each);
      continue;
    }
    const auto at = ended_at_.find(each.number);
    if (at != ended_at_.end() && each.how == work::run_end_kind::kDone)
      noted(each.task, at->second);
  }
  ended_ = std::move(kept);
  return work::order_outcome::kDone;
}

work::worker_listing stage_worker::Listing() const {
  std::vector<work::running_task> running;
  for (const auto& [task, run] : running_)
    running.push_back({.task = task, .attempt = run.attempt});
  return {.life = life, .running = std::move(running), .ended = ended_};
}

bool stage_worker::HasUnlistedEnd(std::uint64_t after) const {
  return last_number_ > after;
}

void stage_worker::End(const work::task_id& task, work::run_end_kind how) {
  const std::uint64_t attempt = running_.at(task).attempt;
  running_.erase(task);
  std::uint64_t& closed = closed_[task];
  closed = std::max(closed, attempt);
  ended_.push_back(
      {.number = ++last_number_, .task = task, .attempt = attempt, .how = how});
  ended_at_[last_number_] = advanced_to_;
  ended(task, how);
}

void stage_worker::Break(const work::task_id& task) {
  if (running_.contains(task))
    End(task, work::run_end_kind::kGangMemberEnded);
}

void stage_worker::FinishWith(const work::task_id& task) {
  if (running_.contains(task))
    End(task, work::run_end_kind::kDone);
}

void stage_worker::Advance(work::duration now) {
  if (!alive)
    return;
  std::vector<std::pair<work::task_id, work::run_end_kind>> due;
  advanced_to_ = now;
  const bool past_lease = Clock(now) >= lease_until_;
  if (past_lease)
    ended_at_.clear();
  const bool lapsed = !running_.empty() && past_lease;
  for (auto& [task, run] : running_) {
    const bool present = gang_present(task, run.attempt);
    if (present && !run.works) {
      run.works = true;
      run.works_since = now;
    }
    if (lapsed)
      due.emplace_back(task, work::run_end_kind::kLeaseExpired);
    else if (run.stopping && now >= run.stops_at)
      due.emplace_back(task, work::run_end_kind::kStopped);
    else if (run.works && fails_everything)
      due.emplace_back(task, work::run_end_kind::kFailed);
    else if (run.works && now - run.works_since >= work_of(task))
      due.emplace_back(task, work::run_end_kind::kDone);
    else if (!run.works && now - run.started >= kGangWait)
      due.emplace_back(task, work::run_end_kind::kGangIncomplete);
  }
  for (const auto& [task, how] : due) {
    if (running_.contains(task))
      End(task, how);
  }
}

void stage_worker::Die() {
  alive = false;
  const auto lost = running_;
  running_.clear();
  for (const auto& [task, run] : lost)
    ended(task, work::run_end_kind::kLeaseExpired);
}

void stage_worker::Restart(work::duration now) {
  Die();
  alive = true;
  life += 1;
  born_ = now;
  closed_.clear();
  ended_.clear();
  ended_at_.clear();
  last_number_ = 0;
  token_ = 0;
  lease_until_ = work::duration(0);
}

}  // namespace parsleyhitch::tests
