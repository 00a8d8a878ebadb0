// Watches a run for broken invariants.

#include "replay/monitor.h"

#include <utility>

namespace parsleyhitch::replay {

namespace {

// A member that lost its fellows runs until its lease lapses or it is told: the
// loss shows after a lease and a sync interval, and the stop goes out with the
// next sync.
model::duration LongestPartial(const model::limits& limits) {
  constexpr int kSyncs = 4;
  return 2 * limits.lease + kSyncs * limits.sync_interval +
         limits.append_timeout;
}

}  // namespace

monitor::monitor(const model::limits& limits)
    : longest_partial_(LongestPartial(limits)) {}

void monitor::Breach(const char* rule, std::string what, model::timestamp at) {
  breaches_.push_back({.rule = rule, .what = std::move(what), .at = at});
}

void monitor::SeeGang(const model::job_id& job,
                      model::fence token,
                      std::size_t members) {
  gangs_[{.job = job, .token = token}].members = members;
}

// Some members run while others neither run nor have finished.
void monitor::WatchPartial(const gang_name& name,
                           gang_watch& gang,
                           model::timestamp at) {
  const std::size_t active = gang.running.size() + gang.finished.size();
  const bool partial = !gang.running.empty() && active < gang.members;
  if (partial && !gang.partial)
    gang.partial_since = at;
  if (gang.partial && at - gang.partial_since > longest_partial_) {
    Breach(kRulePartialGang, name.job.value() + " ran in part for too long",
           at);
    gang.partial_since = at;
  }
  gang.partial = partial;
}

void monitor::SeeTask(const model::worker_id& worker, const task_entry& entry) {
  const gang_name name{.job = entry.job, .token = entry.token};
  gang_watch& gang = gangs_[name];
  gang.running.erase(worker);
  if (entry.state == model::task_state::kHeld)
    gang.held.insert(worker);
  if (entry.state == model::task_state::kFinished)
    gang.finished.insert(worker);
  if (entry.state == model::task_state::kRunning) {
    gang.running.insert(worker);
    if (gang.held.size() < gang.members) {
      Breach(kRulePartialGang,
             entry.job.value() + " started before all were held", entry.at);
    }
  }
  WatchPartial(name, gang, entry.at);
}

void monitor::SeeRun(const std::string& name,
                     const std::string& key,
                     model::timestamp at) {
  ++runs_by_name_[name];
  if (key.empty())
    return;
  if (++runs_by_key_[key] > 1)
    Breach(kRuleAtMostOnce, "key " + key + " ran again", at);
}

void monitor::SeeAnswer(const std::string& name,
                        const std::string& body,
                        const model::answer& answer,
                        model::timestamp at) {
  if (answer.kind == model::answer_kind::kAnswered &&
      answer.body != "served " + body)
    Breach(kRuleWholeAnswer, name + " was answered '" + answer.body + "'", at);
  if (answer.ran == model::run_state::kNotRun)
    refused_not_run_.insert(name);
}

void monitor::SeeCut(const std::string& what, model::timestamp at) {
  Breach(kRuleNoCut, what, at);
}

void monitor::SeeVersion(const std::string& entry,
                         std::uint64_t version,
                         model::timestamp at) {
  std::uint64_t& highest = versions_[entry];
  if (version < highest)
    Breach(kRuleNoRevert,
           entry + " went back to version " + std::to_string(version), at);
  highest = std::max(highest, version);
}

void monitor::SeeLedger(const std::string& entry,
                        const model::ledger& ledger,
                        model::timestamp at) {
  for (const auto& [worker, use] : ledger.worker_usage) {
    const model::worker_status* status = ledger.workers.Find(worker);
    const bool live =
        status != nullptr && status->phase == model::worker_phase::kLive;
    if (!live || use.firm + use.reserved <= status->spec.accelerators)
      continue;
    Breach(kRuleGuarantee,
           entry + " gave away what is reserved on " + worker.value(), at);
    return;
  }
}

void monitor::SeeSpin(model::timestamp at) {
  Breach(kRuleNoSpin, "events follow one another without end", at);
}

void monitor::SeeDisagreement(const std::string& what, model::timestamp at) {
  Breach(kRuleAgree, what, at);
}

void monitor::Finish(model::timestamp at) {
  for (auto& [name, gang] : gangs_) {
    const bool too_long =
        gang.partial && at - gang.partial_since > longest_partial_;
    if (too_long)
      Breach(kRulePartialGang, name.job.value() + " still runs in part", at);
  }
  for (const std::string& name : refused_not_run_) {
    if (runs_by_name_.contains(name))
      Breach(kRuleNotRun, name + " was run", at);
  }
}

std::uint64_t monitor::RunsOfKey(const std::string& key) const {
  const auto found = runs_by_key_.find(key);
  return found == runs_by_key_.end() ? 0 : found->second;
}

}  // namespace parsleyhitch::replay
