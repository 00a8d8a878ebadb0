// Client calls. A submission or cancellation is answered once its record is
// stored. While the store is unreachable, calls are relayed to the leader.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/callers/callers.h"
#include "dispatch/callers/routing.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/names.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

// Added to the numbers of relayed calls, to keep them apart from the numbers
// that the runtime gives to calls of its own clients.
constexpr call_number kRelayedCallBase = call_number{1} << 62;

// An incoming call, received from a client or relayed by a peer.
struct incoming_call {
  call_number call = 0;
  const work::client_call& content;
  std::string relayed_by;
  call_number peer_call_number = 0;
  // Once it is known; by the catalog of the entry that took the call.
  model::value_cell<work::call_route> route;
};

work::client_answer Refusal(const context& ctx, work::answer_kind kind) {
  return {.kind = kind, .retry_after = ctx.limits().retry_after};
}

work::client_answer StateAnswer(const records::stored_job& job) {
  return {.kind = work::answer_kind::kState, .phase = records::PhaseOf(job)};
}

std::uint64_t CatalogVersion(const context& ctx) {
  const work::published_catalog* current = ctx.state.in_force.Get();
  return current == nullptr ? 0 : current->content.version;
}

void Reply(const context& ctx,
           const incoming_call& incoming,
           const work::client_answer& answer) {
  // Successful reads are too frequent to log.
  if (answer.kind != work::answer_kind::kState &&
      answer.kind != work::answer_kind::kWaiting) {
    ctx.Log("answered", incoming.content.path,
            {Field("call", NameOf(incoming.content.verb)),
             Field("answer", NameOf(answer.kind)),
             Field("catalog", CatalogVersion(ctx)),
             Field("relayed_by", incoming.relayed_by)});
  }
  ctx.Count("answers_" + NameOf(answer.kind));
  if (incoming.relayed_by.empty()) {
    ctx.Emit(work::answer_client{.call = incoming.call, .content = answer});
    return;
  }
  SendToPeer(
      ctx, incoming.relayed_by,
      work::call_settled{.call = incoming.peer_call_number, .answer = answer});
}

// Answers an open call and removes it.
void AnswerCall(const context& ctx,
                call_number number,
                const work::client_answer& answer) {
  const open_call* found = ctx.state.calls.Find(number);
  if (found == nullptr)
    return;
  const open_call call = *found;
  ctx.state.calls.Erase(number);
  ctx.Emit(work::observe_latency{.name = "call_" + NameOf(call.content.verb),
                                 .value = ctx.now() - call.arrived});
  Reply(ctx,
        {.call = number,
         .content = call.content,
         .relayed_by = call.relayed_by,
         .peer_call_number = call.peer_call_number},
        answer);
}

void OpenCall(const context& ctx,
              const incoming_call& incoming,
              const work::job_id& job,
              call_stage stage) {
  const duration patience = incoming.content.patience > duration(0)
                                ? incoming.content.patience
                                : ctx.limits().default_patience;
  const duration usable =
      std::max(patience - ctx.limits().answer_margin, patience / 2);
  const bool confirms = stage == call_stage::kConfirming;
  ctx.state.calls.Put(
      incoming.call,
      open_call{.content = incoming.content,
                .arrived = ctx.now(),
                .deadline = ctx.now() + usable,
                .stage = stage,
                .job = job,
                .route = incoming.route,
                .confirming_read = confirms ? RequestConfirmingRead(ctx) : 0,
                .relayed_by = incoming.relayed_by,
                .peer_call_number = incoming.peer_call_number});
}

// Removes the call's record if it was never sent to the store; true when it was
// removed.
bool Withdraw(const context& ctx, call_number call) {
  std::deque<queued_record>& waiting = ctx.state.submissions.waiting;
  std::deque<queued_record> kept;
  bool found = false;
  for (queued_record& each : waiting) {
    if (each.caller == call)
      found = true;
    else
      kept.push_back(std::move(each));
  }
  waiting = std::move(kept);
  return found;
}

bool IsLeaderReachable(const context& ctx) {
  const leadership_state& leadership = ctx.state.leadership;
  return leadership.current_role != role::kLeader &&
         !leadership.leader_address.empty() &&
         leadership.leader_reaches_store &&
         ctx.now() - leadership.leader_heard_at < ctx.limits().leader_silent;
}

void Relay(const context& ctx, call_number number, open_call call) {
  if (Withdraw(ctx, number))
    call.maybe_stored = false;
  SendToPeer(ctx, ctx.state.leadership.leader_address,
             work::call_relayed{.call = number,
                                .address = ctx.env.peer_address,
                                .content = call.content,
                                .route = *call.route.Get()});
  ctx.Log("relayed", call.content.path,
          {Field("to", ctx.state.leadership.leader_address)});
  call.stage = call_stage::kRelayed;
  ctx.state.calls.Put(number, std::move(call));
}

