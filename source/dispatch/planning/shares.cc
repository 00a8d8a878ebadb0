// What workspaces hold follows from the placed units, so that a new leader
// needs nothing but the listings.

#include "dispatch/planning/shares.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/loads.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/planning/planning.h"
#include "dispatch/store/store.h"
#include "policy/objective.h"

namespace parsleyhitch::dispatch {

namespace {

// A workspace is put behind others once it holds a whole part more than they
// do. Below that the order of submission serves more jobs in time: each that
// goes before an older one takes some of that one's slack.
constexpr double kShareStep = 1.0;

constexpr duration kShareReportInterval{1000};
// Of the workspaces with the largest shares; the rest show in `units_waiting`.
constexpr std::size_t kReportedWorkspaces = 10;

struct service_room {
  work::resources capacity;
  work::resources free;
  // Of all units that wait for it.
  work::resources wanted;
};

using service_rooms = std::map<work::service_id, service_room>;

policy::share_account AccountOf(const active_job& job) {
  return {.service = ContentOf(job).service, .owner = ContentOf(job).owner};
}

std::vector<policy::share_claim> ClaimsOf(
    const context& ctx,
    const std::vector<waiting_unit>& waiting) {
  std::vector<policy::share_claim> claims;
  claims.reserve(waiting.size());
  for (const waiting_unit& each : waiting) {
    const active_job& job = *ctx.state.leader.jobs.Find(each.unit.job);
    claims.push_back({.rank = static_cast<std::uint32_t>(each.importance),
                      .account = AccountOf(job),
                      .need = NeedOf(StepOf(job, each.unit)) * each.members});
  }
  return claims;
}

service_rooms RoomsOf(const context& ctx,
                      const std::vector<policy::share_claim>& claims) {
  service_rooms rooms;
  for (const auto& [worker, row] : ctx.state.leader.workers) {
    if (!IsSchedulable(row) || !IsAdmitted(ctx, worker) ||
        IsEvacuated(ctx, row.listed().failure_domain))
      continue;
    service_room& room = rooms[row.listed().service];
    const work::resources free =
        row.listed().capacity - LoadOf(ctx, worker).used;
    room.capacity = room.capacity + row.listed().capacity;
    room.free = room.free + placement::ElementwiseMax(free, {});
  }
  for (const policy::share_claim& each : claims) {
    service_room& room = rooms[each.account.service];
    room.wanted = room.wanted + each.need;
  }
  return rooms;
}

// What the placed units on these services hold.
decltype(policy::share_state::held) HeldOn(
    const context& ctx,
    const job_ranks& ranked,
    const std::map<work::service_id, work::resources>& services) {
  decltype(policy::share_state::held) held;
  const work::job_id* current = nullptr;
  const active_job* job = nullptr;
  work::resources* sum = nullptr;
  // The units of a job follow each other.
  for (const auto& [id, each] : ctx.state.leader.units) {
    if (each.phase != unit_phase::kPlaced)
      continue;
    if (current == nullptr || *current != id.job) {
      current = &id.job;
      job = ctx.state.leader.jobs.Find(id.job);
      const bool counts = services.contains(ContentOf(*job).service);
      const auto importance = static_cast<std::uint32_t>(ranked.at(id.job));
      sum = counts ? &held[importance][AccountOf(*job)] : nullptr;
    }
    if (sum == nullptr)
      continue;
    const auto running = static_cast<std::uint32_t>(std::ranges::count_if(
        each.members,
        [](const member& one) { return one.state != member_state::kEnded; }));
    *sum = *sum + NeedOf(StepOf(*job, id)) * running;
  }
  return held;
}

policy::share_state SharesOf(const context& ctx,
                             const job_ranks& ranked,
                             const service_rooms& rooms,
                             bool starts_are_short) {
  policy::share_state shares;
  for (const auto& [service, room] : rooms) {
    if (starts_are_short || !work::Fits(room.wanted, room.free))
      shares.capacity[service] = room.capacity;
  }
  if (shares.capacity.empty())
    return shares;
  shares.held = HeldOn(ctx, ranked, shares.capacity);
  shares.weights = policy::WeightsOf(Guarantees(ctx));
  shares.step = kShareStep;
  return shares;
}

// Tells which waiting units are overdue. The units of a job follow each other,
// so what depends on the job alone is computed once.
class overdue_test {
 public:
  explicit overdue_test(const context& ctx) : ctx_(ctx) {}

