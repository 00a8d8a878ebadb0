// Membership: heartbeats between entries, the platform's VM list, leaving
// workers and the graceful shutdown of this entry. Membership only decides
// which entry does what; decisions that entries must agree on go through the
// log.

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/reduce_parts.h"
#include "scheduler/rendezvous.h"
#include "scheduler/requests.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr char kRegistrarSubject[] = "registrar";
// An idle worker is removed when this many consecutive VM lists did not contain
// it.
constexpr std::uint32_t kMissedListsToRemove = 5;
constexpr std::uint32_t kMaxRelayedBatches = 32;

bool IsAlive(const environment& environment,
             const entry_state& state,
             const model::entry_id& entry) {
  const peer_status* peer = state.peers.peers.Find(entry);
  return peer != nullptr && peer->ready && !peer->draining &&
         state.now - peer->last_heard <= environment.limits.peer_timeout;
}

std::vector<model::entry_id> AliveEntries(const environment& environment,
                                          const entry_state& state) {
  std::vector<model::entry_id> alive;
  for (const model::entry_id& peer : environment.peers) {
    if (IsAlive(environment, state, peer))
      alive.push_back(peer);
  }
  // A draining entry stays responsible while no other entry can take over.
  const bool participates = !state.drain.draining || alive.empty();
  if (IsReady(state) && participates)
    alive.push_back(environment.me);
  std::ranges::sort(alive);
  return alive;
}

model::heartbeat MakeHeartbeat(const environment& environment,
                               const entry_state& state) {
  std::vector<model::worker_id> leaving;
  for (const auto& [worker, view] : state.peers.leaving) {
    if (view.listed || view.reported_by_endpoint)
      leaving.push_back(worker);
  }
  return {.from = environment.me,
          .incarnation = state.incarnation,
          .next_offset = state.ledger.next_offset,
          .log_readable = state.log.readable,
          .draining = state.drain.draining,
          .leaving = std::move(leaving),
          .ready = IsReady(state)};
}

step BroadcastHeartbeat(const environment& environment, step step) {
  const model::heartbeat heartbeat = MakeHeartbeat(environment, step.state);
  for (const model::entry_id& peer : environment.peers)
    step = Emit(std::move(step),
                model::send_to_peer{.to = peer, .message = heartbeat});
  return step;
}

// Sends missing batches to a peer that is behind and can't read the log.
step RelayBatchesTo(const environment& environment,
                    step step,
                    const model::heartbeat& heartbeat) {
  if (heartbeat.log_readable ||
      heartbeat.next_offset >= step.state.ledger.next_offset)
    return step;
  std::vector<model::logged_batch> batches;
  for (const model::logged_batch& batch : step.state.log.relay_buffer) {
    if (batch.offset >= heartbeat.next_offset &&
        batches.size() < kMaxRelayedBatches)
      batches.push_back(batch);
  }
  if (batches.empty() || batches.front().offset != heartbeat.next_offset)
    return step;
  step = Count(std::move(step), "batches_relayed_total");
  return Emit(std::move(step),
              model::send_to_peer{
                  .to = heartbeat.from,
                  .message = model::batches_relayed{
                      .from = environment.me, .batches = std::move(batches)}});
}

step OnPeerMessage(const environment& environment,
                   step step,
                   const model::heartbeat& heartbeat) {
  const peer_status* known = step.state.peers.peers.Find(heartbeat.from);
  // Ignore delayed messages of an earlier incarnation.
  if (known != nullptr && known->incarnation > heartbeat.incarnation)
    return step;
  step.state.peers.peers.Put(heartbeat.from,
                             {.incarnation = heartbeat.incarnation,
                              .last_heard = step.state.now,
                              .next_offset = heartbeat.next_offset,
                              .draining = heartbeat.draining,
                              .ready = heartbeat.ready});
  for (const model::worker_id& worker : heartbeat.leaving) {
    step = RecordLeaving(environment, std::move(step), worker,
                         {.reported_by_peer = true});
  }
  step = RelayBatchesTo(environment, std::move(step), heartbeat);
  return RefreshMembership(environment, std::move(step));
}