// Stores the record for the call, or lets the leader do it while appends are
// slow.
void StoreRecord(const context& ctx,
                 const incoming_call& incoming,
                 const work::job_id& job,
                 work::record record) {
  if (!EnqueueRecord(ctx, std::move(record), incoming.call)) {
    Reply(ctx, incoming,
          {.kind = work::answer_kind::kInvalid,
           .faults = model::OneFinding("", "is too large to be stored")});
    return;
  }
  OpenCall(ctx, incoming, job, call_stage::kStoring);
  const bool relays = ctx.state.leadership.leader_store_slow &&
                      incoming.relayed_by.empty() && IsLeaderReachable(ctx);
  if (relays)
    Relay(ctx, incoming.call, *ctx.state.calls.Find(incoming.call));
}

// The expected waits as the leader knows them, or as its latest heartbeat told;
// none when the leader has been silent.
std::vector<work::expected_wait> KnownWaits(const context& ctx) {
  const leadership_state& leadership = ctx.state.leadership;
  if (leadership.current_role == role::kLeader)
    return ctx.state.leader.waits;
  const bool heard =
      ctx.now() - leadership.leader_heard_at < ctx.limits().leader_silent;
  return heard ? leadership.leader_waits : std::vector<work::expected_wait>();
}

// True for a job that fits its workspace's guarantee, which is served at once.
bool IsWithinGuarantee(const context& ctx, const work::submission& content) {
  if (content.priority != 0)
    return false;
  std::int64_t needed = 0;
  for (const work::step_spec& step : content.request.steps) {
    needed = std::max(needed, step.need.accelerators * step.tasks);
  }
  return std::ranges::any_of(ctx.state.in_force.Get()->content.workspaces,
                             [&](const work::workspace& each) {
                               return each.id == content.owner &&
                                      each.guaranteed_accelerators > 0 &&
                                      each.guaranteed_accelerators >= needed;
                             });
}

// Answers a submission that can't be served in time by a wide margin, and
// returns true then. A relayed one was accepted by the entry that took it.
bool RefuseForBacklog(const context& ctx,
                      const incoming_call& incoming,
                      const work::submission& content) {
  if (!incoming.relayed_by.empty() || ctx.state.in_force.Get() == nullptr ||
      IsWithinGuarantee(ctx, content))
    return false;
  const policy::admission decided =
      ctx.env.behaviour.admit(content, KnownWaits(ctx));
  // An earlier call for the same job may still have it stored.
  const bool is_repeat = std::ranges::any_of(
      ctx.state.calls,
      [&](const auto& row) { return row.second.job == content.job; });
  if (decided.accepted || is_repeat)
    return false;
  ctx.Log("refused_for_backlog", incoming.content.path,
          {Field("workspace", content.owner.value()),
           Field("priority", content.priority),
           Field("retry_after", decided.retry_after)});
  ctx.Count("submissions_refused_for_backlog");
  Reply(
      ctx, incoming,
      {.kind = work::answer_kind::kNotRun, .retry_after = decided.retry_after});
  return true;
}

void Submit(const context& ctx,
            const incoming_call& incoming,
            const work::queue& queue,
            const work::workspace_id& owner,
            const work::job_id& job) {
  const records::stored_job* known = records::FindJob(ctx.state.ledger, job);
  if (known != nullptr) {
    const bool same = records::OwnerOf(*known) == owner;
    Reply(ctx, incoming,
          same ? work::client_answer{.kind = work::answer_kind::kAccepted}
               : work::client_answer{
                     .kind = work::answer_kind::kInvalid,
                     .faults = model::OneFinding("", "the ID is in use")});
    return;
  }
  if (!incoming.content.request) {
    Reply(ctx, incoming,
          {.kind = work::answer_kind::kInvalid,
           .faults = incoming.content.faults});
    return;
  }
  const work::submission content{.job = job,
                                 .queue = queue.id,
                                 .service = queue.service,
                                 .owner = owner,
                                 .priority = queue.priority,
                                 .max_attempts = queue.max_attempts,
                                 .stretch_permille = queue.stretch_permille,
                                 .target_latency = queue.target_latency,
                                 .submitted_at = ctx.now(),
                                 .request = *incoming.content.request};
  if (!RefuseForBacklog(ctx, incoming, content))
    StoreRecord(ctx, incoming, job, work::job_submitted{.content = content});
}

