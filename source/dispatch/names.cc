// Conversion of values to the names used in log lines and metrics.

#include "dispatch/names.h"

namespace parsleyhitch::dispatch {

namespace {

template <typename Id>
std::string Dotted(const Id& id) {
  return id.job.value() + "." + std::to_string(id.occurrence) + "." +
         std::to_string(id.step) + "." + std::to_string(id.index);
}

}  // namespace

std::string NameOf(const work::unit_id& unit) {
  return Dotted(unit);
}

std::string NameOf(const work::task_id& task) {
  return Dotted(task);
}

std::string NameOf(work::job_phase phase) {
  switch (phase) {
    case work::job_phase::kQueued:
      return "queued";
    case work::job_phase::kRunning:
      return "running";
    case work::job_phase::kCompleted:
      return "completed";
    case work::job_phase::kFailed:
      return "failed";
    case work::job_phase::kCancelled:
      break;
  }
  return "cancelled";
}

std::string NameOf(work::run_end_kind how) {
  switch (how) {
    case work::run_end_kind::kDone:
      return "done";
    case work::run_end_kind::kFailed:
      return "failed";
    case work::run_end_kind::kStopped:
      return "stopped";
    case work::run_end_kind::kLeaseExpired:
      return "lapsed";
    case work::run_end_kind::kGangMemberEnded:
      return "broken";
    case work::run_end_kind::kGangIncomplete:
      break;
  }
  return "alone";
}

std::string NameOf(work::order_outcome outcome) {
  switch (outcome) {
    case work::order_outcome::kDone:
      return "done";
    case work::order_outcome::kFenced:
      return "fenced";
    case work::order_outcome::kOutdated:
      return "outdated";
    case work::order_outcome::kTooLate:
      return "too_late";
    case work::order_outcome::kNoRoom:
      return "no_room";
    case work::order_outcome::kRefused:
      return "refused";
    case work::order_outcome::kRestarted:
      return "reborn";
    case work::order_outcome::kDisconnected:
      return "disconnected";
    case work::order_outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string NameOf(work::call_verb verb) {
  switch (verb) {
    case work::call_verb::kSubmit:
      return "submit";
    case work::call_verb::kRead:
      return "read";
    case work::call_verb::kCancel:
      break;
  }
  return "cancel";
}

std::string NameOf(work::answer_kind kind) {
  switch (kind) {
    case work::answer_kind::kAccepted:
      return "accepted";
    case work::answer_kind::kState:
      return "state";
    case work::answer_kind::kWaiting:
      return "waiting";
    case work::answer_kind::kInvalid:
      return "invalid";
    case work::answer_kind::kNoKey:
      return "no_key";
    case work::answer_kind::kNoQueue:
      return "no_queue";
    case work::answer_kind::kNoJob:
      return "no_job";
    case work::answer_kind::kNotRun:
      return "not_run";
    case work::answer_kind::kNotSettled:
      break;
  }
  return "not_settled";
}

std::string NameOf(work::feed source) {
  switch (source) {
    case work::feed::kRecords:
      return "records";
    case work::feed::kCatalog:
      return "catalog";
    case work::feed::kUnits:
      return "units";
    case work::feed::kWorkers:
      break;
  }
  return "workers";
}

}  // namespace parsleyhitch::dispatch
