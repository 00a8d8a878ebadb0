// A pace is modelled as the product of a factor of the step, which corrects the
// estimate, and the speed of the worker. In logarithms that is a sum, which is
// fitted by turns: each sample moves either mean by what the other leaves open.

#include "policy/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyhitch::policy {

namespace {

// A sample spans at least this share of the expected run time, in thousandths:
// listings show whole percents, so that it is off by 4 % at most.
constexpr std::int64_t kWindowShare = 250;
constexpr duration kLeastWindow{250};

// Bounds a sample, so that one straggler does not decide. Workers that turn
// slow are 5 to 8 times as slow.
const double kLargestLog = std::log(8.0);

// How many tasks a mean stands for at most. A worker that turns slow is seen as
// slow after about three tasks.
constexpr double kMaxWeight = 5;

// The weight halves in this time without samples, so that a worker that was
// slow is tried again.
constexpr double kHalfLifeMs = 60000;
constexpr double kLeastWeight = 0.1;

// The weight, in tasks, of the assumption that a worker or an estimate is as
// usual. Estimates are off by 20 to 50 %.
constexpr double kStepPrior = 1;
constexpr double kWorkerPrior = 2;

// A worker's speed counts as known from this many tasks on, and is compared
// when so many workers of its service are known.
constexpr double kKnownWeight = 1;
constexpr std::size_t kLeastKnown = 3;

// A worker is slow when its tasks take this many times as long as usual. Speeds
// of healthy workers reach from 0.55 to 1.3; at 2.2 times, stragglers made one
// in 50 of them count as slow in a model, at 2.5 one in 200. The tasks of a
// slow worker run long and count as one each, so that two of them have to do.
const double kSlowLog = std::log(2.5);
constexpr double kSlowWeight = 1.5;

// A straggler takes 7 times as long, on a slow worker up to 8 times that, and
// shows a percent after 0.56 of its expected run time.
constexpr std::int64_t kStallShare = 600;
constexpr duration kLeastStall{3000};
// All tasks of hung workers stand still at once; a single one may for a reason
// of its own.
constexpr std::size_t kLeastProgressing = 3;
constexpr std::size_t kMaxHungShare = 5;

// A move pays if the run takes this many times as long where it is.
constexpr std::int64_t kMoveMargin = 2;

double Shrunk(const speed_estimate& known, double prior) {
  return known.mean * known.weight / (known.weight + prior);
}

double Clamped(double log_speed) {
  return std::clamp(log_speed, -kLargestLog, kLargestLog);
}

double LogOfPace(std::int64_t percent, duration took, duration expected) {
  constexpr double kAllPercent = 100;
  if (percent <= 0)
    return -kLargestLog;
  return Clamped(std::log(static_cast<double>(percent) / kAllPercent *
                          static_cast<double>(expected.count()) /
                          static_cast<double>(took.count())));
}

}  // namespace

speed_estimate Aged(speed_estimate before, timestamp now) {
  const auto passed = static_cast<double>((now - before.at).count());
  if (passed <= 0)
    return before;
  before.weight *= std::exp2(-passed / kHalfLifeMs);
  before.at = now;
  return before;
}

speed_estimate WithSpeed(speed_estimate before,
                         double log_speed,
                         double weight,
                         timestamp now) {
  speed_estimate next = Aged(before, now);
  next.at = now;
  next.weight = std::min(next.weight + weight, kMaxWeight);
  next.mean += (log_speed - next.mean) * weight / next.weight;
  return next;
}

pace_window FirstWindow(const progress_sample& sample) {
  return {.start = sample, .progressed = sample, .seen_at = sample.at};
}

pace_step Advance(pace_window before,
                  const progress_sample& sample,
                  duration expected) {
  pace_step next{.window = before, .sample = {}};
  next.window.seen_at = sample.at;
  if (sample.percent > before.progressed.percent)
    next.window.progressed = sample;
  const duration took = sample.at - before.start.at;
  const duration length =
      std::max(expected * kWindowShare / 1000, kLeastWindow);
  if (took < length || expected <= duration(0))
    return next;
  const double share =
      static_cast<double>(took.count()) / static_cast<double>(expected.count());
  const double weight = std::min(share, 1 - before.counted);
  next.window.start = sample;
  next.window.counted = before.counted + weight;
  if (weight <= 0)
    return next;
  const std::int64_t done = std::int64_t{sample.percent} - before.start.percent;
  next.sample = {.log_speed = LogOfPace(done, took, expected),
                 .weight = weight};
  return next;
}