step OnPeerMessage(const environment& environment,
                   step step,
                   const model::batches_relayed& relay) {
  for (const model::logged_batch& batch : relay.batches)
    step = FoldIfNext(environment, std::move(step), batch);
  return step;
}

step RegisterWorker(step step, const model::worker_spec& spec) {
  const model::worker_status* known =
      step.state.ledger.workers.Find(spec.worker);
  if (known != nullptr && known->spec == spec)
    return step;
  // The same name with different properties means that the VM was replaced.
  if (known != nullptr)
    step = Append(std::move(step), model::worker_removed{.worker = spec.worker},
                  {});
  return Append(std::move(step), model::worker_registered{.spec = spec}, {});
}

// Removes workers without tasks that the platform no longer lists.
step RemoveUnlisted(step step, const std::set<model::worker_id>& listed) {
  std::vector<model::worker_id> missing;
  for (const auto& [worker, status] : step.state.ledger.workers) {
    const bool idle = !step.state.ledger.jobs_by_worker.Contains(worker);
    if (idle && !listed.contains(worker))
      missing.push_back(worker);
  }
  model::value_table<model::worker_id, std::uint32_t> counts;
  for (const model::worker_id& worker : missing) {
    const std::uint32_t* before = step.state.peers.unlisted.Find(worker);
    const std::uint32_t count = (before == nullptr ? 0 : *before) + 1;
    if (count == kMissedListsToRemove)
      step =
          Append(std::move(step), model::worker_removed{.worker = worker}, {});
    counts.Put(worker, count);
  }
  step.state.peers.unlisted = std::move(counts);
  return step;
}

bool IsRegistrar(const environment& environment, const entry_state& state) {
  return IsReady(state) &&
         IsResponsibleFor(environment, state, kRegistrarSubject);
}

step ScheduleVmListRead(const environment& environment, step step) {
  const model::timestamp next =
      step.state.now + environment.limits.vm_list_interval;
  return SetTimer(std::move(step),
                  {.at = next, .kind = timer_kind::kReadVmList});
}

bool HasPendingRecords(const entry_state& state) {
  return state.log.in_flight.Get() != nullptr || !state.log.queue.empty();
}

drain_view DrainViewOf(const environment& environment,
                       const entry_state& state) {
  return {.open_requests = state.requests.open.size(),
          .open_calls = state.calls.open.size(),
          .pending_records = HasPendingRecords(state) ? 1U : 0U,
          .timed_out = state.now - state.drain.since >=
                       environment.limits.drain_timeout};
}

}  // namespace

bool IsResponsibleFor(const environment& environment,
                      const entry_state& state,
                      std::string_view subject) {
  return ResponsibleEntry(environment.behaviour, subject, state.peers.alive) ==
         environment.me;
}

bool RefusesNewCalls(const environment& environment, const entry_state& state) {
  return state.drain.draining &&
         state.now - state.drain.since >= environment.limits.drain_grace;
}

step RefreshMembership(const environment& environment, step step) {
  std::vector<model::entry_id> alive = AliveEntries(environment, step.state);
  if (alive == step.state.peers.alive)
    return step;
  const std::string count = std::to_string(alive.size());
  step.state.peers.alive = std::move(alive);
  step.state.calls.plan_due = true;
  step = Log(std::move(step), model::severity::kInfo, "members changed", count);
  return RefreshWorkers(environment, std::move(step));
}

step On(const environment& environment,
        step step,
        const model::entry_started& event) {
  step.state.incarnation = event.incarnation;
  step.state.seed = event.seed;
  step.state.log.last_checkpoint = step.state.now;
  step.state.requests.retry_budget =
      environment.limits.retry_budget_cap * kRetryTokenHundredths;
  step = RefreshMembership(environment, std::move(step));
  step = SendHeartbeats(environment, std::move(step));
  step = ReadVmList(environment, std::move(step));
  return StartReading(environment, std::move(step));
}

