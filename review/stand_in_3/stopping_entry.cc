// Machines of the system are stopped and started in turn (`roll_term`): four
// times an entry that does not lead gets SIGTERM, while clients hand jobs in. A
// job of 4,700 tasks waits all the while. Each request that an entry has read
// must be answered.

#include "site.h"

namespace {

using namespace site;

json JobOf(int tasks, int task_ms, int most_per_worker) {
  json step{
      {"count", tasks}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", task_ms}};
  if (most_per_worker > 0)
    step["antiAffinity"] = most_per_worker;
  return {{"spec", std::to_string(task_ms)}, {"phases", json::array({step})}};
}

constexpr std::int64_t kSlackMs = 200;
constexpr std::int64_t kGraceMs = 6000;

struct cut_request {
  std::string id;
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
};

// The requests that the entry has read, as its log shows: it relayed them.
std::set<std::string> ReadBy(const deployment& all, std::size_t entry) {
  std::set<std::string> read;
  std::ifstream log(all.Log(entry));
  for (std::string line; std::getline(log, line);) {
    if (line.find("\"decision\":\"relayed\"") == std::string::npos)
      continue;
    const std::size_t at = line.find("/normal/");
    if (at != std::string::npos)
      read.insert(line.substr(at + 8, 16));
  }
  return read;
}

int CountLost(const std::vector<cut_request>& cut,
              const std::set<std::string>& read,
              std::int64_t term_at) {
  int lost = 0;
  for (const cut_request& each : cut) {
    const std::int64_t age = each.ended_at - each.sent_at;
    Record().Line("cut without an answer: " + each.id + ", " +
                  std::to_string(age) + " ms after it was sent, " +
                  std::to_string(each.sent_at - term_at) +
                  " ms after SIGTERM; relayed by the entry: " +
                  (read.contains(each.id) ? "yes" : "no"));
    const bool in_shutdown =
        each.sent_at <= term_at + kGraceMs + 1000 && each.ended_at >= term_at;
    lost += in_shutdown && age > kSlackMs && read.contains(each.id) ? 1 : 0;
  }
  return lost;
}

}  // namespace

int main(int, char** arguments) {
  constexpr int kClients = 12;
  constexpr int kRounds = 4;
  constexpr int kDeadlineMs = 3000;
  Record().Open(arguments[1]);
  deployment::options wanted;
  wanted.configuration = Configuration(1);
  for (int i = 0; i < 9; ++i) {
    wanted.workers.push_back(
        {.id = "w" + std::to_string(i), .rack = "r" + std::to_string(i / 3)});
  }
  deployment all(wanted);
  for (std::size_t i = 0; i < all.entries(); ++i)
    all.Start(i);
  for (std::size_t i = 0; i < all.entries(); ++i) {
    if (!all.AwaitReady(i))
      all.Finish(CannotRun("an entry is not ready"));
  }
  Sleep(3000);
  if (all.Ask(0, "POST", "/late/00000000000000b1", JobOf(4700, 5000, 4).dump())
          .status != 200)
    all.Finish(CannotRun("the large job was not accepted"));
  // Longer than `contactMs`.
  Sleep(6000);
  std::atomic<int> answered = 0;
  int lost = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::size_t stopped = (all.Leader().value_or(0) + 1) % all.entries();
    std::atomic<bool> over = false;
    std::mutex mutex;
    std::vector<cut_request> cut;
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        for (int n = 0; !over; ++n) {
          char id[32];
          std::snprintf(id, sizeof id, "%04x%04x%08x", round + 1, client, n);
          const std::int64_t sent_at = NowMs();
          const answer got =
              all.Ask(stopped, "POST", std::string("/normal/") + id,
                      JobOf(1, 500, 0).dump(), "key-1", kDeadlineMs);
          const std::int64_t took = NowMs() - sent_at;
          if (got.status != 0) {
            ++answered;
          } else if (took < kDeadlineMs) {
            const std::lock_guard lock(mutex);
            cut.push_back({.id = id, .sent_at = sent_at, .ended_at = NowMs()});
          }
          Sleep(50);
        }
      });
    }
    Sleep(1000);
    const std::int64_t term_at = NowMs();
    if (HasTrouble())
      all.Signal(stopped, SIGTERM);
    while (NowMs() - term_at < kGraceMs && !all.HasEnded(stopped))
      Sleep(10);
    over = true;
    for (std::thread& each : clients)
      each.join();
    lost += CountLost(cut, ReadBy(all, stopped), term_at);
    if (HasTrouble()) {
      all.Start(stopped);
      if (!all.AwaitReady(stopped))
        all.Finish(CannotRun("a started entry is not ready"));
    }
    Sleep(1000);
  }
  all.Finish(Verdict(lost > 0, std::to_string(answered) +
                                   " requests were answered; of those that the "
                                   "stopped entries had read, " +
                                   std::to_string(lost) +
                                   " were cut later than 200 ms after they "
                                   "were sent, before their deadline"));
}
