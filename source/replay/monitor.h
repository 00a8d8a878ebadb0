// Checks a run for violated invariants by observing it from outside: what
// workers and endpoints did, what callers were answered, and which manifest
// version each entry has in force.

#ifndef PARSLEYHITCH_REPLAY_MONITOR_H_
#define PARSLEYHITCH_REPLAY_MONITOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/ledger.h"
#include "model/limits.h"
#include "model/message.h"
#include "replay/fake_worker.h"

namespace parsleyhitch::replay {

// Names of the invariants, as printed in reports.
inline constexpr char kRulePartialGang[] = "partial_gang";
inline constexpr char kRuleWholeAnswer[] = "whole_answer";
inline constexpr char kRuleNotRun[] = "not_run_is_true";
inline constexpr char kRuleAtMostOnce[] = "at_most_once";
inline constexpr char kRuleNoInterruption[] = "planned_stop_cuts_nothing";
inline constexpr char kRuleNoRevert[] = "never_reverts";
inline constexpr char kRuleEntriesAgree[] = "entries_agree";
inline constexpr char kRuleNoSpin[] = "nothing_spins";
inline constexpr char kRuleGuarantee[] = "guarantee_is_kept";

// One violation of the invariant named by `rule`.
struct breach {
  const std::string rule;
  const std::string description;
  const model::timestamp at;
  bool operator==(const breach&) const = default;
};

class monitor {
 public:
  explicit monitor(const model::limits& limits);

  // The placement `token` of `job` has this many members.
  void RecordGang(const model::job_id& job,
                  model::fence token,
                  std::size_t members);
  void RecordTaskChange(const model::worker_id& worker,
                        const task_change& change);
  // An endpoint ran the request with this name and idempotency key.
  void RecordRequestRun(const std::string& name,
                        const std::string& key,
                        model::timestamp at);
  void RecordAnswer(const std::string& name,
                    const std::string& body,
                    const model::answer& answer,
                    model::timestamp at);
  // A planned stop of an entry interrupted an open call.
  void RecordInterruption(const std::string& description, model::timestamp at);
  void RecordVersion(const std::string& entry,
                     std::uint64_t version,
                     model::timestamp at);
  // Firm work and reservations together must fit on every live worker.
  void CheckLedger(const std::string& entry,
                   const model::ledger& ledger,
                   model::timestamp at);
  // The simulation processes events without time advancing.
  void ReportLivelock(model::timestamp at);
  // Two entries' ledgers differ at the same log offset.
  void ReportDivergence(const std::string& description, model::timestamp at);

  // Checks what can only be judged at the end of the run: gangs that still run
  // in part, and requests that ran although the caller was told they had not.
  void Finish(model::timestamp at);

  const std::vector<breach>& breaches() const { return breaches_; }
  std::uint64_t RunsOfKey(const std::string& key) const;

 private:
  // One placement of a job; every new placement has a new token.
  struct gang_key {
    model::job_id job;
    model::fence token = 0;
    auto operator<=>(const gang_key&) const = default;
  };
  struct gang_progress {
    std::size_t members = 0;
    std::set<model::worker_id> held;
    std::set<model::worker_id> running;
    std::set<model::worker_id> finished;
    model::timestamp partial_since;
    bool partial = false;
  };

  void AddBreach(const char* rule,
                 std::string description,
                 model::timestamp at);
  void UpdatePartial(const gang_key& key,
                     gang_progress& gang,
                     model::timestamp at);

  const model::duration max_partial_duration_;
  std::map<gang_key, gang_progress> gangs_;
  std::map<std::string, std::uint64_t> runs_by_name_;
  std::map<std::string, std::uint64_t> runs_by_key_;
  std::set<std::string> reported_not_run_;
  std::map<std::string, std::uint64_t> versions_;
  std::vector<breach> breaches_;
};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_MONITOR_H_
