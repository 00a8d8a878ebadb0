// Faults start and end on the callers' event loop, so a run uses a single
// thread. The faults of the store, workers and links are sent as a complete set
// whenever they change.

#include "soak/soak.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "soak/callers.h"
#include "soak/schedule.h"

namespace parsleyhitch::soak {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::uint64_t kTicksPerJob = 6;
constexpr std::int64_t kLinkDelayMs = 400;
constexpr std::uint32_t kLostAnswers = 2;
constexpr std::uint32_t kFailureDomains = 2;

bool IsEntryFault(fault_kind kind) {
  return kind == fault_kind::kKillEntry || kind == fault_kind::kFreezeEntry ||
         kind == fault_kind::kStopEntry;
}

const char* LinkMode(fault_kind kind) {
  switch (kind) {
    case fault_kind::kDelayLink:
      return "delayed";
    case fault_kind::kResetLink:
      return "reset";
    case fault_kind::kSilenceLink:
      return "silent";
    default:
      return "one_way";
  }
}

class soak_run {
 public:
  soak_run(std::uint64_t seed,
           std::chrono::milliseconds length,
           fault_set set,
           const test::site_options& options)
      : length_(length),
        schedule_(GenerateSchedule(seed, length, set)),
        site_(options),
        callers_(io_, site_, seed, set != fault_set::kBasic),
        timer_(io_) {}

  soak_result Run() {
    start_time_ = std::chrono::steady_clock::now();
    Tick();
    io_.run();
    try {
      AwaitEntries();
      CheckJobs();
    } catch (const std::runtime_error& error) {
      AddBreach(error.what());
    }
    return Result();
  }