learned_speeds Learn(learned_speeds before,
                     const work::worker_id& worker,
                     std::uint64_t life,
                     const work::unit_id& step,
                     const pace_sample& sample,
                     timestamp now) {
  const speed_estimate* known_step = before.steps.Find(step);
  const speed_estimate of_step = known_step == nullptr
                                     ? speed_estimate{.at = now}
                                     : Aged(*known_step, now);
  const worker_speed* known = before.workers.Find(worker);
  worker_speed of_worker = known == nullptr || known->life != life
                               ? worker_speed{.life = life}
                               : *known;
  of_worker.estimate = Aged(of_worker.estimate, now);
  const double step_pace = Shrunk(of_step, kStepPrior);
  const double worker_pace = Shrunk(of_worker.estimate, kWorkerPrior);
  of_worker.estimate =
      WithSpeed(of_worker.estimate, Clamped(sample.log_speed - step_pace),
                sample.weight, now);
  before.steps.Put(step,
                   WithSpeed(of_step, Clamped(sample.log_speed - worker_pace),
                             sample.weight, now));
  before.workers.Put(worker, of_worker);
  return before;
}

learned_speeds Pruned(learned_speeds before, timestamp now) {
  std::vector<work::worker_id> workers;
  for (const auto& [worker, each] : before.workers) {
    if (Aged(each.estimate, now).weight < kLeastWeight)
      workers.push_back(worker);
  }
  std::vector<work::unit_id> steps;
  for (const auto& [step, each] : before.steps) {
    // Unlike a worker's, a step's tasks are over once none of them is seen.
    if (static_cast<double>((now - each.at).count()) > kHalfLifeMs)
      steps.push_back(step);
  }
  for (const work::worker_id& each : workers)
    before.workers.Erase(each);
  for (const work::unit_id& each : steps)
    before.steps.Erase(each);
  return before;
}

std::map<work::worker_id, relative_speed> RelativeSpeeds(
    const learned_speeds& learned,
    const std::map<work::worker_id, std::uint64_t>& lives,
    timestamp now) {
  std::vector<std::pair<work::worker_id, speed_estimate>> known;
  std::vector<double> paces;
  for (const auto& [worker, life] : lives) {
    const worker_speed* each = learned.workers.Find(worker);
    if (each == nullptr || each->life != life)
      continue;
    const speed_estimate aged = Aged(each->estimate, now);
    if (aged.weight < kKnownWeight)
      continue;
    known.emplace_back(worker, aged);
    paces.push_back(aged.mean);
  }
  std::map<work::worker_id, relative_speed> found;
  if (known.size() < kLeastKnown)
    return found;
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::ranges::nth_element(paces, middle);
  const double median = *middle;
  for (const auto& [worker, each] : known) {
    const speed_estimate relative{.mean = each.mean - median,
                                  .weight = each.weight};
    const double run_time = 1000 * std::exp(-Shrunk(relative, kWorkerPrior));
    found[worker] = {
        .run_time_permille = static_cast<std::uint32_t>(std::lround(run_time)),
        .slow = each.weight >= kSlowWeight && -relative.mean >= kSlowLog};
  }
  return found;
}

bool StandsStill(const pace_window& window, duration expected) {
  const duration stood = window.seen_at - window.progressed.at;
  return expected > duration(0) &&
         stood >= std::max(expected * kStallShare / 1000, kLeastStall);
}

std::vector<work::worker_id> HungWorkers(
    const std::map<work::worker_id, task_counts>& workers) {
  std::vector<work::worker_id> hung;
  std::size_t progressing = 0;
  for (const auto& [worker, each] : workers) {
    if (each.tasks == 0)
      continue;
    if (each.standing_still == each.tasks)
      hung.push_back(worker);
    else
      progressing += 1;
  }
  const std::size_t all = progressing + hung.size();
  if (progressing < kLeastProgressing || hung.size() * kMaxHungShare > all)
    hung.clear();
  return hung;
}

bool IsWorthMoving(const run_on_slow_worker& run) {
  if (run.remaining >= run.elsewhere * kMoveMargin)
    return true;
  return run.elsewhere <= run.until_late && run.remaining > run.until_late;
}

duration RemainingOfStalled(const pace_window& window, duration expected) {
  constexpr std::int64_t kAllPercent = 100;
  const std::int64_t left =
      std::max<std::int64_t>(kAllPercent - window.progressed.percent, 0);
  return (window.seen_at - window.progressed.at) +
         expected * left / kAllPercent;
}

}  // namespace parsleyhitch::policy
