// Appends callers' jobs and operators' manifests to the log and answers their
// calls. On the entry that is responsible for planning, also makes the plans.

#include <optional>
#include <utility>
#include <variant>

#include "scheduler/job_view.h"
#include "scheduler/manifest_rules.h"
#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler::detail {

namespace {

constexpr char kPlannerSubject[] = "planner";

model::answer Invalid(model::findings faults) {
  return {.kind = model::answer_kind::kInvalid,
          .ran = model::run_state::kNotRun,
          .faults = std::move(faults)};
}

model::answer Conflict(std::string place, std::string message) {
  return {.kind = model::answer_kind::kConflict,
          .ran = model::run_state::kNotRun,
          .faults = model::OneFinding(std::move(place), std::move(message))};
}

model::answer Unavailable(const environment& environment, std::string why) {
  return {.kind = model::answer_kind::kUnavailable,
          .ran = model::run_state::kNotRun,
          .faults = model::OneFinding("", std::move(why)),
          .retry_after = environment.limits.retry_after};
}

model::answer Accepted(const model::ledger& ledger, const model::job_id& job) {
  return {.kind = model::answer_kind::kAccepted, .job = ViewOf(ledger, job)};
}

// The refusal if no new call can be accepted now; otherwise empty.
std::optional<model::answer> RefusalNow(const environment& environment,
                                        const entry_state& state) {
  if (RefusesNewCalls(environment, state))
    return Unavailable(environment, "this entry is shutting down");
  if (!IsReady(state))
    return Unavailable(environment,
                       "this entry has not caught up with the log");
  return {};
}

// The answer to a submission whose key is already used: the job submitted with
// it if the specs are equal, otherwise a conflict. Empty if the key is new.
std::optional<model::answer> AnswerByKey(const model::ledger& ledger,
                                         const model::job_spec& spec) {
  const model::job_key* known =
      ledger.job_keys.Find({.owner = spec.owner, .key = spec.key});
  if (known == nullptr)
    return {};
  const model::job_status* job = ledger.jobs.Find(known->job);
  if (job == nullptr || job->spec != spec)
    return Conflict("/key", "was used for another job");
  return Accepted(ledger, known->job);
}

step OpenCall(step step, model::call_number call, open_call opened) {
  step = SetTimer(
      std::move(step),
      {.at = opened.deadline, .kind = timer_kind::kCallDeadline, .call = call});
  step.state.calls.open.Put(call, std::move(opened));
  return step;
}

step CloseCall(step step, model::call_number call, model::answer answer) {
  const open_call& opened = *step.state.calls.open.Find(call);
  step = CancelTimer(
      std::move(step),
      {.at = opened.deadline, .kind = timer_kind::kCallDeadline, .call = call});
  step.state.calls.open.Erase(call);
  return Answer(std::move(step), call, std::move(answer));
}

// Removes the call's record from the queue; false if it is already in a batch.
bool RemoveFromQueue(log_state& log, model::call_number call) {
  const std::size_t removed =
      std::erase_if(log.queue, [&](const pending_record& pending) {
        return pending.waiter.call == call &&
               pending.waiter.kind != waiter_kind::kPlan;
      });
  return removed > 0;
}

model::answer AnswerForVerdict(const model::ledger& ledger,
                               const record_verdict& verdict,
                               const open_call& opened) {
  if (opened.kind == waiter_kind::kManifest) {
    const model::manifest* in_force = ledger.in_force.Get();
    const std::uint64_t version = in_force == nullptr ? 0 : in_force->version;
    if (verdict.accepted)
      return {.kind = model::answer_kind::kAccepted, .version = version};
    const bool stale = verdict.faults.front().place == "/base";
    return {.kind = stale ? model::answer_kind::kConflict
                          : model::answer_kind::kInvalid,
            .ran = model::run_state::kNotRun,
            .faults = verdict.faults,
            .version = version};
  }
  if (verdict.accepted)
    return Accepted(ledger, opened.job);
  return {.kind = model::answer_kind::kConflict,
          .ran = model::run_state::kNotRun,
          .faults = verdict.faults,
          .job = ViewOf(ledger, opened.job)};
}

// The answer to a submission that lost a race for its key: the winner's job, or
// a conflict. Empty if it did not lose a race.
std::optional<model::answer> AnswerForLostRace(const entry_state& state,
                                               const record_verdict& verdict,
                                               const model::job_spec* spec) {
  if (verdict.accepted || spec == nullptr)
    return {};
  return AnswerByKey(state.ledger, *spec);
}

// The spec in a record of the batch in flight; null if it submits no job.
const model::job_spec* SubmittedSpec(const entry_state& state,
                                     std::uint32_t index) {
  const model::batch* batch = state.log.in_flight.Get();
  if (batch == nullptr || index >= batch->records.size())
    return nullptr;
  const auto* submitted =
      std::get_if<model::job_submitted>(&batch->records[index]);
  return submitted == nullptr ? nullptr : &submitted->spec;
}

bool MayPlan(const environment& environment, const entry_state& state) {
  return state.calls.plan_due && state.calls.pending_plan_records == 0 &&
         IsReady(state) &&
         IsResponsibleFor(environment, state, kPlannerSubject);
}

step SchedulePlanAt(step step, model::timestamp at) {
  const model::timestamp pending = step.state.calls.plan_timer;
  if (pending != model::timestamp() && pending <= at)
    return step;
  step.state.calls.plan_timer = at;
  return SetTimer(std::move(step), {.at = at, .kind = timer_kind::kPlan});
}

}  // namespace

