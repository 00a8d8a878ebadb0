// Whatever fails, in whatever order, no rule of the platform is broken, and
// once all is mended every accepted job ends.

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <ostream>
#include <string>
#include <vector>

#include "dispatch/stage_fixture.h"

namespace tests = parsleyhitch::tests;
namespace work = parsleyhitch::work;
using tests::stage_fixture;
using tests::Step;

namespace {

enum class failure : std::uint8_t {
  kKillEntry,
  kFreezeEntry,
  kCutEntryFromStore,
  kCutEntryFromPeers,
  kCutEntryFromWorkers,
  kStoreDown,
  kLoseAppendAnswers,
  kCompactStore,
  kCutWorker,
  kRestartWorker,
  kMuteWorker,
  kFailingWorker,
  kCount,
};

struct inflicted {
  failure kind;
  std::int64_t at;
  std::int64_t lasts;
  std::uint32_t target;
};

std::ostream& operator<<(std::ostream& out, const inflicted& each) {
  return out << "{kind " << static_cast<int>(each.kind) << " at " << each.at
             << " for " << each.lasts << " on " << each.target << "}";
}

struct chaos_fixture : stage_fixture {
  explicit chaos_fixture(std::uint64_t seed)
      : stage_fixture(tests::stage_options{.seed = seed}) {}

  void Begin(const inflicted& each) {
    const std::uint32_t entry = each.target % 3;
    tests::stage_worker& worker =
        stage.worker(each.target % stage.worker_count());
    switch (each.kind) {
      case failure::kKillEntry:
        stage.Kill(entry);
        break;
      case failure::kFreezeEntry:
        stage.Freeze(entry);
        break;
      case failure::kCutEntryFromStore:
        stage.entry(entry).cut_from_store = true;
        break;
      case failure::kCutEntryFromPeers:
        stage.entry(entry).cut_from_peers = true;
        break;
      case failure::kCutEntryFromWorkers:
        stage.entry(entry).cut_from_workers = true;
        break;
      case failure::kStoreDown:
        stage.store().down = true;
        break;
      case failure::kLoseAppendAnswers:
        stage.store().lose_answers += 3;
        break;
      case failure::kCompactStore:
        stage.store().Compact();
        break;
      case failure::kCutWorker:
        worker.cut = true;
        break;
      case failure::kRestartWorker:
        worker.Restart(stage.now());
        break;
      case failure::kMuteWorker:
        worker.mute_orders += 2;
        break;
      case failure::kFailingWorker:
        worker.fails_everything = true;
        break;
      case failure::kCount:
        break;
    }
  }

  void Mend(const inflicted& each) {
    const std::uint32_t entry = each.target % 3;
    tests::stage_worker& worker =
        stage.worker(each.target % stage.worker_count());
    if (!stage.entry(entry).alive && each.kind == failure::kKillEntry)
      stage.Start(entry);
    if (each.kind == failure::kFreezeEntry)
      stage.Thaw(entry);
    if (each.kind == failure::kCutEntryFromStore)
      stage.entry(entry).cut_from_store = false;
    if (each.kind == failure::kCutEntryFromPeers)
      stage.entry(entry).cut_from_peers = false;
    if (each.kind == failure::kCutEntryFromWorkers)
      stage.entry(entry).cut_from_workers = false;
    if (each.kind == failure::kStoreDown)
      stage.store().down = false;
    if (each.kind == failure::kCutWorker)
      worker.cut = false;
    if (each.kind == failure::kFailingWorker)
      worker.fails_everything = false;
  }
};

constexpr std::int64_t kFaultsUntil = 12000;
constexpr std::int64_t kStep = 100;

// Hands a job in at an entry that is up; answers as a caller would see them.
void HandIn(chaos_fixture& fixture, int number) {
  std::uint32_t entry = static_cast<std::uint32_t>(number) % 3;
  if (!fixture.stage.entry(entry).alive)
    return;
  const std::string id = "00000000000001" + std::to_string(10 + number);
  const bool gang = number % 3 == 0;
  const char* queue = number % 4 == 0   ? "urgent"
                      : number % 4 == 1 ? "background"
                                        : "normal";
  std::vector<work::step_spec> steps{
      Step(2 + number % 3, 1 + number % 8, gang)};
  if (number % 5 == 0)
    steps.push_back(Step(2, 2, false, {0}));
  fixture.stage.Submit(entry, id, steps, queue);
}

void PlayAndCheck(std::uint64_t seed, const std::vector<inflicted>& faults) {
  chaos_fixture fixture(seed);
  const work::duration start = fixture.stage.now();
  int handed_in = 0;
  for (std::int64_t at = 0; at <= 2 * kFaultsUntil; at += kStep) {
    for (const inflicted& each : faults) {
      if (each.at / kStep == at / kStep)
        fixture.Begin(each);
      if ((each.at + each.lasts) / kStep == at / kStep)
        fixture.Mend(each);
    }
    if (at % 600 == 0 && at < kFaultsUntil)
      HandIn(fixture, handed_in++);
    fixture.stage.RunFor(start + work::duration(at) - fixture.stage.now());
  }
  fixture.stage.RunFor(work::duration(60000));
  if (!fixture.Breach().empty()) {
    const std::string& breach = fixture.Breach();
    std::cerr << fixture.stage.LogOf("leadership")
              << fixture.stage.LogOf(breach.substr(breach.rfind(' ') + 1));
  }
  RC_ASSERT(fixture.Breach() == "");
  for (const work::feed_item& item : fixture.stage.store().records()) {
    const auto& record = std::get<work::record>(*item.value);
    const auto* submitted = std::get_if<work::job_submitted>(&record);
    if (submitted == nullptr)
      continue;
    const auto phase =
        fixture.stage.PhaseOf(submitted->content.job.value()).value();
    RC_ASSERT(work::IsClosed(phase));
  }
}

}  // namespace

namespace rc {

template <>
struct Arbitrary<inflicted> {
  static Gen<inflicted> arbitrary() {
    return gen::build<inflicted>(
        gen::set(&inflicted::kind,
                 gen::map(gen::inRange(0, static_cast<int>(failure::kCount)),
                          [](int kind) { return static_cast<failure>(kind); })),
        gen::set(&inflicted::at, gen::inRange<std::int64_t>(0, kFaultsUntil)),
        gen::set(&inflicted::lasts, gen::inRange<std::int64_t>(200, 9000)),
        gen::set(&inflicted::target, gen::inRange<std::uint32_t>(0, 30)));
  }
};

}  // namespace rc

Test(dispatcher, under_random_failures_breaks_no_rule_and_ends_every_job) {
  const bool holds =
      rc::check([](std::uint64_t seed, const std::vector<inflicted>& faults) {
        PlayAndCheck(seed, faults);
      });
  cr_assert(holds);
}
