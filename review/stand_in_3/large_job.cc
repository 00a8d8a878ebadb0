// A large job comes (`burst`): a job of every minute with 20 tasks, whose 500
// times have come by the time it is handed in. Another tenant's urgent job must
// still be answered for and run.

#include "site.h"

namespace {

using namespace site;

json SmallJob(int task_ms) {
  return {{"spec", std::to_string(task_ms)},
          {"phases", json::array({{{"count", 1},
                                   {"cpu", 1000},
                                   {"memMb", 100},
                                   {"gpu", 1},
                                   {"estimateMs", task_ms}}})}};
}

json LargeJob() {
  constexpr int kTimes = 500;
  constexpr std::int64_t kMinuteMs = 60000;
  return {{"spec", "1000"},
          {"repeatCount", kTimes},
          {"startMs", UnixMs() - kTimes * kMinuteMs},
          {"intervalMs", kMinuteMs},
          {"phases", json::array({{{"count", 20},
                                   {"cpu", 10},
                                   {"memMb", 10},
                                   {"estimateMs", 1000}}})}};
}

}  // namespace

int main(int, char** arguments) {
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
  if (all.Ask(1, "POST", "/urgent/00000000000000c0", SmallJob(60000).dump(),
              "key-2")
          .status != 200)
    all.Finish(CannotRun("the first job was not accepted"));
  if (HasTrouble() &&
      all.Ask(0, "POST", "/normal/00000000000000b1", LargeJob().dump())
              .status != 200)
    all.Finish(CannotRun("the large job was not accepted"));
  Sleep(4000);
  // The last job of the traffic; a client tries four times, at other entries.
  bool accepted = false;
  for (std::size_t i = 0; i < 4 && !accepted; ++i) {
    accepted =
        all.Ask((i + 1) % all.entries(), "POST", "/urgent/00000000000000c1",
                SmallJob(1000).dump(), "key-2")
            .status == 200;
  }
  // `finish_s` after the end of the traffic accepted jobs are asked for, at
  // each entry in turn.
  Sleep(14000);
  int rounds = 0;
  int unanswered = 0;
  for (int round = 0; round < 6; ++round) {
    for (const char* job : {"c0", "c1"}) {
      if (job == std::string("c1") && !accepted)
        continue;
      ++rounds;
      bool answered = false;
      for (std::size_t i = 0; i < all.entries() && !answered; ++i) {
        answered =
            all.Ask(i, "GET", std::string("/urgent/00000000000000") + job, "",
                    "key-2")
                .status == 200;
      }
      unanswered += answered ? 0 : 1;
    }
  }
  std::size_t most = 0;
  std::map<std::int64_t, int> running;
  int ran = 0;
  for (const run& each : all.runs.All()) {
    ran += each.task.starts_with("00000000000000c1") ? 1 : 0;
    running[each.started_at] += 1;
    if (each.ended_at != 0)
      running[each.ended_at] -= 1;
  }
  std::int64_t now = 0;
  for (const auto& [at, change] : running) {
    now += change;
    most = std::max(most,
                    static_cast<std::size_t>(std::max<std::int64_t>(now, 0)));
  }
  // The tasks of the large job take 0.01 of a core each, of 288 cores.
  const bool broken = unanswered > 0 || (accepted && ran == 0);
  all.Finish(Verdict(
      broken,
      "of " + std::to_string(rounds) +
          " times that an accepted job of another tenant was asked for "
          "at all entries, " +
          std::to_string(unanswered) + " got no answer; the urgent job was " +
          (accepted ? "accepted and started " + std::to_string(ran) + " times"
                    : std::string("not accepted")) +
          "; at most " + std::to_string(most) + " tasks ran at a time"));
}