step On(const environment& environment,
        step step,
        const model::job_requested& event) {
  std::optional<model::answer> refusal = RefusalNow(environment, step.state);
  if (refusal)
    return Answer(std::move(step), event.call, std::move(*refusal));
  std::optional<model::answer> known =
      AnswerByKey(step.state.ledger, event.spec);
  if (known)
    return Answer(std::move(step), event.call, std::move(*known));
  model::findings faults = CheckJob(event.spec, step.state.ledger);
  if (!faults.empty())
    return Answer(std::move(step), event.call, Invalid(std::move(faults)));
  const model::job_id job(environment.me.value() + "-" +
                          std::to_string(step.state.incarnation) + "-" +
                          std::to_string(event.call));
  step = Append(std::move(step),
                model::job_submitted{.job = job, .spec = event.spec},
                {.kind = waiter_kind::kJob, .call = event.call});
  return OpenCall(
      std::move(step), event.call,
      {.kind = waiter_kind::kJob, .deadline = event.deadline, .job = job});
}

step On(const environment& environment,
        step step,
        const model::job_cancel_requested& event) {
  std::optional<model::answer> refusal = RefusalNow(environment, step.state);
  if (refusal)
    return Answer(std::move(step), event.call, std::move(*refusal));
  if (!step.state.ledger.jobs.Contains(event.job)) {
    return Answer(std::move(step), event.call,
                  {.kind = model::answer_kind::kNotFound,
                   .faults = model::OneFinding("/job", "no such job")});
  }
  step = Append(std::move(step), model::job_cancelled{.job = event.job},
                {.kind = waiter_kind::kCancel, .call = event.call});
  return OpenCall(std::move(step), event.call,
                  {.kind = waiter_kind::kCancel,
                   .deadline = event.deadline,
                   .job = event.job});
}

step On(const environment&, step step, const model::job_read_requested& event) {
  if (!step.state.ledger.jobs.Contains(event.job)) {
    return Answer(std::move(step), event.call,
                  {.kind = model::answer_kind::kNotFound,
                   .faults = model::OneFinding("/job", "no such job")});
  }
  model::answer found{.kind = model::answer_kind::kFound,
                      .job = ViewOf(step.state.ledger, event.job)};
  return Answer(std::move(step), event.call, std::move(found));
}

step On(const environment& environment,
        step step,
        const model::manifest_offered& event) {
  std::optional<model::answer> refusal = RefusalNow(environment, step.state);
  if (refusal)
    return Answer(std::move(step), event.call, std::move(*refusal));
  model::findings faults = CheckManifest(event.proposed);
  if (!faults.empty())
    return Answer(std::move(step), event.call, Invalid(std::move(faults)));
  step = Append(std::move(step),
                model::manifest_published{.proposed = event.proposed},
                {.kind = waiter_kind::kManifest, .call = event.call});
  return OpenCall(std::move(step), event.call,
                  {.kind = waiter_kind::kManifest, .deadline = event.deadline});
}

step OnVerdict(const environment& environment,
               step step,
               const record_verdict& verdict,
               const verdict_waiter& waiter) {
  if (waiter.kind == waiter_kind::kPlan) {
    if (step.state.calls.pending_plan_records > 0)
      --step.state.calls.pending_plan_records;
    step.state.calls.plan_due = true;
    return step;
  }
  if (waiter.kind == waiter_kind::kClaim)
    return OnClaimVerdict(environment, std::move(step), verdict, waiter.call);
  const open_call* opened = step.state.calls.open.Find(waiter.call);
  if (opened == nullptr)
    return step;
  const model::job_spec* spec = SubmittedSpec(step.state, verdict.index);
  std::optional<model::answer> winners_answer =
      AnswerForLostRace(step.state, verdict, spec);
  model::answer answer =
      winners_answer ? std::move(*winners_answer)
                     : AnswerForVerdict(step.state.ledger, verdict, *opened);
  return CloseCall(std::move(step), waiter.call, std::move(answer));
}

step OnCallDeadline(const environment& environment,
                    step step,
                    model::call_number call) {
  const open_call* opened = step.state.calls.open.Find(call);
  if (opened == nullptr)
    return step;
  const model::job_id job = opened->job;
  if (RemoveFromQueue(step.state.log, call)) {
    return CloseCall(
        std::move(step), call,
        Unavailable(environment, "the log took no record in time"));
  }
  const bool submitted = opened->kind == waiter_kind::kJob;
  std::optional<model::job_view> view;
  if (submitted)
    view.emplace(model::job_view{.job = job});
  return CloseCall(std::move(step), call,
                   {.kind = model::answer_kind::kDeadline,
                    .ran = model::run_state::kOutcomeUnknown,
                    .faults = model::OneFinding(
                        "", "the log has not confirmed the record yet"),
                    .job = view});
}

step PlanIfDue(const environment& environment, step step) {
  if (!MayPlan(environment, step.state))
    return step;
  const model::timestamp earliest = step.state.calls.next_plan;
  if (step.state.now < earliest)
    return SchedulePlanAt(std::move(step), earliest);
  step.state.calls.plan_due = false;
  step.state.calls.next_plan = step.state.now + environment.limits.plan_pause;
  if (step.state.ledger.waiting.empty())
    return step;
  const plan_rules rules{
      .limits = environment.limits,
      .leaves_guarantees = environment.behaviour.leaves_guarantees};
  std::vector<model::record> records =
      environment.behaviour.plan(step.state.ledger, step.state.now, rules);
  step.state.calls.pending_plan_records =
      static_cast<std::uint32_t>(records.size());
  for (model::record& record : records)
    step = Append(std::move(step), std::move(record),
                  {.kind = waiter_kind::kPlan});
  const model::timestamp next =
      step.state.now + environment.limits.plan_interval;
  return SchedulePlanAt(std::move(step), next);
}

}  // namespace parsleyhitch::scheduler::detail