  bool operator()(const work::unit_id& id) {
    if (job_ == nullptr || id.job != job_id_) {
      job_id_ = id.job;
      job_ = ctx_.state.leader.jobs.Find(id.job);
      starts_ = policy::EarliestStarts(ContentOf(*job_).request.steps);
      slack_ = policy::ObjectiveSlack(ContentOf(*job_));
    }
    const work::step_spec& step = StepOf(*job_, id);
    // Endless steps have no objective that a start could miss.
    return !step.endless &&
           policy::IsOverdue(ctx_.now() - DueAt(id), slack_, step.estimate);
  }

 private:
  // When the unit could have started at the earliest, by the estimates of the
  // steps before it.
  timestamp DueAt(const work::unit_id& id) const {
    const work::submission& content = ContentOf(*job_);
    const work::schedule& when = content.request.when;
    const timestamp begin =
        when.occurrences == 0 ? content.submitted_at
                              : when.first_due + id.occurrence * when.interval;
    return begin + starts_[id.step];
  }

  const context& ctx_;
  work::job_id job_id_;
  const active_job* job_ = nullptr;
  std::vector<duration> starts_;
  duration slack_{0};
};

void ReportShares(const context& ctx, const policy::share_state& shares) {
  if (ctx.now() < ctx.state.leader.next_share_report_at)
    return;
  ctx.state.leader.next_share_report_at = ctx.now() + kShareReportInterval;
  std::map<policy::share_account, work::resources> held;
  for (const auto& [importance, accounts] : shares.held) {
    if (importance == policy::kGuaranteedRank)
      continue;
    for (const auto& [account, amount] : accounts)
      held[account] = held[account] + amount;
  }
  for (const auto& [service, capacity] : shares.capacity) {
    std::vector<std::pair<std::uint64_t, std::string>> permille;
    for (const auto& [account, amount] : held) {
      const double share = policy::DominantShare(amount, capacity);
      if (account.service == service)
        permille.emplace_back(static_cast<std::uint64_t>(share * 1000),
                              account.owner.value());
    }
    std::ranges::sort(permille, std::ranges::greater());
    permille.resize(std::min(permille.size(), kReportedWorkspaces));
    std::vector<work::log_field> fields;
    fields.reserve(permille.size());
    for (const auto& [share, owner] : permille)
      fields.push_back(Field(owner + "_permille", share));
    ctx.Log("capacity_shared", service.value(), std::move(fields));
  }
}

}  // namespace

std::vector<waiting_unit> ShareFairly(const context& ctx,
                                      const job_ranks& ranked,
                                      std::vector<waiting_unit> waiting,
                                      std::size_t start_allowance) {
  std::vector<policy::share_claim> claims = ClaimsOf(ctx, waiting);
  std::size_t tasks = 0;
  for (const waiting_unit& each : waiting)
    tasks += each.members;
  const policy::share_state shares =
      SharesOf(ctx, ranked, RoomsOf(ctx, claims), tasks > start_allowance);
  if (shares.capacity.empty())
    return waiting;
  ReportShares(ctx, shares);
  overdue_test is_overdue(ctx);
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    waiting[i].overdue = shares.capacity.contains(claims[i].account.service) &&
                         is_overdue(waiting[i].unit);
    claims[i].overdue = waiting[i].overdue;
  }
  const std::vector<std::size_t> order =
      ctx.env.behaviour.share_order(claims, shares);
  const std::vector<bool> passes = policy::PassesEarlier(order);
  std::vector<waiting_unit> ordered;
  ordered.reserve(waiting.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    ordered.push_back(std::move(waiting[order[i]]));
    ordered.back().passes_earlier = passes[i];
  }
  return ordered;
}

}  // namespace parsleyhitch::dispatch
