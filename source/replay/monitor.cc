// Checks a run for violated invariants.

#include "replay/monitor.h"

#include <utility>

namespace parsleyhitch::replay {

namespace {

// How long a gang may run in part. When a member is lost, the others run until
// they are told to stop or their own lease expires: the loss is detected after
// a lease and a sync interval, and the stop instruction goes out with the next
// sync.
model::duration MaxPartialDuration(const model::limits& limits) {
  constexpr int kSyncIntervals = 4;
  return 2 * limits.lease + kSyncIntervals * limits.sync_interval +
         limits.append_timeout;
}

}  // namespace

monitor::monitor(const model::limits& limits)
    : max_partial_duration_(MaxPartialDuration(limits)) {}

void monitor::AddBreach(const char* rule,
                        std::string description,
                        model::timestamp at) {
  breaches_.push_back(
      {.rule = rule, .description = std::move(description), .at = at});
}

void monitor::RecordGang(const model::job_id& job,
                         model::fence token,
                         std::size_t members) {
  gangs_[{.job = job, .token = token}].members = members;
}

// A gang is partial while some members run and others neither run nor have
// finished.
void monitor::UpdatePartial(const gang_key& key,
                            gang_progress& gang,
                            model::timestamp at) {
  const std::size_t active = gang.running.size() + gang.finished.size();
  const bool partial = !gang.running.empty() && active < gang.members;
  if (partial && !gang.partial)
    gang.partial_since = at;
  if (gang.partial && at - gang.partial_since > max_partial_duration_) {
    AddBreach(kRulePartialGang, key.job.value() + " ran in part for too long",
              at);
    gang.partial_since = at;
  }
  gang.partial = partial;
}

void monitor::RecordTaskChange(const model::worker_id& worker,
                               const task_change& change) {
  const gang_key key{.job = change.job, .token = change.token};
  gang_progress& gang = gangs_[key];
  gang.running.erase(worker);
  if (change.state == model::task_state::kHeld)
    gang.held.insert(worker);
  if (change.state == model::task_state::kFinished)
    gang.finished.insert(worker);
  if (change.state == model::task_state::kRunning) {
    gang.running.insert(worker);
    if (gang.held.size() < gang.members) {
      AddBreach(
          kRulePartialGang,
          change.job.value() + " started before all its members were held",
          change.at);
    }
  }
  UpdatePartial(key, gang, change.at);
}

void monitor::RecordRequestRun(const std::string& name,
                               const std::string& key,
                               model::timestamp at) {
  ++runs_by_name_[name];
  if (key.empty())
    return;
  if (++runs_by_key_[key] > 1)
    AddBreach(kRuleAtMostOnce, "key " + key + " ran again", at);
}

void monitor::RecordAnswer(const std::string& name,
                           const std::string& body,
                           const model::answer& answer,
                           model::timestamp at) {
  if (answer.kind == model::answer_kind::kAnswered &&
      answer.body != "served " + body)
    AddBreach(kRuleWholeAnswer, name + " was answered '" + answer.body + "'",
              at);
  if (answer.ran == model::run_state::kNotRun)
    reported_not_run_.insert(name);
}

void monitor::RecordInterruption(const std::string& description,
                                 model::timestamp at) {
  AddBreach(kRuleNoInterruption, description, at);
}

void monitor::RecordVersion(const std::string& entry,
                            std::uint64_t version,
                            model::timestamp at) {
  std::uint64_t& highest = versions_[entry];
  if (version < highest)
    AddBreach(kRuleNoRevert,
              entry + " reverted to version " + std::to_string(version), at);
  highest = std::max(highest, version);
}

void monitor::CheckLedger(const std::string& entry,
                          const model::ledger& ledger,
                          model::timestamp at) {
  for (const auto& [worker, use] : ledger.worker_usage) {
    const model::worker_status* status = ledger.workers.Find(worker);
    const bool live =
        status != nullptr && status->phase == model::worker_phase::kLive;
    if (!live || use.firm + use.reserved <= status->spec.accelerators)
      continue;
    AddBreach(kRuleGuarantee,
              entry + " allocated accelerators reserved on " + worker.value(),
              at);
    return;
  }
}

void monitor::ReportLivelock(model::timestamp at) {
  AddBreach(kRuleNoSpin, "events are processed without time advancing", at);
}

void monitor::ReportDivergence(const std::string& description,
                               model::timestamp at) {
  AddBreach(kRuleEntriesAgree, description, at);
}

void monitor::Finish(model::timestamp at) {
  for (auto& [key, gang] : gangs_) {
    const bool too_long =
        gang.partial && at - gang.partial_since > max_partial_duration_;
    if (too_long)
      AddBreach(kRulePartialGang, key.job.value() + " still runs in part", at);
  }
  for (const std::string& name : reported_not_run_) {
    if (runs_by_name_.contains(name))
      AddBreach(kRuleNotRun, name + " ran although reported as not run", at);
  }
}

std::uint64_t monitor::RunsOfKey(const std::string& key) const {
  const auto found = runs_by_key_.find(key);
  return found == runs_by_key_.end() ? 0 : found->second;
}

}  // namespace parsleyhitch::replay
