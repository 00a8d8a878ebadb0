// Proxies: entries that send a leader's orders to a share of the workers. The
// leader decides every order, in its own name and under its own epoch; a proxy
// makes the calls and returns the answers, both in batches. A leader with more
// workers than its share of a core allows would otherwise be busy with the
// calls alone, while other entries idle.

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/fleet/fleet.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/orders/orders.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr std::uint64_t kMilliCpusPerCpu = 1000;

// Orders that a worker leaves unanswered before the leader calls it itself.
constexpr std::uint32_t kUnansweredOrders = 2;
// A worker that answers the leader this soon was probably there when it did not
// answer its proxy. Workers that crash take longer to come back.
constexpr duration kAnswersAtOnce{1000};
// A proxy that does not reach this many workers is replaced and avoided.
constexpr std::uint32_t kMaxProxyFailures = 3;
constexpr duration kProxyAvoidance{10000};

const work::worker_id& WorkerOf(const work::order& order) {
  return std::visit(
      [](const auto& each) -> const work::worker_id& {
        return each.target.worker;
      },
      order);
}

call_number CallOf(const work::order& order) {
  return std::visit([](const auto& each) { return each.call; }, order);
}

duration TimeoutOf(const work::order& order) {
  return std::visit([](const auto& each) { return each.timeout; }, order);
}

call_number CallOf(const work::order_answer& answer) {
  return std::visit([](const auto& each) { return each.call; }, answer);
}

// The same order as a call of this entry's.
work::order WithCall(const work::start_run& order, call_number call) {
  return work::start_run{.call = call,
                         .target = order.target,
                         .task = order.task,
                         .attempt = order.attempt,
                         .spec = order.spec,
                         .checkpoint = order.checkpoint,
                         .lease_until = order.lease_until,
                         .timeout = order.timeout};
}

work::order WithCall(const work::stop_run& order, call_number call) {
  return work::stop_run{.call = call,
                        .target = order.target,
                        .task = order.task,
                        .attempt = order.attempt,
                        .timeout = order.timeout};
}

work::order WithCall(const work::hold_worker& order, call_number call) {
  return work::hold_worker{.call = call,
                           .target = order.target,
                           .lease_until = order.lease_until,
                           .acknowledged = order.acknowledged,
                           .wait = order.wait,
                           .timeout = order.timeout};
}

// The same answer with the number that the leader gave its order.
work::order_answer WithCall(const work::start_answered& answer,
                            call_number call) {
  return work::start_answered{.at = answer.at,
                              .call = call,
                              .worker = answer.worker,
                              .outcome = answer.outcome,
                              .worker_clock = answer.worker_clock};
}

work::order_answer WithCall(const work::stop_answered& answer,
                            call_number call) {
  return work::stop_answered{.at = answer.at,
                             .call = call,
                             .worker = answer.worker,
                             .outcome = answer.outcome};
}

work::order_answer WithCall(const work::hold_answered& answer,
                            call_number call) {
  return work::hold_answered{.at = answer.at,
                             .call = call,
                             .worker = answer.worker,
                             .outcome = answer.outcome,
                             .worker_clock = answer.worker_clock,
                             .listing = answer.listing};
}

// The answer to an order of whose fate nothing is known.
work::order_answer NoAnswer(const context& ctx,
                            call_number call,
                            const forwarded_order& order) {
  constexpr std::size_t kStart = 0;
  constexpr std::size_t kStop = 1;
  if (order.kind == kStart)
    return work::start_answered{
        .at = ctx.now(), .call = call, .worker = order.worker};
  if (order.kind == kStop)
    return work::stop_answered{
        .at = ctx.now(), .call = call, .worker = order.worker};
  return work::hold_answered{
      .at = ctx.now(), .call = call, .worker = order.worker};
}

void Handle(const context& ctx, const work::start_answered& answer) {
  OnStartAnswered(ctx, answer);
}

