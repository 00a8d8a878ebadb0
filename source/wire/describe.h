// Describes the fields of each value type, by name and in order, for the
// generic codecs. The order determines the field numbers of the protobuf
// encoding: add fields only at the end.

#ifndef PARSLEYHITCH_WIRE_DESCRIBE_H_
#define PARSLEYHITCH_WIRE_DESCRIBE_H_

#include <boost/describe.hpp>
#include <string_view>

#include "model/effect.h"
#include "model/event.h"
#include "model/fleet.h"
#include "model/job.h"
#include "model/ledger_values.h"
#include "model/limits.h"
#include "model/manifest.h"
#include "model/message.h"
#include "model/record.h"

// Describes a struct's members and defines NameOf, the name of the struct in
// the encoding of variants.
#define PARSLEYHITCH_DESCRIBE(type, ...)           \
  BOOST_DESCRIBE_STRUCT(type, (), (__VA_ARGS__))   \
  constexpr std::string_view NameOf(const type*) { \
    return #type;                                  \
  }

namespace parsleyhitch::model {

BOOST_DESCRIBE_ENUM(adjacency, kAny, kFailureDomain, kRack)
BOOST_DESCRIBE_ENUM(importance, kDeferrable, kBatch, kUrgent)
BOOST_DESCRIBE_ENUM(job_phase,
                    kWaiting,
                    kHolding,
                    kStarting,
                    kRunning,
                    kStopping,
                    kFinished,
                    kFailed,
                    kCancelled)
BOOST_DESCRIBE_ENUM(stop_reason,
                    kNone,
                    kPreempted,
                    kMemberLost,
                    kMemberFailed,
                    kCancelled)
BOOST_DESCRIBE_ENUM(task_state,
                    kPending,
                    kHeld,
                    kRunning,
                    kFinished,
                    kFailed,
                    kRefused,
                    kStopped)
BOOST_DESCRIBE_ENUM(task_order, kHold, kRun, kCheckpoint, kStop)
BOOST_DESCRIBE_ENUM(worker_phase, kLive, kLeaving, kLost)
BOOST_DESCRIBE_ENUM(request_outcome, kAnswered, kNotRun, kUnknown)
BOOST_DESCRIBE_ENUM(run_state, kNotApplicable, kNotRun, kOutcomeUnknown)
BOOST_DESCRIBE_ENUM(answer_kind,
                    kAnswered,
                    kAccepted,
                    kFound,
                    kInvalid,
                    kConflict,
                    kNotFound,
                    kOverloaded,
                    kUnavailable,
                    kDeadline)
BOOST_DESCRIBE_ENUM(severity, kInfo, kWarning)

PARSLEYHITCH_DESCRIBE(finding, place, message, line, column)
PARSLEYHITCH_DESCRIBE(shape, gang_size, accelerators, nearness)
PARSLEYHITCH_DESCRIBE(worker_spec,
                      worker,
                      address,
                      failure_domain,
                      rack,
                      accelerators,
                      slots)
PARSLEYHITCH_DESCRIBE(listed_vm, spec, leaving)
PARSLEYHITCH_DESCRIBE(guarantee, name, capacity)
PARSLEYHITCH_DESCRIBE(workspace,
                      id,
                      parent,
                      quota_accelerators,
                      max_requests,
                      guarantees)
PARSLEYHITCH_DESCRIBE(service, id, owner, rank, default_deadline)
PARSLEYHITCH_DESCRIBE(objective, service_name, target_permille, within)
PARSLEYHITCH_DESCRIBE(manifest, version, base, workspaces, services, objectives)
PARSLEYHITCH_DESCRIBE(job_spec,
                      owner,
                      kind,
                      capacity,
                      declared_run_time,
                      priority,
                      preemptible,
                      key)
PARSLEYHITCH_DESCRIBE(job_status,
                      spec,
                      phase,
                      reason,
                      failed_attempts,
                      submitted,
                      submitted_at,
                      since)
PARSLEYHITCH_DESCRIBE(member, worker, state)
PARSLEYHITCH_DESCRIBE(guarantee_id, owner, name)
PARSLEYHITCH_DESCRIBE(placement, token, accelerators, firm, claims, members)

PARSLEYHITCH_DESCRIBE(worker_status,
                      spec,
                      phase,
                      suspected_by,
                      failures,
                      last_failed,
                      ejected_until)
PARSLEYHITCH_DESCRIBE(guarantee_status,
                      capacity,
                      workers,
                      claimed_by,
                      shortfall)
PARSLEYHITCH_DESCRIBE(scoped_key, owner, key)
PARSLEYHITCH_DESCRIBE(request_result, outcome, status, body)
PARSLEYHITCH_DESCRIBE(request_claim, digest, by, incarnation, at, result)
PARSLEYHITCH_DESCRIBE(job_key, job)
PARSLEYHITCH_DESCRIBE(run_time_estimate, ratio_permille, samples)
PARSLEYHITCH_DESCRIBE(work_kind, owner, kind)
PARSLEYHITCH_DESCRIBE(writer, entry, incarnation)

PARSLEYHITCH_DESCRIBE(manifest_published, proposed)
PARSLEYHITCH_DESCRIBE(worker_registered, spec)
PARSLEYHITCH_DESCRIBE(worker_leaving, worker)
PARSLEYHITCH_DESCRIBE(worker_suspected, worker, by, witnesses)
PARSLEYHITCH_DESCRIBE(worker_heard, worker)
PARSLEYHITCH_DESCRIBE(worker_removed, worker)
PARSLEYHITCH_DESCRIBE(job_submitted, job, spec)
PARSLEYHITCH_DESCRIBE(job_placed, job, workers)
PARSLEYHITCH_DESCRIBE(job_preempted, job, token)
PARSLEYHITCH_DESCRIBE(job_cancelled, job)
PARSLEYHITCH_DESCRIBE(task_report, job, token, state)
PARSLEYHITCH_DESCRIBE(tasks_reported, worker, tasks)
PARSLEYHITCH_DESCRIBE(request_claimed, owner, key, digest, by, incarnation)
PARSLEYHITCH_DESCRIBE(request_finished, owner, key, by, result)
PARSLEYHITCH_DESCRIBE(saved_head, clock, in_force)
PARSLEYHITCH_DESCRIBE(saved_writer, name, last_sequence)
PARSLEYHITCH_DESCRIBE(saved_worker, status)
PARSLEYHITCH_DESCRIBE(saved_job, job, status, placed)
PARSLEYHITCH_DESCRIBE(saved_job_key, name, key)
PARSLEYHITCH_DESCRIBE(saved_estimate, kind, estimate)
PARSLEYHITCH_DESCRIBE(saved_guarantee, id, status)
PARSLEYHITCH_DESCRIBE(saved_claim, name, claim)
PARSLEYHITCH_DESCRIBE(checkpoint_chunk, by, upto, index, count, parts)
PARSLEYHITCH_DESCRIBE(batch, by, incarnation, sequence, at, records)
PARSLEYHITCH_DESCRIBE(logged_batch, offset, content)

PARSLEYHITCH_DESCRIBE(heartbeat,
                      from,
                      incarnation,
                      next_offset,
                      log_readable,
                      draining,
                      leaving,
                      ready)
PARSLEYHITCH_DESCRIBE(batches_relayed, from, batches)
PARSLEYHITCH_DESCRIBE(task_instruction, job, token, accelerators, order)
PARSLEYHITCH_DESCRIBE(worker_sync, as_of, lease, tasks)
PARSLEYHITCH_DESCRIBE(worker_report, accepted, leaving, tasks)
PARSLEYHITCH_DESCRIBE(job_view, job, phase, reason, failed_attempts, members)
PARSLEYHITCH_DESCRIBE(guarantee_view, id, claimed, shortfall)
PARSLEYHITCH_DESCRIBE(peer_view, entry, alive, draining, next_offset)
PARSLEYHITCH_DESCRIBE(status_view,
                      entry,
                      next_offset,
                      log_readable,
                      draining,
                      manifest_version,
                      jobs_waiting,
                      jobs_placed,
                      workers_live,
                      workers_leaving,
                      workers_lost,
                      accelerators_firm,
                      accelerators_soft,
                      accelerators_reserved,
                      accelerators_total,
                      requests_open,
                      guarantees,
                      peers)
PARSLEYHITCH_DESCRIBE(answer,
                      kind,
                      ran,
                      faults,
                      retry_after,
                      job,
                      status,
                      version,
                      endpoint_status,
                      body)

PARSLEYHITCH_DESCRIBE(entry_started, at, incarnation, seed)
PARSLEYHITCH_DESCRIBE(wake_due, at)
PARSLEYHITCH_DESCRIBE(log_read, at, first_offset, end_offset, batches)
PARSLEYHITCH_DESCRIBE(log_unread, at)
PARSLEYHITCH_DESCRIBE(append_answered, at, sequence, offset)
PARSLEYHITCH_DESCRIBE(append_unanswered, at, sequence)
PARSLEYHITCH_DESCRIBE(vm_list_read, at, vms)
PARSLEYHITCH_DESCRIBE(vm_list_unread, at)
PARSLEYHITCH_DESCRIBE(peer_heard, at, message)
PARSLEYHITCH_DESCRIBE(worker_answered, at, worker, call, report)
PARSLEYHITCH_DESCRIBE(worker_unanswered, at, worker, call)
PARSLEYHITCH_DESCRIBE(job_requested, at, call, spec, deadline)
PARSLEYHITCH_DESCRIBE(job_cancel_requested, at, call, job, deadline)
PARSLEYHITCH_DESCRIBE(job_read_requested, at, call, job)
PARSLEYHITCH_DESCRIBE(manifest_offered, at, call, proposed, deadline)
PARSLEYHITCH_DESCRIBE(status_requested, at, call)
PARSLEYHITCH_DESCRIBE(drain_requested, at, call)
PARSLEYHITCH_DESCRIBE(request_received,
                      at,
                      call,
                      target,
                      owner,
                      idempotent,
                      key,
                      deadline,
                      body)
PARSLEYHITCH_DESCRIBE(caller_gone, at, call)
PARSLEYHITCH_DESCRIBE(endpoint_answered,
                      at,
                      call,
                      attempt,
                      status,
                      leaving,
                      body)
PARSLEYHITCH_DESCRIBE(endpoint_unanswered, at, call, attempt, sent)

PARSLEYHITCH_DESCRIBE(append_batch, content, timeout)
PARSLEYHITCH_DESCRIBE(read_log, from, wait, timeout)
PARSLEYHITCH_DESCRIBE(read_vm_list, timeout)
PARSLEYHITCH_DESCRIBE(send_to_peer, to, message)
PARSLEYHITCH_DESCRIBE(call_worker, worker, address, call, sync, timeout)
PARSLEYHITCH_DESCRIBE(call_endpoint,
                      address,
                      call,
                      attempt,
                      target,
                      key,
                      body,
                      timeout)
PARSLEYHITCH_DESCRIBE(answer_caller, call, content)
PARSLEYHITCH_DESCRIBE(wake_at, at)
PARSLEYHITCH_DESCRIBE(write_log_line, level, message, subject)
PARSLEYHITCH_DESCRIBE(observe_request, target, latency, whole_answer)
PARSLEYHITCH_DESCRIBE(count_metric, name, increment)
PARSLEYHITCH_DESCRIBE(stop_process)

PARSLEYHITCH_DESCRIBE(limits,
                      append_interval,
                      append_timeout,
                      append_retry,
                      read_wait,
                      read_timeout,
                      read_retry,
                      max_batch_records,
                      checkpoint_every_batches,
                      checkpoint_interval,
                      checkpoint_chunk_parts,
                      heartbeat_interval,
                      peer_timeout,
                      relay_buffer_batches,
                      vm_list_interval,
                      vm_list_timeout,
                      drain_grace,
                      drain_timeout,
                      sync_interval,
                      sync_timeout,
                      lease,
                      checkpoint_timeout,
                      worker_failures_to_eject,
                      eject_base,
                      eject_max,
                      max_attempts,
                      plan_scan,
                      plan_pause,
                      plan_interval,
                      reserved_starts,
                      short_job,
                      urgent_priority,
                      defragment_after,
                      finished_jobs_kept,
                      max_open_requests,
                      urgent_slots_permille,
                      max_request_attempts,
                      retry_budget_percent,
                      retry_budget_cap,
                      retry_backoff,
                      key_retention,
                      retry_after,
                      endpoint_failures_to_eject)

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_WIRE_DESCRIBE_H_
