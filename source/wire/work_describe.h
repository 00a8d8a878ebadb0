// Describes the fields of the dispatcher's records, messages and settings, for
// the generic codecs. The order determines the protobuf field numbers: add
// fields only at the end.

#ifndef PARSLEYHITCH_WIRE_WORK_DESCRIBE_H_
#define PARSLEYHITCH_WIRE_WORK_DESCRIBE_H_

#include "wire/describe.h"
#include "work/limits.h"
#include "work/peer_message.h"
#include "work/policies.h"
#include "work/record.h"

namespace parsleyhitch::work {

BOOST_DESCRIBE_ENUM(job_phase,
                    kQueued,
                    kRunning,
                    kCompleted,
                    kFailed,
                    kCancelled)
BOOST_DESCRIBE_ENUM(call_verb, kSubmit, kRead, kCancel)
BOOST_DESCRIBE_ENUM(answer_kind,
                    kAccepted,
                    kState,
                    kWaiting,
                    kInvalid,
                    kNoKey,
                    kNoQueue,
                    kNoJob,
                    kNotRun,
                    kNotSettled)

BOOST_DESCRIBE_ENUM(run_end_kind,
                    kDone,
                    kFailed,
                    kStopped,
                    kLeaseExpired,
                    kGangMemberEnded,
                    kGangIncomplete)
BOOST_DESCRIBE_ENUM(order_outcome,
                    kDone,
                    kFenced,
                    kOutdated,
                    kTooLate,
                    kNoRoom,
                    kRefused,
                    kRestarted,
                    kUnknown,
                    kDisconnected)

PARSLEYHITCH_DESCRIBE(resources, cpu_millis, memory_mb, accelerators)
PARSLEYHITCH_DESCRIBE(step_spec,
                      tasks,
                      need,
                      estimate,
                      after,
                      gang,
                      same_rack,
                      checkpointed,
                      duplicates_allowed,
                      endless,
                      fills_idle,
                      required_label,
                      data_rack,
                      max_per_worker,
                      may_be_away,
                      image)
PARSLEYHITCH_DESCRIBE(schedule, first_due, interval, occurrences)
PARSLEYHITCH_DESCRIBE(job_request, spec, steps, when)
PARSLEYHITCH_DESCRIBE(submission,
                      job,
                      queue,
                      service,
                      owner,
                      priority,
                      max_attempts,
                      stretch_permille,
                      target_latency,
                      submitted_at,
                      request)
PARSLEYHITCH_DESCRIBE(lost_attempt, attempt, worker, life, at_start)
PARSLEYHITCH_DESCRIBE(unit_progress,
                      occurrence,
                      step,
                      index,
                      done,
                      failures,
                      attempt,
                      attempt_failed,
                      checkpoint,
                      workers,
                      losses,
                      later_losses,
                      failed_attempts,
                      lost_attempts)

PARSLEYHITCH_DESCRIBE(job_submitted, content)
PARSLEYHITCH_DESCRIBE(job_cancelled, job)
PARSLEYHITCH_DESCRIBE(job_progressed, job, phase)
PARSLEYHITCH_DESCRIBE(member_joined, entry, address, cpu_millis, incarnation)
PARSLEYHITCH_DESCRIBE(leader_elected, entry, epoch)
PARSLEYHITCH_DESCRIBE(unit_id, job, occurrence, step, index)
PARSLEYHITCH_DESCRIBE(unit_progressed, job, progress)
PARSLEYHITCH_DESCRIBE(unit_deleted, unit)
PARSLEYHITCH_DESCRIBE(worker_admitted, worker)
PARSLEYHITCH_DESCRIBE(worker_released, worker)
BOOST_DESCRIBE_ENUM(job_part, kSubmission, kCancellation, kPhase)
PARSLEYHITCH_DESCRIBE(job_deleted, job, part)

PARSLEYHITCH_DESCRIBE(client_call,
                      verb,
                      host,
                      path,
                      key,
                      patience,
                      request,
                      faults)
PARSLEYHITCH_DESCRIBE(client_answer, kind, phase, waiting, faults, retry_after)
PARSLEYHITCH_DESCRIBE(evacuation_report, position, failure_domains)
PARSLEYHITCH_DESCRIBE(expected_wait,
                      service,
                      owner,
                      priority,
                      wait,
                      free,
                      largest_free)
PARSLEYHITCH_DESCRIBE(leader_heartbeat,
                      epoch,
                      address,
                      number,
                      catalog_version,
                      store_reached,
                      resigning,
                      store_slow,
                      all_streams_reached,
                      evacuations,
                      waits)
PARSLEYHITCH_DESCRIBE(heartbeat_reply,
                      epoch,
                      address,
                      number,
                      catalog_version,
                      clock,
                      incarnation,
                      takes_orders,
                      evacuations)
PARSLEYHITCH_DESCRIBE(catalog_wanted, address, held_version)
PARSLEYHITCH_DESCRIBE(catalog_offered, version, content)
PARSLEYHITCH_DESCRIBE(queue,
                      id,
                      host,
                      path_prefix,
                      service,
                      priority,
                      max_attempts,
                      stretch_permille,
                      target_latency,
                      call_timeout,
                      allows_anonymous)
PARSLEYHITCH_DESCRIBE(call_route, destination, owner)
PARSLEYHITCH_DESCRIBE(call_relayed, call, address, content, route)
PARSLEYHITCH_DESCRIBE(call_settled, call, answer)
PARSLEYHITCH_DESCRIBE(task_id, job, occurrence, step, index)
PARSLEYHITCH_DESCRIBE(order_target,
                      worker,
                      address,
                      token,
                      valid_until,
                      failure_domain)
PARSLEYHITCH_DESCRIBE(start_run,
                      call,
                      target,
                      task,
                      attempt,
                      spec,
                      checkpoint,
                      lease_until,
                      timeout)
PARSLEYHITCH_DESCRIBE(stop_run, call, target, task, attempt, timeout)
PARSLEYHITCH_DESCRIBE(hold_worker,
                      call,
                      target,
                      lease_until,
                      acknowledged,
                      wait,
                      timeout)
PARSLEYHITCH_DESCRIBE(running_task, task, attempt, checkpoint, percent)
PARSLEYHITCH_DESCRIBE(ended_task, number, task, attempt, how, checkpoint)
PARSLEYHITCH_DESCRIBE(worker_listing, life, running, ended)
PARSLEYHITCH_DESCRIBE(start_answered, at, call, worker, outcome, worker_clock)
PARSLEYHITCH_DESCRIBE(stop_answered, at, call, worker, outcome)
PARSLEYHITCH_DESCRIBE(hold_answered,
                      at,
                      call,
                      worker,
                      outcome,
                      worker_clock,
                      listing)
PARSLEYHITCH_DESCRIBE(orders_forwarded, epoch, address, incarnation, orders)
PARSLEYHITCH_DESCRIBE(answers_returned, epoch, answers)
PARSLEYHITCH_DESCRIBE(peer_message, from, content)

PARSLEYHITCH_DESCRIBE(policies,
                      fair_sharing,
                      admission,
                      room_waits,
                      urgent_reserve,
                      worker_speeds,
                      locality_forecast)

PARSLEYHITCH_DESCRIBE(limits,
                      tick,
                      read_wait,
                      read_timeout,
                      read_retry,
                      follower_read_pause,
                      worker_list_interval,
                      append_timeout,
                      append_retry,
                      append_pause,
                      progress_pause,
                      max_batch_records,
                      store_silent,
                      heartbeat_interval,
                      leader_silent,
                      election_stagger,
                      authority,
                      stall,
                      settle_timeout,
                      lease,
                      clock_drift_permille,
                      hold_wait,
                      order_timeout,
                      order_retry,
                      lapse_margin,
                      unlisted_gone,
                      failures_to_shun,
                      shun_base,
                      shun_max,
                      shun_patience,
                      plan_pause,
                      plan_rate,
                      plan_pause_max,
                      preempted_base,
                      preempted_max,
                      attempts_per_epoch,
                      near_patience_permille,
                      default_patience,
                      answer_margin,
                      retry_after,
                      relay_after,
                      refuse_after,
                      slow_append,
                      store_retry_max,
                      leader_retry_max,
                      start_rate,
                      plan_scan_rate,
                      workers_per_core,
                      proxy_silent,
                      forward_pause,
                      forward_margin,
                      deletion_pause,
                      interference_weight_permille)

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WIRE_WORK_DESCRIBE_H_