void Handle(const context& ctx, const work::stop_answered& answer) {
  OnStopAnswered(ctx, answer);
}

void Handle(const context& ctx, const work::hold_answered& answer) {
  OnHoldAnswered(ctx, answer);
}

// Applies the answer to a forwarded order. That a worker has seen a later epoch
// ends the leadership, and with it all forwarded orders.
void ApplyAnswer(const context& ctx, const work::order_answer& answer) {
  auto& forwarded = ctx.state.leader.forwarded_orders;
  const call_number call = CallOf(answer);
  if (!forwarded.Contains(call))
    return;
  forwarded.Erase(call);
  std::visit([&](const auto& each) { Handle(ctx, each); }, answer);
}

// Treats the orders that match as unanswered.
template <typename Predicate>
std::size_t EndUnanswered(const context& ctx, Predicate matches) {
  std::vector<std::pair<call_number, forwarded_order>> ended;
  for (const auto& [call, order] : ctx.state.leader.forwarded_orders) {
    if (matches(order))
      ended.emplace_back(call, order);
  }
  for (const auto& [call, order] : ended)
    ApplyAnswer(ctx, NoAnswer(ctx, call, order));
  return ended.size();
}

// How many workers an entry with the share of a core calls at most.
std::size_t CapacityOf(const context& ctx, std::uint32_t cpu_millis) {
  return std::uint64_t{cpu_millis} * ctx.limits().workers_per_core /
         kMilliCpusPerCpu;
}

// Judged at the tick before, so that whatever arrived while this process was
// late or paused is read first.
bool IsSilent(const context& ctx, timestamp heard_at) {
  return heard_at + ctx.limits().proxy_silent <=
         ctx.state.leader.previous_tick_at;
}

// The report of an entry that may be a proxy; null for any other.
const proxy_report* UsableReport(const context& ctx,
                                 const work::entry_id& entry) {
  const auto found = ctx.state.leader.proxy_reports.find(entry);
  const bool usable = found != ctx.state.leader.proxy_reports.end() &&
                      found->second.takes_orders &&
                      ctx.now() >= found->second.avoided_until &&
                      !IsSilent(ctx, found->second.heard_at);
  return usable ? &found->second : nullptr;
}

void DropProxy(const context& ctx, const work::entry_id& entry) {
  leader_state& leader = ctx.state.leader;
  const std::size_t workers = leader.proxies.Find(entry)->workers;
  leader.proxies.Erase(entry);
  leader.forwarding.erase(entry);
  std::erase_if(leader.proxy_of,
                [&](const auto& each) { return each.second == entry; });
  const std::size_t unanswered = EndUnanswered(
      ctx, [&](const forwarded_order& each) { return each.proxy == entry; });
  ctx.Warn("proxy_dropped", entry.value(),
           {Field("workers", workers), Field("unanswered", unanswered)});
  ctx.Count("proxies_dropped");
}

void DropUnusableProxies(const context& ctx) {
  std::vector<work::entry_id> unusable;
  for (const auto& [entry, proxy] : ctx.state.leader.proxies) {
    const proxy_report* report = UsableReport(ctx, entry);
    if (report == nullptr || report->incarnation != proxy.incarnation)
      unusable.push_back(entry);
  }
  for (const work::entry_id& entry : unusable)
    DropProxy(ctx, entry);
}

// The entries that may become proxies, those with the most CPU first.
std::vector<const records::stored_member*> Candidates(const context& ctx) {
  std::vector<const records::stored_member*> found;
  for (const auto& [entry, member] : ctx.state.ledger.members) {
    const bool new_one =
        entry != ctx.env.self && !ctx.state.leader.proxies.Contains(entry);
    if (new_one && UsableReport(ctx, entry) != nullptr)
      found.push_back(&member);
  }
  std::ranges::stable_sort(found, [](const auto* a, const auto* b) {
    return a->content.cpu_millis > b->content.cpu_millis;
  });
  return found;
}