bool Owns(const records::stored_job& job, const work::workspace_id& owner) {
  return records::OwnerOf(job) == owner;
}

// Answers a read or cancellation. If the job is unknown, reads the newest
// records first.
void ReadOrCancel(const context& ctx,
                  const incoming_call& incoming,
                  const work::workspace_id& owner,
                  const work::job_id& job) {
  const records::stored_job* known = records::FindJob(ctx.state.ledger, job);
  if (known == nullptr) {
    OpenCall(ctx, incoming, job, call_stage::kConfirming);
    return;
  }
  if (!Owns(*known, owner)) {
    Reply(ctx, incoming, {.kind = work::answer_kind::kNoJob});
    return;
  }
  if (incoming.content.verb == work::call_verb::kRead) {
    Reply(ctx, incoming, StateAnswer(*known));
    return;
  }
  if (work::IsClosed(records::PhaseOf(*known))) {
    Reply(ctx, incoming, {.kind = work::answer_kind::kAccepted});
    return;
  }
  StoreRecord(ctx, incoming, job, work::job_cancelled{.job = job});
}

// The workspace that has the call's key. Empty ID for queues that are open to
// all; nothing when the call is not allowed.
std::optional<work::workspace_id> OwnerFor(const work::catalog& catalog,
                                           const work::queue& queue,
                                           const std::string& key) {
  const work::workspace* owner = OwnerOf(catalog, key);
  if (owner != nullptr)
    return owner->id;
  if (queue.allows_anonymous)
    return work::workspace_id();
  return {};
}

// Answers a call that the catalog in force does not allow, and returns nothing
// then.
std::optional<work::call_route> Admit(const context& ctx,
                                      const incoming_call& incoming) {
  const work::published_catalog* current = ctx.state.in_force.Get();
  if (current == nullptr) {
    Reply(ctx, incoming, Refusal(ctx, work::answer_kind::kNotRun));
    return {};
  }
  const work::queue* queue = RouteOf(current->content, incoming.content);
  if (queue == nullptr) {
    Reply(ctx, incoming, {.kind = work::answer_kind::kNoQueue});
    return {};
  }
  const auto owner = OwnerFor(current->content, *queue, incoming.content.key);
  if (!owner) {
    Reply(ctx, incoming, {.kind = work::answer_kind::kNoKey});
    return {};
  }
  return work::call_route{.destination = *queue, .owner = *owner};
}

void HandleRouted(const context& ctx, const incoming_call& incoming) {
  const auto& [queue, owner] = *incoming.route.Get();
  const std::string_view rest = RestOfPath(queue, incoming.content);
  const bool reads = incoming.content.verb == work::call_verb::kRead;
  if (reads && rest.empty()) {
    Reply(ctx, incoming,
          {.kind = work::answer_kind::kWaiting,
           .waiting = records::CountWaiting(ctx.state.ledger, queue.id)});
    return;
  }
  if (!IsJobId(rest)) {
    Reply(ctx, incoming,
          {.kind = work::answer_kind::kInvalid,
           .faults = model::OneFinding(
               "", "the path must end in an ID of 16 hexadecimal digits")});
    return;
  }
  const work::job_id job{std::string(rest)};
  if (incoming.content.verb == work::call_verb::kSubmit)
    Submit(ctx, incoming, queue, owner, job);
  else
    ReadOrCancel(ctx, incoming, owner, job);
}

void Handle(const context& ctx, incoming_call incoming) {
  if (incoming.route.Get() == nullptr) {
    std::optional<work::call_route> route = Admit(ctx, incoming);
    if (!route)
      return;
    incoming.route.Put(std::move(*route));
  }
  HandleRouted(ctx, incoming);
}

bool IsInBatch(const context& ctx, call_number call) {
  return std::ranges::any_of(
      ctx.state.submissions.batch,
      [&](const queued_record& each) { return each.caller == call; });
}

bool IsWaiting(const context& ctx, call_number call) {
  return std::ranges::any_of(
      ctx.state.submissions.waiting,
      [&](const queued_record& each) { return each.caller == call; });
}

// The answer to a call that expires, either at its deadline or because the
// store is unreachable.
work::client_answer ExpiredAnswer(const context& ctx, const open_call& call) {
  const records::stored_job* known =
      records::FindJob(ctx.state.ledger, call.job);
  if (known != nullptr && call.content.verb == work::call_verb::kSubmit)
    return {.kind = work::answer_kind::kAccepted};
  if (known != nullptr && call.content.verb == work::call_verb::kRead)
    return StateAnswer(*known);
  const bool relayed_change = call.stage == call_stage::kRelayed &&
                              call.content.verb != work::call_verb::kRead;
  if (call.maybe_stored || relayed_change)
    return Refusal(ctx, work::answer_kind::kNotSettled);
  return Refusal(ctx, work::answer_kind::kNotRun);
}

