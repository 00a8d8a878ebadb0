// Watches a run for broken invariants, from the outside: by what workers and
// endpoints did, what callers were told, and what entries have in force.

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

// The rules by their names in traces.
inline constexpr char kRulePartialGang[] = "partial_gang";
inline constexpr char kRuleWholeAnswer[] = "whole_answer";
inline constexpr char kRuleNotRun[] = "not_run_is_true";
inline constexpr char kRuleAtMostOnce[] = "at_most_once";
inline constexpr char kRuleNoCut[] = "planned_stop_cuts_nothing";
inline constexpr char kRuleNoRevert[] = "never_reverts";
inline constexpr char kRuleAgree[] = "entries_agree";
inline constexpr char kRuleNoSpin[] = "nothing_spins";
inline constexpr char kRuleGuarantee[] = "guarantee_is_kept";

struct breach {
  const std::string rule;
  const std::string what;
  const model::timestamp at;
  bool operator==(const breach&) const = default;
};

class monitor {
 public:
  explicit monitor(const model::limits& limits);

  void SeeGang(const model::job_id& job,
               model::fence token,
               std::size_t members);
  void SeeTask(const model::worker_id& worker, const task_entry& entry);
  // An endpoint ran the request of this name and key.
  void SeeRun(const std::string& name,
              const std::string& key,
              model::timestamp at);
  void SeeAnswer(const std::string& name,
                 const std::string& body,
                 const model::answer& answer,
                 model::timestamp at);
  void SeeCut(const std::string& what, model::timestamp at);
  void SeeVersion(const std::string& entry,
                  std::uint64_t version,
                  model::timestamp at);
  // Firm work and reservations must fit together on every live worker.
  void SeeLedger(const std::string& entry,
                 const model::ledger& ledger,
                 model::timestamp at);
  void SeeSpin(model::timestamp at);
  void SeeDisagreement(const std::string& what, model::timestamp at);

  // Closes the books: what is still partial, and what ran after it was refused.
  void Finish(model::timestamp at);

  const std::vector<breach>& breaches() const { return breaches_; }
  std::uint64_t RunsOfKey(const std::string& key) const;

 private:
  struct gang_name {
    model::job_id job;
    model::fence token = 0;
    auto operator<=>(const gang_name&) const = default;
  };
  struct gang_watch {
    std::size_t members = 0;
    std::set<model::worker_id> held;
    std::set<model::worker_id> running;
    std::set<model::worker_id> finished;
    model::timestamp partial_since;
    bool partial = false;
  };

  void Breach(const char* rule, std::string what, model::timestamp at);
  void WatchPartial(const gang_name& name,
                    gang_watch& gang,
                    model::timestamp at);

  const model::duration longest_partial_;
  std::map<gang_name, gang_watch> gangs_;
  std::map<std::string, std::uint64_t> runs_by_name_;
  std::map<std::string, std::uint64_t> runs_by_key_;
  std::set<std::string> refused_not_run_;
  std::map<std::string, std::uint64_t> versions_;
  std::vector<breach> breaches_;
};

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_MONITOR_H_