 private:
  std::chrono::milliseconds Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start_time_);
  }

  void AddBreach(const std::string& description) {
    breaches_.insert(description);
  }

  void Tick() {
    while (next_ < schedule_.size() && schedule_[next_].at <= Now())
      StartFault(schedule_[next_++]);
    EndDueFaults();
    // Callers are active only while faults are injected; the run then waits
    // until all faults have ended and all requests have completed.
    if (Now() < length_) {
      if (ticks_++ % kTicksPerJob == 0)
        callers_.SubmitJob();
      callers_.ReadOrCancelJob();
    } else if (active_.empty() && callers_.open() == 0) {
      return;
    }
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const asio::error_code&) { Tick(); });
  }

  std::uint32_t EntryOf(const fault& each) const {
    return each.target % site_.entries();
  }

  void StartFault(const fault& each) {
    // At most one fault per process at a time.
    if (IsEntryFault(each.kind) &&
        !faulted_entries_.insert(EntryOf(each)).second)
      return;
    started_faults_ += 1;
    active_.push_back(&each);
    if (each.kind == fault_kind::kKillEntry)
      site_.Signal(EntryOf(each), SIGKILL);
    else if (each.kind == fault_kind::kFreezeEntry)
      site_.Signal(EntryOf(each), SIGSTOP);
    else if (each.kind == fault_kind::kStopEntry)
      site_.Signal(EntryOf(each), SIGTERM);
    else
      SendFaults(&each);
  }

  void EndDueFaults() {
    const auto due = [&](const fault* each) {
      return each->at + each->duration <= Now();
    };
    std::vector<const fault*> ended;
    std::ranges::copy_if(active_, std::back_inserter(ended), due);
    std::erase_if(active_, due);
    for (const fault* each : ended)
      EndFault(*each);
  }

  void EndFault(const fault& each) {
    if (!IsEntryFault(each.kind)) {
      SendFaults(nullptr);
      return;
    }
    const std::uint32_t entry = EntryOf(each);
    faulted_entries_.erase(entry);
    if (each.kind == fault_kind::kFreezeEntry) {
      site_.Signal(entry, SIGCONT);
      return;
    }
    const bool stopped = each.kind == fault_kind::kStopEntry;
    if (stopped && site_.AwaitExit(entry) != 0)
      AddBreach("an entry did not exit with code 0 after SIGTERM");
    site_.Start(entry);
  }

  // The indexes of `count` workers, from the first one on.
  json WorkersFrom(std::uint32_t first, std::uint32_t count) const {
    json found = json::array();
    for (std::uint32_t i = 0; i < std::max(count, 1U); ++i)
      found.push_back((first + i) % site_.workers());
    return found;
  }

  // Sends all active faults of the store, the workers and the links. Faults
  // with a single effect are sent only when they start.
  void SendFaults(const fault* started) {
    json control{{"cut", json::array()},      {"failing", json::array()},
                 {"restart", json::array()},  {"shedding", json::array()},
                 {"late", json::array()},     {"crashed", json::array()},
                 {"unlisted", json::array()}, {"evacuated", json::array()},
                 {"slow", json::array()}};
    json links = json::array();
    for (const fault* each : active_) {
      const std::uint32_t worker = each->target % site_.workers();
      const std::uint32_t link = each->target % site_.links();
      if (each->kind == fault_kind::kStoreDown)
        control["store_down"] = true;
      else if (each->kind == fault_kind::kCutWorker)
        control["cut"].push_back(worker);
      else if (each->kind == fault_kind::kFailingWorker)
        control["failing"].push_back(worker);
      else if (each->kind == fault_kind::kStoreSheds)
        control["store_sheds"] = true;
      else if (each->kind == fault_kind::kShedOrders)
        control["shedding"] = WorkersFrom(worker, site_.workers() / 2);
      else if (each->kind == fault_kind::kLateStarts)
        control["late"] = WorkersFrom(worker, site_.workers());
      else if (each->kind == fault_kind::kCrashWorker)
        control["crashed"] = WorkersFrom(worker, site_.workers() / 4);
      else if (each->kind == fault_kind::kUnlistWorker)
        control["unlisted"] = WorkersFrom(worker, site_.workers() / 4);
      else if (each->kind == fault_kind::kEvacuateDomain)
        control["evacuated"].push_back(each->target % kFailureDomains);
      else if (each->kind == fault_kind::kSlowWorker)
        control["slow"] = WorkersFrom(worker, site_.workers() / 4);
      else if (each->kind >= fault_kind::kDelayLink)
        links.push_back({{"link", link},
                         {"mode", LinkMode(each->kind)},
                         {"delay_ms", kLinkDelayMs}});
    }
    const bool is_start = started != nullptr;
    if (is_start && started->kind == fault_kind::kLoseAppendAnswers)
      control["lose_answers"] = kLostAnswers;
    if (is_start && started->kind == fault_kind::kCompactStore)
      control["compact"] = true;
    if (is_start && started->kind == fault_kind::kRestartWorker)
      control["restart"].push_back(started->target % site_.workers());
    site_.Control(control.dump());
    site_.ControlLinks(json{{"links", links}}.dump());
  }

  void AwaitEntries() {
    for (std::uint32_t entry = 0; entry < site_.entries(); ++entry) {
      site_.Await("entry " + std::to_string(entry) + " is ready",
                  [&] { return site_.IsReady(entry); });
    }
  }

  void CheckJobs() {
    for (const std::string& each : callers_.contradictions())
      AddBreach(each);
    for (const auto& [job, observed] : callers_.jobs()) {
      if (observed.accepted)
        CheckAccepted(job, observed);
    }
    const stand_ins::site_journal journal = site_.Journal();
    for (const std::string& job : failed_) {
      if (std::ranges::count(journal.exhausted, job) == 0)
        AddBreach(
            job +
            " is shown as failed, and no task or gang has failed so often");
    }
    starts_ = journal.starts;
    for (const std::string& each : journal.breaches)
      AddBreach(each);
    for (const std::string& job : journal.jobs) {
      const auto found = callers_.jobs().find(job);
      const bool refused = found != callers_.jobs().end() &&
                           !found->second.accepted && !found->second.uncertain;
      if (refused)
        AddBreach(job + " was started although refused");
    }
  }

  // Checks that an accepted job ends, and that it was cancelled or failed only
  // with a cause.
  void CheckAccepted(const std::string& job, const observed_job& observed) {
    std::string state;
    site_.Await(job + " ends", [&] {
      state = site_.StateOf(0, job);
      return state == "completed" || state == "failed" || state == "cancelled";
    });
    if (state == "cancelled" && !observed.cancel_requested)
      AddBreach(job + " was cancelled without a cancel request");
    if (state == "failed")
      failed_.insert(job);
  }

  soak_result Result() const {
    soak_result result{.faults = started_faults_,
                       .jobs = callers_.jobs().size(),
                       .starts = starts_,
                       .breaches = {breaches_.begin(), breaches_.end()}};
    for (const auto& [job, observed] : callers_.jobs()) {
      result.accepted += observed.accepted ? 1 : 0;
      result.refused += observed.accepted || observed.uncertain ? 0 : 1;
    }
    if (!result.breaches.empty())
      result.logs = site_.Logs();
    return result;
  }

  const std::chrono::milliseconds length_;
  const std::vector<fault> schedule_;
  asio::io_context io_{1};
  test::platform_site site_;
  callers callers_;
  asio::steady_timer timer_;
  std::chrono::steady_clock::time_point start_time_;
  std::size_t next_ = 0;
  std::uint64_t ticks_ = 0;
  std::uint64_t started_faults_ = 0;
  std::uint64_t starts_ = 0;
  std::vector<const fault*> active_;
  std::set<std::uint32_t> faulted_entries_;
  std::set<std::string> breaches_;
  std::set<std::string> failed_;
};

}  // namespace

soak_result RunSoak(std::uint64_t seed,
                    std::chrono::milliseconds length,
                    fault_set set,
                    const test::site_options& options) {
  soak_run run(seed, length, set, options);
  return run.Run();
}

}  // namespace parsleyhitch::soak
