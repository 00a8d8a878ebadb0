// Workers crash (`srv_crash`): one of nine, three times, for 4.5 s each. A job
// that only this worker may run must still be run once it stays up.

#include "site.h"

int main(int, char** arguments) {
  using namespace site;
  constexpr std::int64_t kDownMs = 4500;
  constexpr std::int64_t kUpMs = 900;
  constexpr int kCrashes = 3;
  Record().Open(arguments[1]);
  deployment::options wanted;
  wanted.configuration = Configuration(1);
  for (int i = 0; i < 9; ++i) {
    wanted.workers.push_back({.id = "w" + std::to_string(i),
                              .kind = i == 8 ? "b" : "a",
                              .rack = "r" + std::to_string(i / 3)});
  }
  deployment all(wanted);
  for (std::size_t i = 0; i < all.entries(); ++i)
    all.Start(i);
  for (std::size_t i = 0; i < all.entries(); ++i) {
    if (!all.AwaitReady(i))
      all.Finish(CannotRun("an entry is not ready"));
  }
  Sleep(3000);
  const std::string path = "/normal/00000000000000a1";
  const json job{{"spec", "4000"},
                 {"phases", json::array({{{"count", 1},
                                          {"cpu", 4000},
                                          {"memMb", 1000},
                                          {"gpu", 1},
                                          {"estimateMs", 4000},
                                          {"requirements", "b"}}})}};
  if (all.Ask(0, "POST", path, job.dump()).status != 200)
    all.Finish(CannotRun("the job was not accepted"));
  Sleep(kUpMs);
  for (int i = 0; HasTrouble() && i < kCrashes; ++i) {
    all.workers[8]->Crash();
    Sleep(kDownMs);
    all.workers[8]->Restart();
    if (i + 1 < kCrashes)
      Sleep(kUpMs);
  }
  // From now on the worker stays up, and the job takes 4 s.
  std::string state;
  const std::int64_t until = NowMs() + 20000;
  while (NowMs() < until && state != "completed" && state != "failed") {
    Sleep(1000);
    const answer got = all.Ask(1, "GET", path);
    const json body = json::parse(got.body, nullptr, false);
    if (got.status == 200 && body.is_object())
      state = body.value("state", "");
  }
  int failed_ends = 0;
  int crashed = 0;
  for (const run& each : all.runs.All()) {
    failed_ends += each.how == "failed" ? 1 : 0;
    crashed += each.how == "crashed" ? 1 : 0;
  }
  all.Finish(
      Verdict(state == "failed" && failed_ends == 0,
              "the job is shown as '" + state +
                  "'; ends `failed`: " + std::to_string(failed_ends) +
                  ", runs lost with the worker: " + std::to_string(crashed)));
}