void AddProxy(const context& ctx, const work::member_joined& member) {
  const proxy_report& report = *UsableReport(ctx, member.entry);
  const std::size_t capacity = CapacityOf(ctx, member.cpu_millis);
  if (capacity == 0)
    return;
  ctx.Log("proxy_added", member.entry.value(), {Field("capacity", capacity)});
  ctx.state.leader.proxies.Put(member.entry, {.address = member.address,
                                              .incarnation = report.incarnation,
                                              .clock_ahead = report.clock_ahead,
                                              .capacity = capacity});
}

std::size_t CapacityOfProxies(const context& ctx) {
  std::size_t capacity = 0;
  for (const auto& [entry, proxy] : ctx.state.leader.proxies)
    capacity += proxy.capacity;
  return capacity;
}

void AddProxiesIfNeeded(const context& ctx) {
  const std::size_t wanted = ctx.state.leader.workers.size();
  std::size_t capacity = CapacityOfProxies(ctx);
  if (capacity >= wanted)
    return;
  for (const records::stored_member* each : Candidates(ctx)) {
    if (capacity >= wanted)
      return;
    AddProxy(ctx, each->content);
    capacity += CapacityOf(ctx, each->content.cpu_millis);
  }
}

// Assigns the workers without a proxy, in turn, to those with room.
void AssignWorkers(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  auto at = leader.proxies.begin();
  for (const auto& [worker, row] : leader.workers) {
    if (leader.proxy_of.contains(worker) ||
        leader.unanswered_proxies.contains(worker))
      continue;
    const auto has_room = [](const auto& each) {
      return each.second.workers < each.second.capacity;
    };
    at = std::find_if(at, leader.proxies.end(), has_room);
    if (at == leader.proxies.end())
      return;
    const work::entry_id entry = at->first;
    proxy_state proxy = at->second;
    proxy.workers += 1;
    leader.proxy_of[worker] = entry;
    leader.proxies.Put(entry, std::move(proxy));
    at = leader.proxies.LowerBound(entry);
  }
}

void Unassign(const context& ctx, const work::worker_id& worker) {
  leader_state& leader = ctx.state.leader;
  const auto found = leader.proxy_of.find(worker);
  proxy_state proxy = *leader.proxies.Find(found->second);
  proxy.workers -= 1;
  leader.proxies.Put(found->second, std::move(proxy));
  leader.proxy_of.erase(found);
}

// Has the leader itself call the workers that do not answer their proxies:
// either of the two may be at fault.
void TakeOverSilentWorkers(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  std::vector<std::pair<work::worker_id, work::entry_id>> silent;
  for (const auto& [worker, entry] : leader.proxy_of) {
    const worker_state* row = leader.workers.Find(worker);
    if (row != nullptr && row->unanswered_holds >= kUnansweredOrders)
      silent.emplace_back(worker, entry);
  }
  for (const auto& [worker, entry] : silent) {
    leader.unanswered_proxies[worker] = {.proxy = entry, .since = ctx.now()};
    Unassign(ctx, worker);
  }
}

void NoteProxyFailure(const context& ctx, const work::entry_id& entry) {
  leader_state& leader = ctx.state.leader;
  const proxy_state* known = leader.proxies.Find(entry);
  if (known == nullptr)
    return;
  proxy_state proxy = *known;
  proxy.failures += 1;
  if (proxy.failures >= kMaxProxyFailures)
    leader.proxy_reports[entry].avoided_until = ctx.now() + kProxyAvoidance;
  leader.proxies.Put(entry, std::move(proxy));
}

// Gives workers that answer the leader back to the proxies.
void ReleaseAnsweringWorkers(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  std::erase_if(leader.unanswered_proxies, [&](const auto& each) {
    const auto& [worker, silence] = each;
    const worker_state* row = leader.workers.Find(worker);
    if (row == nullptr)
      return true;
    if (row->unanswered_holds > 0)
      return false;
    if (row->answered_at - silence.since < kAnswersAtOnce)
      NoteProxyFailure(ctx, silence.proxy);
    return true;
  });
}

