// Membership: heartbeats among entries, the platform's VM list, leaving workers
// and the graceful shutdown of this entry. Membership only routes work; what
// must be agreed on goes through the log.

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/reduce_parts.h"
#include "scheduler/rendezvous.h"
#include "scheduler/requests.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr char kRegistrarSubject[] = "registrar";
// Lists in a row that must lack an idle worker before it is forgotten.
constexpr std::uint32_t kListsToForget = 5;
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
  // A draining entry stays in charge while there is nobody to hand over to.
  const bool takes_part = !state.drain.draining || alive.empty();
  if (IsReady(state) && takes_part)
    alive.push_back(environment.me);
  std::ranges::sort(alive);
  return alive;
}

model::heartbeat MakeHeartbeat(const environment& environment,
                               const entry_state& state) {
  std::vector<model::worker_id> leaving;
  for (const auto& [worker, view] : state.peers.leaving) {
    if (view.listed || view.told_by_endpoint)
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

step TellPeers(const environment& environment, step step) {
  const model::heartbeat beat = MakeHeartbeat(environment, step.state);
  for (const model::entry_id& peer : environment.peers)
    step =
        Emit(std::move(step), model::send_to_peer{.to = peer, .message = beat});
  return step;
}

// Helps a peer that is behind and can't read the log.
step RelayTo(const environment& environment,
             step step,
             const model::heartbeat& beat) {
  if (beat.log_readable || beat.next_offset >= step.state.ledger.next_offset)
    return step;
  std::vector<model::logged_batch> batches;
  for (const model::logged_batch& batch : step.state.log.recent) {
    if (batch.offset >= beat.next_offset && batches.size() < kMaxRelayedBatches)
      batches.push_back(batch);
  }
  if (batches.empty() || batches.front().offset != beat.next_offset)
    return step;
  step = Count(std::move(step), "batches_relayed_total");
  return Emit(std::move(step),
              model::send_to_peer{
                  .to = beat.from,
                  .message = model::batches_relayed{
                      .from = environment.me, .batches = std::move(batches)}});
}

step Hear(const environment& environment,
          step step,
          const model::heartbeat& beat) {
  const peer_status* known = step.state.peers.peers.Find(beat.from);
  // A late message of an earlier incarnation says nothing about the present
  // one.
  if (known != nullptr && known->incarnation > beat.incarnation)
    return step;
  step.state.peers.peers.Put(beat.from, {.incarnation = beat.incarnation,
                                         .last_heard = step.state.now,
                                         .next_offset = beat.next_offset,
                                         .draining = beat.draining,
                                         .ready = beat.ready});
  for (const model::worker_id& worker : beat.leaving) {
    step = NoteLeaving(environment, std::move(step), worker,
                       {.told_by_peer = true});
  }
  step = RelayTo(environment, std::move(step), beat);
  return RefreshMembership(environment, std::move(step));
}

step Hear(const environment& environment,
          step step,
          const model::batches_relayed& relay) {
  for (const model::logged_batch& batch : relay.batches)
    step = FoldIfNext(environment, std::move(step), batch);
  return step;
}

step Register(step step, const model::worker_spec& spec) {
  const model::worker_status* known =
      step.state.ledger.workers.Find(spec.worker);
  if (known != nullptr && known->spec == spec)
    return step;
  // A VM of the same name with other properties is another VM.
  if (known != nullptr)
    step = Append(std::move(step), model::worker_removed{.worker = spec.worker},
                  {});
  return Append(std::move(step), model::worker_registered{.spec = spec}, {});
}

// Forgets workers that the platform has stopped listing and that hold nothing.
step ForgetUnlisted(step step, const std::set<model::worker_id>& listed) {
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
    if (count == kListsToForget)
      step =
          Append(std::move(step), model::worker_removed{.worker = worker}, {});
    counts.Put(worker, count);
  }
  step.state.peers.unlisted = std::move(counts);
  return step;
}

bool IsRegistrar(const environment& environment, const entry_state& state) {
  return IsReady(state) && IsHomeOf(environment, state, kRegistrarSubject);
}

step ScheduleVmList(const environment& environment, step step) {
  const model::timestamp next =
      step.state.now + environment.limits.vm_list_interval;
  return SetAlarm(std::move(step),
                  {.at = next, .kind = alarm_kind::kReadVmList});
}

bool HasUnfolded(const entry_state& state) {
  return state.log.in_flight.Get() != nullptr || !state.log.queue.empty();
}

drain_view ViewOfDrain(const environment& environment,
                       const entry_state& state) {
  return {.open_requests = state.requests.open.size(),
          .open_calls = state.calls.open.size(),
          .unfolded_records = HasUnfolded(state) ? 1U : 0U,
          .timed_out = state.now - state.drain.since >=
                       environment.limits.drain_timeout};
}

}  // namespace

bool IsHomeOf(const environment& environment,
              const entry_state& state,
              std::string_view subject) {
  return HomeOf(environment.behaviour, subject, state.peers.alive) ==
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
  return RefreshHomes(environment, std::move(step));
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
  step = TellPeers(environment, std::move(step));
  const model::timestamp next =
      step.state.now + environment.limits.heartbeat_interval;
  return SetAlarm(std::move(step),
                  {.at = next, .kind = alarm_kind::kHeartbeat});
}

step On(const environment& environment,
        step step,
        const model::peer_heard& event) {
  return std::visit(
      [&](const auto& message) {
        return Hear(environment, std::move(step), message);
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
      step = Register(std::move(step), vm.spec);
    if (vm.leaving)
      step = NoteLeaving(environment, std::move(step), vm.spec.worker,
                         {.listed = true});
  }
  if (registrar)
    step = ForgetUnlisted(std::move(step), listed);
  return ScheduleVmList(environment, std::move(step));
}

step On(const environment& environment,
        step step,
        const model::vm_list_unread&) {
  step = Count(std::move(step), "vm_list_unread_total");
  return ScheduleVmList(environment, std::move(step));
}

step NoteLeaving(const environment& environment,
                 step step,
                 const model::worker_id& worker,
                 const leaving_view& sign) {
  const leaving_view* known = step.state.peers.leaving.Find(worker);
  const leaving_view old = known == nullptr ? leaving_view{} : *known;
  const leaving_view together{
      .listed = old.listed || sign.listed,
      .told_by_endpoint = old.told_by_endpoint || sign.told_by_endpoint,
      .told_by_peer = old.told_by_peer || sign.told_by_peer};
  if (known != nullptr && together == old)
    return step;
  step.state.peers.leaving.Put(worker, together);
  step = RefreshEndpoint(environment, std::move(step), worker);
  const model::worker_status* status = step.state.ledger.workers.Find(worker);
  const bool live =
      status != nullptr && status->phase == model::worker_phase::kLive;
  if (!live || !environment.behaviour.is_leaving(together))
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
  step = TellPeers(environment, std::move(step));
  for (const model::duration wait :
       {environment.limits.drain_grace, environment.limits.drain_timeout}) {
    const model::timestamp at = step.state.now + wait;
    step = SetAlarm(std::move(step), {.at = at, .kind = alarm_kind::kDrain});
  }
  return step;
}

step StopIfDrained(const environment& environment, step step) {
  if (!step.state.drain.draining || !RefusesNewCalls(environment, step.state))
    return step;
  if (!environment.behaviour.may_stop(ViewOfDrain(environment, step.state)))
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