step SendHeartbeats(const environment& environment, step step) {
  step = RefreshMembership(environment, std::move(step));
  step = BroadcastHeartbeat(environment, std::move(step));
  const model::timestamp next =
      step.state.now + environment.limits.heartbeat_interval;
  return SetTimer(std::move(step),
                  {.at = next, .kind = timer_kind::kHeartbeat});
}

step On(const environment& environment,
        step step,
        const model::peer_heard& event) {
  return std::visit(
      [&](const auto& message) {
        return OnPeerMessage(environment, std::move(step), message);
      },
      event.message);
}

step ReadVmList(const environment& environment, step step) {
  return Emit(
      std::move(step),
      model::read_vm_list{.timeout = environment.limits.vm_list_timeout});
}

step On(const environment& environment,
        step step,
        const model::vm_list_read& event) {
  std::set<model::worker_id> listed;
  const bool registrar = IsRegistrar(environment, step.state);
  for (const model::listed_vm& vm : event.vms) {
    listed.insert(vm.spec.worker);
    if (registrar && !vm.leaving)
      step = RegisterWorker(std::move(step), vm.spec);
    if (vm.leaving)
      step = RecordLeaving(environment, std::move(step), vm.spec.worker,
                           {.listed = true});
  }
  if (registrar)
    step = RemoveUnlisted(std::move(step), listed);
  return ScheduleVmListRead(environment, std::move(step));
}

step On(const environment& environment,
        step step,
        const model::vm_list_unread&) {
  step = Count(std::move(step), "vm_list_unread_total");
  return ScheduleVmListRead(environment, std::move(step));
}

step RecordLeaving(const environment& environment,
                   step step,
                   const model::worker_id& worker,
                   const leaving_view& observed) {
  const leaving_view* known = step.state.peers.leaving.Find(worker);
  const leaving_view old = known == nullptr ? leaving_view{} : *known;
  const leaving_view merged{
      .listed = old.listed || observed.listed,
      .reported_by_endpoint =
          old.reported_by_endpoint || observed.reported_by_endpoint,
      .reported_by_peer = old.reported_by_peer || observed.reported_by_peer};
  if (known != nullptr && merged == old)
    return step;
  step.state.peers.leaving.Put(worker, merged);
  step = RefreshEndpoint(environment, std::move(step), worker);
  const model::worker_status* status = step.state.ledger.workers.Find(worker);
  const bool live =
      status != nullptr && status->phase == model::worker_phase::kLive;
  if (!live || !environment.behaviour.is_leaving(merged))
    return step;
  step = Log(std::move(step), model::severity::kInfo, "worker is leaving",
             worker.value());
  return Append(std::move(step), model::worker_leaving{.worker = worker}, {});
}

step On(const environment& environment,
        step step,
        const model::drain_requested& event) {
  if (event.call != 0)
    step.state.drain.callers.push_back(event.call);
  if (step.state.drain.draining)
    return step;
  step.state.drain.draining = true;
  step.state.drain.since = step.state.now;
  step = Log(std::move(step), model::severity::kInfo, "draining",
             environment.me.value());
  step = RefreshMembership(environment, std::move(step));
  step = BroadcastHeartbeat(environment, std::move(step));
  for (const model::duration wait :
       {environment.limits.drain_grace, environment.limits.drain_timeout}) {
    const model::timestamp at = step.state.now + wait;
    step = SetTimer(std::move(step), {.at = at, .kind = timer_kind::kDrain});
  }
  return step;
}

step StopIfDrained(const environment& environment, step step) {
  if (!step.state.drain.draining || !RefusesNewCalls(environment, step.state))
    return step;
  if (!environment.behaviour.may_stop(DrainViewOf(environment, step.state)))
    return step;
  step.state.drain.stopped = true;
  const std::vector<model::call_number> callers = step.state.drain.callers;
  for (const model::call_number call : callers)
    step =
        Answer(std::move(step), call, {.kind = model::answer_kind::kAccepted});
  step = Log(std::move(step), model::severity::kInfo, "drained",
             environment.me.value());
  return Emit(std::move(step), model::stop_process{});
}

}  // namespace parsleyhitch::scheduler::detail