void ForgetDeletedWorkers(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  std::vector<work::worker_id> deleted;
  for (const auto& [worker, entry] : leader.proxy_of) {
    if (!leader.workers.Contains(worker))
      deleted.push_back(worker);
  }
  for (const work::worker_id& worker : deleted)
    Unassign(ctx, worker);
}

// The proxy of the worker, if it has one.
std::optional<work::entry_id> ProxyOf(const context& ctx,
                                      const work::worker_id& worker) {
  const auto& assigned = ctx.state.leader.proxy_of;
  const auto found = assigned.find(worker);
  return found == assigned.end() ? std::nullopt : std::optional(found->second);
}

void FlushOrders(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  std::erase_if(leader.forwarding, [&](auto& each) {
    auto& [entry, batch] = each;
    if (batch.flush_at > ctx.now())
      return false;
    const proxy_state& proxy = *leader.proxies.Find(entry);
    ctx.Count("orders_forwarded", batch.orders.size());
    SendToPeer(ctx, proxy.address,
               work::orders_forwarded{.epoch = leader.epoch,
                                      .address = ctx.env.peer_address,
                                      .incarnation = proxy.incarnation,
                                      .orders = std::move(batch.orders)});
    return true;
  });
}

void FlushAnswers(const context& ctx) {
  proxying_state& proxying = ctx.state.proxying;
  if (proxying.returning.empty() || proxying.flush_at > ctx.now())
    return;
  for (auto& [address, each] : proxying.returning) {
    SendToPeer(ctx, address,
               work::answers_returned{.epoch = each.epoch,
                                      .answers = std::move(each.answers)});
  }
  proxying.returning.clear();
}

}  // namespace

void SendOrder(const context& ctx, work::order order) {
  leader_state& leader = ctx.state.leader;
  const work::worker_id worker = WorkerOf(order);
  const std::optional<work::entry_id> entry = ProxyOf(ctx, worker);
  if (!entry) {
    std::visit([&](auto& each) { ctx.Emit(std::move(each)); }, order);
    return;
  }
  leader.forwarded_orders.Put(CallOf(order),
                              {.proxy = *entry,
                               .worker = worker,
                               .kind = order.index(),
                               .expires_at = ctx.now() + TimeoutOf(order) +
                                             ctx.limits().forward_margin});
  forwarding_batch& batch = leader.forwarding[*entry];
  if (batch.orders.empty())
    batch.flush_at = ctx.now() + ctx.limits().forward_pause;
  batch.orders.push_back(std::move(order));
}

duration ClockAheadFor(const context& ctx, const work::worker_id& worker) {
  const std::optional<work::entry_id> entry = ProxyOf(ctx, worker);
  return entry ? ctx.state.leader.proxies.Find(*entry)->clock_ahead
               : duration(0);
}

void NoteProxyReport(const context& ctx,
                     const work::entry_id& from,
                     const work::heartbeat_reply& message) {
  leader_state& leader = ctx.state.leader;
  proxy_report& report = leader.proxy_reports[from];
  report = {.heard_at = ctx.now(),
            .incarnation = message.incarnation,
            .takes_orders = message.takes_orders,
            .clock_ahead = message.clock - ctx.now(),
            .avoided_until = report.avoided_until};
  const proxy_state* known = leader.proxies.Find(from);
  if (known == nullptr || known->incarnation != message.incarnation)
    return;
  proxy_state proxy = *known;
  proxy.clock_ahead = message.clock - ctx.now();
  leader.proxies.Put(from, std::move(proxy));
}