void Expire(const context& ctx, call_number number) {
  const open_call* found = ctx.state.calls.Find(number);
  open_call call = *found;
  const bool in_batch = IsInBatch(ctx, number);
  call.maybe_stored = call.maybe_stored || in_batch;
  const work::client_answer answer = ExpiredAnswer(ctx, call);
  Withdraw(ctx, number);
  AnswerCall(ctx, number, answer);
}

}  // namespace

void OnClientCalled(const context& ctx, const work::client_called& event) {
  Handle(ctx, {.call = event.call, .content = event.content});
}

void OnClientGone(const context& ctx, const work::client_gone& event) {
  // The call's record is still stored, as the client may ask for the same job
  // again.
  ctx.state.calls.Erase(event.call);
}

void OnCallRelayed(const context& ctx, const work::call_relayed& message) {
  const call_number number = kRelayedCallBase + ctx.NewCall();
  incoming_call incoming{.call = number,
                         .content = message.content,
                         .relayed_by = message.address,
                         .peer_call_number = message.call};
  if (message.route)
    incoming.route.Put(*message.route);
  Handle(ctx, std::move(incoming));
}

void OnCallSettled(const context& ctx, const work::call_settled& message) {
  const open_call* call = ctx.state.calls.Find(message.call);
  if (call == nullptr || call->stage != call_stage::kRelayed)
    return;
  const bool refused = message.answer.kind != work::answer_kind::kAccepted &&
                       message.answer.kind != work::answer_kind::kState &&
                       message.answer.kind != work::answer_kind::kWaiting;
  // This entry's own append of the record may still succeed in spite of the
  // refusal.
  const bool outcome_unknown =
      refused && (call->maybe_stored || IsInBatch(ctx, message.call) ||
                  IsWaiting(ctx, message.call));
  AnswerCall(ctx, message.call,
             outcome_unknown ? Refusal(ctx, work::answer_kind::kNotSettled)
                             : message.answer);
}

void AnswerStoredCall(const context& ctx, call_number call) {
  AnswerCall(ctx, call, {.kind = work::answer_kind::kAccepted});
}

void AnswerRejectedCall(const context& ctx, call_number number) {
  const open_call* call = ctx.state.calls.Find(number);
  // A relayed call is answered by the leader.
  if (call == nullptr || call->stage == call_stage::kRelayed)
    return;
  AnswerCall(ctx, number, ExpiredAnswer(ctx, *call));
}

bool HasUnconfirmedCalls(const context& ctx) {
  return std::ranges::any_of(ctx.state.calls, [](const auto& row) {
    return row.second.stage == call_stage::kConfirming;
  });
}

void ResolveConfirmedCalls(const context& ctx) {
  const std::uint64_t last_read = ctx.state.confirming_reads.sent;
  std::vector<call_number> due;
  for (const auto& [number, call] : ctx.state.calls) {
    if (call.stage == call_stage::kConfirming &&
        call.confirming_read <= last_read)
      due.push_back(number);
  }
  for (const call_number number : due) {
    const open_call call = *ctx.state.calls.Find(number);
    if (records::FindJob(ctx.state.ledger, call.job) == nullptr) {
      AnswerCall(ctx, number, {.kind = work::answer_kind::kNoJob});
      continue;
    }
    ctx.state.calls.Erase(number);
    Handle(ctx, {.call = number,
                 .content = call.content,
                 .relayed_by = call.relayed_by,
                 .peer_call_number = call.peer_call_number,
                 .route = call.route});
  }
}

void AdvanceCalls(const context& ctx) {
  const bool store_failing = IsStoreFailing(ctx, ctx.limits().relay_after);
  const bool may_relay = store_failing && IsLeaderReachable(ctx);
  const bool store_unavailable =
      !may_relay && IsStoreFailing(ctx, ctx.limits().refuse_after);
  std::vector<call_number> expired;
  std::vector<call_number> relayed;
  for (const auto& [number, call] : ctx.state.calls) {
    const bool refused_early =
        store_unavailable && call.stage == call_stage::kStoring;
    if (refused_early || ctx.now() >= call.deadline)
      expired.push_back(number);
    else if (may_relay && call.stage != call_stage::kRelayed &&
             call.relayed_by.empty())
      relayed.push_back(number);
  }
  for (const call_number number : expired)
    Expire(ctx, number);
  for (const call_number number : relayed)
    Relay(ctx, number, *ctx.state.calls.Find(number));
}

}  // namespace parsleyhitch::dispatch
