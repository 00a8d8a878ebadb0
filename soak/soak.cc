// Faults are begun and mended on the loop of the callers, so that a run is one
// thread. What harms workers and links is sent whole each time it changes.

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

constexpr std::chrono::milliseconds kStep{50};
constexpr std::uint64_t kStepsPerJob = 6;
constexpr std::int64_t kLinkDelayMs = 400;
constexpr std::uint32_t kLostAnswers = 2;

bool IsOfEntry(fault_kind kind) {
  return kind == fault_kind::kKillEntry || kind == fault_kind::kFreezeEntry ||
         kind == fault_kind::kStopEntry;
}

const char* ModeOf(fault_kind kind) {
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
           const test::site_options& shape)
      : length_(length),
        schedule_(DrawSchedule(seed, length)),
        site_(shape),
        callers_(io_, site_, seed),
        timer_(io_) {}

  soak_result Run() {
    begun_ = std::chrono::steady_clock::now();
    Step();
    io_.run();
    try {
      AwaitEntries();
      CheckJobs();
    } catch (const std::runtime_error& error) {
      Break(error.what());
    }
    return Result();
  }

 private:
  std::chrono::milliseconds Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - begun_);
  }

  void Break(const std::string& what) { broken_.insert(what); }

  void Step() {
    while (next_ < schedule_.size() && schedule_[next_].at <= Now())
      Begin(schedule_[next_++]);
    MendDue();
    // The callers go on after the last fault for as long as one may last.
    if (Now() < length_) {
      if (steps_++ % kStepsPerJob == 0)
        callers_.HandIn();
      callers_.LookAtOne();
    } else if (active_.empty() && callers_.open() == 0) {
      return;
    }
    timer_.expires_after(kStep);
    timer_.async_wait([this](const asio::error_code&) { Step(); });
  }

  std::uint32_t EntryOf(const fault& each) const {
    return each.target % site_.entries();
  }

  void Begin(const fault& each) {
    // One fault of a process at a time.
    if (IsOfEntry(each.kind) && !harmed_.insert(EntryOf(each)).second)
      return;
    begun_faults_ += 1;
    active_.push_back(&each);
    if (each.kind == fault_kind::kKillEntry)
      site_.Signal(EntryOf(each), SIGKILL);
    else if (each.kind == fault_kind::kFreezeEntry)
      site_.Signal(EntryOf(each), SIGSTOP);
    else if (each.kind == fault_kind::kStopEntry)
      site_.Signal(EntryOf(each), SIGTERM);
    else
      SendHarm(&each);
  }

  void MendDue() {
    const auto due = [&](const fault* each) {
      return each->at + each->lasts <= Now();
    };
    std::vector<const fault*> ended;
    std::ranges::copy_if(active_, std::back_inserter(ended), due);
    std::erase_if(active_, due);
    for (const fault* each : ended)
      Mend(*each);
  }

  void Mend(const fault& each) {
    if (!IsOfEntry(each.kind)) {
      SendHarm(nullptr);
      return;
    }
    const std::uint32_t entry = EntryOf(each);
    harmed_.erase(entry);
    if (each.kind == fault_kind::kFreezeEntry) {
      site_.Signal(entry, SIGCONT);
      return;
    }
    const bool stopped = each.kind == fault_kind::kStopEntry;
    if (stopped && site_.AwaitExit(entry) != 0)
      Break("an entry told to stop did not end well");
    site_.Start(entry);
  }

  // Sends all that harms the store, the workers and the links now. What takes
  // effect once is sent only as it begins.
  void SendHarm(const fault* begins) {
    json harm{{"cut", json::array()},
              {"failing", json::array()},
              {"restart", json::array()}};
    json links = json::array();
    for (const fault* each : active_) {
      const std::uint32_t worker = each->target % site_.workers();
      const std::uint32_t link = each->target % site_.links();
      if (each->kind == fault_kind::kStoreDown)
        harm["store_down"] = true;
      else if (each->kind == fault_kind::kCutWorker)
        harm["cut"].push_back(worker);
      else if (each->kind == fault_kind::kFailingWorker)
        harm["failing"].push_back(worker);
      else if (each->kind >= fault_kind::kDelayLink)
        links.push_back({{"link", link},
                         {"mode", ModeOf(each->kind)},
                         {"delay_ms", kLinkDelayMs}});
    }
    const bool once = begins != nullptr;
    if (once && begins->kind == fault_kind::kLoseAppendAnswers)
      harm["lose_answers"] = kLostAnswers;
    if (once && begins->kind == fault_kind::kCompactStore)
      harm["compact"] = true;
    if (once && begins->kind == fault_kind::kRestartWorker)
      harm["restart"].push_back(begins->target % site_.workers());
    site_.Control(harm.dump());
    site_.ControlLinks(json{{"links", links}}.dump());
  }

  void AwaitEntries() {
    for (std::uint32_t entry = 0; entry < site_.entries(); ++entry) {
      site_.Await("entry " + std::to_string(entry) + " is ready",
                  [&] { return site_.IsReady(entry); });
    }
  }

  void CheckJobs() {
    for (const std::string& each : callers_.breaches())
      Break(each);
    for (const auto& [job, told] : callers_.jobs()) {
      if (told.accepted)
        CheckAccepted(job, told);
    }
    const stand_ins::site_journal journal = site_.Journal();
    starts_ = journal.starts;
    for (const std::string& each : journal.breaches)
      Break(each);
    for (const std::string& job : journal.jobs) {
      const auto found = callers_.jobs().find(job);
      const bool refused = found != callers_.jobs().end() &&
                           !found->second.accepted && !found->second.uncertain;
      if (refused)
        Break(job + " was started though refused");
    }
  }

  // It ends, and no entry shows another end than was seen before.
  void CheckAccepted(const std::string& job, const told_job& told) {
    std::string state;
    site_.Await(job + " ends", [&] {
      state = site_.StateOf(0, job);
      return state == "completed" || state == "failed" || state == "cancelled";
    });
    if (state == "cancelled" && !told.cancel_asked)
      Break(job + " is cancelled though nobody asked");
    if (state == "failed" && !HasFailingWorkers())
      Break(job + " failed though no worker failed anything");
  }

  bool HasFailingWorkers() const {
    return std::ranges::any_of(schedule_, [](const fault& each) {
      return each.kind == fault_kind::kFailingWorker;
    });
  }

  soak_result Result() const {
    soak_result result{.faults = begun_faults_,
                       .jobs = callers_.jobs().size(),
                       .starts = starts_,
                       .broken = {broken_.begin(), broken_.end()}};
    for (const auto& [job, told] : callers_.jobs()) {
      result.accepted += told.accepted ? 1 : 0;
      result.refused += told.accepted || told.uncertain ? 0 : 1;
    }
    if (!result.broken.empty())
      result.logs = site_.Logs();
    return result;
  }

  const std::chrono::milliseconds length_;
  const std::vector<fault> schedule_;
  asio::io_context io_{1};
  test::platform_site site_;
  callers callers_;
  asio::steady_timer timer_;
  std::chrono::steady_clock::time_point begun_;
  std::size_t next_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t begun_faults_ = 0;
  std::uint64_t starts_ = 0;
  std::vector<const fault*> active_;
  std::set<std::uint32_t> harmed_;
  std::set<std::string> broken_;
};

}  // namespace

soak_result RunSoak(std::uint64_t seed,
                    std::chrono::milliseconds length,
                    const test::site_options& shape) {
  soak_run run(seed, length, shape);
  return run.Run();
}

}  // namespace parsleyhitch::soak
