// A large job comes (`burst`): one step of 10,000 tasks, of which at most four
// may run on one worker. Another tenant's urgent job must still be run.

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

}  // namespace

int main(int, char** arguments) {
  constexpr int kUrgent = 5;
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
  if (HasTrouble() &&
      all.Ask(0, "POST", "/late/00000000000000b1", JobOf(10000, 5000, 4).dump())
              .status != 200)
    all.Finish(CannotRun("the large job was not accepted"));
  Sleep(2000);
  std::vector<std::string> accepted;
  for (int i = 0; i < kUrgent; ++i) {
    const std::string job = "00000000000000c" + std::to_string(i);
    // A client tries four times, at other entries.
    for (std::size_t at = 0; at < 4; ++at) {
      if (all.Ask((at + 1) % all.entries(), "POST", "/urgent/" + job,
                  JobOf(1, 1000, 0).dump(), "key-2")
              .status == 200) {
        accepted.push_back(job);
        break;
      }
    }
    Sleep(1000);
  }
  if (accepted.empty())
    all.Finish(CannotRun("no urgent job was accepted"));
  // `finish_s` after the end of the traffic, and for 3 s.
  Sleep(14000 + 3000);
  const std::vector<run> runs = all.runs.All();
  std::size_t never = 0;
  for (const std::string& job : accepted) {
    never += std::none_of(runs.begin(), runs.end(), [&](const run& each) {
      return each.task.starts_with(job);
    });
  }
  const std::int64_t since = NowMs() - 7000;
  const auto ran =
      std::count_if(runs.begin(), runs.end(), [&](const run& each) {
        return each.ended_at == 0 || each.ended_at > since;
      });
  for (std::size_t entry = 0; entry < all.entries(); ++entry)
    all.Ask(entry, "GET", "/urgent/" + accepted.front(), "", "key-2");
  // Of 288 cores; a task takes one.
  const bool idle = ran < 144;
  all.Finish(Verdict(
      never > 0 && idle,
      "of " + std::to_string(accepted.size()) +
          " accepted urgent jobs of another tenant " + std::to_string(never) +
          " were never started; tasks of any job that ran in the last 7 s, on "
          "288 cores: " +
          std::to_string(ran)));
}