void AdvanceProxies(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  ReleaseAnsweringWorkers(ctx);
  DropUnusableProxies(ctx);
  EndUnanswered(ctx, [&](const forwarded_order& each) {
    return each.expires_at <= leader.previous_tick_at;
  });
  leader.previous_tick_at = ctx.now();
  ForgetDeletedWorkers(ctx);
  TakeOverSilentWorkers(ctx);
  if (leader.workers.size() <= CapacityOf(ctx, ctx.env.cpu_millis))
    return;
  AddProxiesIfNeeded(ctx);
  AssignWorkers(ctx);
}

void FlushForwarded(const context& ctx) {
  FlushOrders(ctx);
  FlushAnswers(ctx);
}

std::optional<timestamp> NextForwardAt(const context& ctx) {
  std::optional<timestamp> next;
  for (const auto& [entry, batch] : ctx.state.leader.forwarding)
    next = std::min(next.value_or(batch.flush_at), batch.flush_at);
  const proxying_state& proxying = ctx.state.proxying;
  if (!proxying.returning.empty())
    next = std::min(next.value_or(proxying.flush_at), proxying.flush_at);
  return next;
}

namespace {

// Answers a start in an evacuated failure domain, of which the leader may not
// know yet, instead of sending it. False for any other order.
bool WithholdStart(const context& ctx,
                   const work::order& order,
                   call_number call) {
  const auto* start = std::get_if<work::start_run>(&order);
  if (start == nullptr || !IsEvacuated(ctx, start->target.failure_domain))
    return false;
  ctx.Log("start_withheld", NameOf(start->task),
          {Field("worker", start->target.worker.value()),
           Field("why", std::string("domain evacuated"))});
  return ReturnAnswer(
      ctx, work::start_answered{.at = ctx.now(),
                                .call = call,
                                .worker = start->target.worker,
                                .outcome = work::order_outcome::kTooLate});
}

}  // namespace

void OnOrdersForwarded(const context& ctx,
                       const work::orders_forwarded& message) {
  ObserveEpoch(ctx, message.epoch, "orders");
  const bool outdated = message.epoch < ctx.state.leadership.epoch ||
                        message.incarnation != ctx.state.incarnation;
  if (outdated) {
    ctx.Log("orders_dropped", message.address,
            {Field("epoch", message.epoch),
             Field("orders", message.orders.size())});
    return;
  }
  for (const work::order& order : message.orders) {
    const call_number call = ctx.NewCall();
    ctx.state.proxying.calls.Put(call, {.leader_address = message.address,
                                        .epoch = message.epoch,
                                        .leader_call = CallOf(order)});
    if (WithholdStart(ctx, order, call))
      continue;
    const work::order own = std::visit(
        [&](const auto& each) { return WithCall(each, call); }, order);
    std::visit([&](const auto& each) { ctx.Emit(each); }, own);
  }
}

void OnAnswersReturned(const context& ctx,
                       const work::answers_returned& message) {
  for (const work::order_answer& answer : message.answers) {
    const bool still_leads =
        ctx.state.leadership.current_role == role::kLeader &&
        ctx.state.leader.epoch == message.epoch;
    if (!still_leads)
      return;
    ApplyAnswer(ctx, answer);
  }
}

bool ReturnAnswer(const context& ctx, const work::order_answer& answer) {
  proxying_state& proxying = ctx.state.proxying;
  const call_number call = CallOf(answer);
  const proxied_call* found = proxying.calls.Find(call);
  if (found == nullptr)
    return false;
  const proxied_call order = *found;
  proxying.calls.Erase(call);
  if (proxying.returning.empty())
    proxying.flush_at = ctx.now() + ctx.limits().forward_pause;
  proxying_state::returned& batch = proxying.returning[order.leader_address];
  // A leader of an earlier epoch takes no answers any more.
  if (order.epoch > batch.epoch)
    batch = {.epoch = order.epoch, .answers = {}};
  if (order.epoch == batch.epoch) {
    batch.answers.push_back(std::visit(
        [&](const auto& each) { return WithCall(each, order.leader_call); },
        answer));
  }
  return true;
}

}  // namespace parsleyhitch::dispatch
