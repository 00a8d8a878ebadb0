// A pair is judged on each worker by itself, so that the speed of a worker
// cancels out: the rate beside the other image, relative to that of the image
// without it, against the rates of everything else on the same worker.

#include "policy/interference.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

namespace parsleyhitch::policy {

namespace {

// With 350 workers the leader spends 1 % of a core on listings this far apart.
constexpr duration kListingPause{400};
constexpr duration kAdvanceInterval{1000};
// Time after which a sample has lost all but a third of its weight.
constexpr duration kMemory{60000};
// A worker that lists nothing for so long is no longer watched.
constexpr duration kWatchTime{5000};

// Percentages are whole numbers: over less time, or less of the estimated run
// time, a rate is noise.
constexpr duration kLeastSpan{400};
constexpr double kLeastShare = 0.05;
// A task that runs on is sampled each time it has done so much of its estimate.
constexpr double kSampleShare = 0.2;
constexpr duration kSampleSpan{1000};

// The tasks of one step share the error of its estimate, so that steps up to
// this size count as one sample. In larger ones, more of the tasks without the
// neighbour are of the same step too.
constexpr std::uint32_t kStepAsSample = 16;

// Stragglers and tasks that hang count as at most e^1.2 times off the mean.
constexpr double kMaxDeviation = 1.2;
// The error of callers' estimates, 20 to 50 %.
constexpr double kEstimateError = 0.35;

// Weights below which an amount of samples says nothing, in jobs.
constexpr double kLeastImage = 0.5;
constexpr double kLeastBaseline = 0.5;
constexpr double kLeastOnWorker = 0.05;
constexpr double kForgotten = 0.005;
// No single worker decides: each counts as at most so many jobs.
constexpr double kMaxOnWorker = 2.0;

// A pair becomes known from this slowdown on, over so many workers and jobs,
// and with such a distance from the noise of the estimates. Noise exceeds 3.5
// times its deviation in one of 4,000 cases; dozens of pairs are judged again
// and again.
constexpr std::size_t kLeastWorkers = 3;
constexpr double kLeastJobs = 2.0;
constexpr double kFoundSlowdown = 1.2;
constexpr double kFoundDeviations = 3.5;
// It is forgotten below these.
constexpr double kGoneSlowdown = 1.1;
constexpr double kGoneJobs = 0.5;

// About 200 bytes for each worker of a pair: less than 2 MB in all.
constexpr std::size_t kMaxPairs = 256;
constexpr std::size_t kMaxWorkersOfPair = 24;
constexpr std::size_t kMaxImages = 256;

double MeanOf(const rate_sum& all) {
  return all.sum / all.weight;
}

rate_sum Plus(const rate_sum& all, double weight, double value) {
  return {.weight = all.weight + weight, .sum = all.sum + weight * value};
}

// How much faster than others the worker is; less while few samples tell. A
// mean over workers would differ with the workers on which the samples happened
// to be taken.
double SpeedOf(const rate_sum& of_worker) {
  return of_worker.sum / (of_worker.weight + kLeastImage);
}

double LogSlowdown(const interference& learned, const image_pair& pair) {
  const auto found = learned.known.find(pair);
  return found == learned.known.end()
             ? 0
             : std::log(found->second.slowdown_permille / 1000.0);
}

// The share of the estimated run time that the sample covers.
double ShareOf(const watched_task& task) {
  return static_cast<double>((task.latest_at - task.first_at).count()) /
         static_cast<double>(task.latest.estimate.count());
}

bool IsSample(const watched_task& task) {
  return task.latest.comparable && task.latest.estimate > duration(0) &&
         task.first_percent > 0 && task.latest.percent < 100 &&
         task.latest.percent >= task.first_percent &&
         task.latest_at - task.first_at >= kLeastSpan &&
         ShareOf(task) >= kLeastShare;
}

// The images beside a task of the given one.
std::set<std::string> Neighbours(const std::vector<std::string>& images,
                                 const std::string& image) {
  std::set<std::string> found(images.begin(), images.end());
  if (std::ranges::count(images, image) < 2)
    found.erase(image);
  return found;
}

void AddPairSample(interference& learned,
                   const image_pair& pair,
                   const work::worker_id& worker,
                   const neighbour_sum& sample,
                   double rate) {
  const bool known = learned.pairs.contains(pair);
  if (!known && learned.pairs.size() >= 2 * kMaxPairs)
    return;
  pair_samples& all = learned.pairs[pair];
  all.all = Plus(all.all, sample.weight, rate);
  if (!all.by_worker.contains(worker) &&
      all.by_worker.size() >= kMaxWorkersOfPair)
    return;
  neighbour_sum& here = all.by_worker[worker];
  here.weight += sample.weight;
  here.observed += sample.weight * sample.observed;
  here.relative += sample.weight * sample.relative;
}

void AddSample(interference& learned,
               const work::worker_id& worker,
               const std::vector<std::string>& images,
               const watched_task& task) {
  // Half a percent stands for no progress at all.
  const double done =
      std::max(task.latest.percent - task.first_percent + 0.0, 0.5) / 100;
  const double share = ShareOf(task);
  const std::string& image = task.latest.image;
  const std::set<std::string> beside = Neighbours(images, image);
  rate_sum& of_worker = learned.workers[worker];
  const double speed = SpeedOf(of_worker);
  // As if the worker were an average one and nothing known interfered.
  double rate = std::log(done / share) - speed;
  for (const std::string& each : beside)
    rate += LogSlowdown(learned, {.slowed = image, .beside = each});
  const double weight =
      std::min(share, 1.0) /
      std::clamp(task.latest.step_tasks, std::uint32_t{1}, kStepAsSample);
  rate_sum& of_image = learned.images[image];
  if (of_image.weight < kLeastImage) {
    of_image = Plus(of_image, weight, rate);
    return;
  }
  const double mean = MeanOf(of_image);
  rate = std::clamp(rate, mean - kMaxDeviation, mean + kMaxDeviation);
  of_image = Plus(of_image, weight, rate);
  const double relative = rate + speed - mean;
  of_worker = Plus(of_worker, weight, relative);
  for (const std::string& each : beside) {
    const image_pair pair{.slowed = image, .beside = each};
    AddPairSample(learned, pair, worker,
                  {.weight = weight,
                   .observed = rate + speed - LogSlowdown(learned, pair),
                   .relative = relative},
                  rate);
  }
}

std::vector<std::string> ImagesOf(const std::vector<shown_task>& running) {
  std::vector<const std::string*> all;
  all.reserve(running.size());
  for (const shown_task& each : running)
    all.push_back(&each.image);
  std::ranges::sort(all, {}, [](const std::string* each) -> const std::string& {
    return *each;
  });
  std::vector<std::string> images;
  for (const std::string* each : all) {
    const bool listed_twice =
        images.size() >= 2 && images[images.size() - 2] == *each;
    if (!listed_twice)
      images.push_back(*each);
  }
  return images;
}

watched_task Watch(const shown_task& task, timestamp at) {
  return {.latest = task,
          .first_at = at,
          .latest_at = at,
          .first_percent = task.percent};
}

// The task as it continues in the listing; samples what it has done if that is
// enough.
watched_task Continue(interference& learned,
                      const work::worker_id& worker,
                      const std::vector<std::string>& images,
                      const watched_task* before,
                      const shown_task& task,
                      timestamp at) {
  const bool same_run = before != nullptr &&
                        before->latest.attempt == task.attempt &&
                        before->latest.comparable == task.comparable;
  // Until it shows progress it may be waiting for others of its gang.
  if (!same_run || before->first_percent == 0)
    return Watch(task, at);
  watched_task next = *before;
  next.latest = task;
  next.latest_at = at;
  const bool complete = IsSample(next) &&
                        next.latest_at - next.first_at >= kSampleSpan &&
                        ShareOf(next) >= kSampleShare;
  if (!complete)
    return next;
  AddSample(learned, worker, images, next);
  return Watch(task, at);
}

void Decay(rate_sum& all, double factor) {
  all.weight *= factor;
  all.sum *= factor;
}

void DecayAll(interference& learned, double factor) {
  for (auto& [image, all] : learned.images)
    Decay(all, factor);
  for (auto& [worker, all] : learned.workers)
    Decay(all, factor);
  for (auto& [pair, samples] : learned.pairs) {
    Decay(samples.all, factor);
    for (auto& [worker, here] : samples.by_worker) {
      here.weight *= factor;
      here.observed *= factor;
      here.relative *= factor;
    }
    std::erase_if(samples.by_worker, [](const auto& entry) {
      return entry.second.weight < kForgotten;
    });
  }
  const auto forgotten = [](const auto& entry) {
    return entry.second.weight < kForgotten;
  };
  std::erase_if(learned.images, forgotten);
  std::erase_if(learned.workers, forgotten);
  std::erase_if(learned.pairs, [](const auto& entry) {
    return entry.second.all.weight < kForgotten;
  });
}

// Keeps the entries with the most weight.
template <typename Map, typename Weight>
void Bound(Map& map, std::size_t size, Weight weight_of) {
  if (map.size() <= size)
    return;
  std::vector<double> weights;
  weights.reserve(map.size());
  for (const auto& [key, value] : map)
    weights.push_back(weight_of(value));
  std::ranges::sort(weights, std::greater<>());
  const double least = weights[size];
  std::erase_if(
      map, [&](const auto& entry) { return weight_of(entry.second) <= least; });
}

// The rates on the worker without those of the two images beside each other.
rate_sum ReferenceOn(const interference& learned,
                     const work::worker_id& worker,
                     const image_pair& pair) {
  const auto found = learned.workers.find(worker);
  if (found == learned.workers.end())
    return {};
  rate_sum rest = found->second;
  std::set<image_pair> both{pair};
  both.insert({.slowed = pair.beside, .beside = pair.slowed});
  for (const image_pair& each : both) {
    const auto samples = learned.pairs.find(each);
    if (samples == learned.pairs.end())
      continue;
    const auto here = samples->second.by_worker.find(worker);
    if (here == samples->second.by_worker.end())
      continue;
    rest.weight -= here->second.weight;
    rest.sum -= here->second.relative;
  }
  return rest;
}

struct comparison {
  std::size_t workers = 0;
  // Those on which the image is clearly slower beside the other.
  std::size_t slower = 0;
  double jobs = 0;
  // Mean and deviation of the logarithm of the slowdown.
  double slowdown = 0;
  double deviation = kEstimateError;
};

comparison Compare(const interference& learned,
                   const image_pair& pair,
                   const pair_samples& samples) {
  comparison found;
  const auto image = learned.images.find(pair.slowed);
  if (image == learned.images.end())
    return found;
  const rate_sum baseline{.weight = image->second.weight - samples.all.weight,
                          .sum = image->second.sum - samples.all.sum};
  if (baseline.weight < kLeastBaseline)
    return found;
  double squares = 0;
  for (const auto& [worker, here] : samples.by_worker) {
    const rate_sum rest = ReferenceOn(learned, worker, pair);
    if (here.weight < kLeastOnWorker || rest.weight < kLeastOnWorker)
      continue;
    const double slowdown =
        MeanOf(baseline) + MeanOf(rest) - here.observed / here.weight;
    const double jobs =
        std::min(1 / (1 / here.weight + 1 / rest.weight), kMaxOnWorker);
    found.workers += 1;
    found.slower += slowdown >= std::log(kGoneSlowdown) ? 1 : 0;
    found.jobs += jobs;
    found.slowdown += jobs * slowdown;
    squares += jobs * slowdown * slowdown;
  }
  if (found.jobs <= 0)
    return found;
  found.slowdown /= found.jobs;
  const double variance =
      squares / found.jobs - found.slowdown * found.slowdown;
  found.deviation =
      std::sqrt(std::max(variance, kEstimateError * kEstimateError) *
                (1 / found.jobs + 1 / baseline.weight));
  return found;
}

bool IsFound(const comparison& seen) {
  return seen.workers >= kLeastWorkers && 4 * seen.slower >= 3 * seen.workers &&
         seen.jobs >= kLeastJobs && seen.slowdown >= std::log(kFoundSlowdown) &&
         seen.slowdown >= kFoundDeviations * seen.deviation;
}

bool IsGone(const comparison& seen) {
  return seen.jobs < kGoneJobs || seen.slowdown < std::log(kGoneSlowdown);
}

known_pair StateOf(const comparison& seen) {
  return {.slowdown_permille = static_cast<std::uint32_t>(
              std::max(std::exp(seen.slowdown), 1.0) * 1000),
          .samples = static_cast<std::uint32_t>(seen.jobs)};
}

std::vector<pair_change> Judge(interference& learned) {
  std::vector<pair_change> changes;
  std::map<image_pair, known_pair> known;
  for (const auto& [pair, samples] : learned.pairs) {
    const auto before = learned.known.find(pair);
    const bool was_known = before != learned.known.end();
    const comparison seen = Compare(learned, pair, samples);
    if (was_known ? IsGone(seen) : !IsFound(seen))
      continue;
    known[pair] = StateOf(seen);
    if (!was_known)
      changes.push_back({.pair = pair, .state = known[pair], .found = true});
  }
  for (const auto& [pair, state] : learned.known) {
    if (!known.contains(pair))
      changes.push_back({.pair = pair, .state = state, .found = false});
  }
  learned.known = std::move(known);
  return changes;
}

}  // namespace

bool IsListingDue(const interference& learned,
                  const work::worker_id& worker,
                  timestamp at) {
  const auto found = learned.watched.find(worker);
  return found == learned.watched.end() ||
         at - found->second.listed_at >= kListingPause;
}

interference ObserveWorker(interference before,
                           const work::worker_id& worker,
                           const std::vector<shown_task>& running,
                           timestamp at) {
  watched_worker last;
  if (auto node = before.watched.extract(worker))
    last = std::move(node.mapped());
  watched_worker next{.images = ImagesOf(running), .listed_at = at};
  const bool same_images = last.images == next.images;
  for (const shown_task& each : running) {
    const auto known = last.tasks.find(each.task);
    const bool continues = same_images && known != last.tasks.end();
    next.tasks.emplace(
        each.task, Continue(before, worker, next.images,
                            continues ? &known->second : nullptr, each, at));
  }
  // Whatever is between two listings with different images belongs to neither.
  for (const auto& [task, each] : last.tasks) {
    const bool over = !same_images || !next.tasks.contains(task);
    if (over && IsSample(each))
      AddSample(before, worker, last.images, each);
  }
  if (!next.tasks.empty())
    before.watched.emplace(worker, std::move(next));
  return before;
}

interference_step AdvanceInterference(interference before, timestamp at) {
  interference_step done{.next = std::move(before), .changes = {}};
  interference& learned = done.next;
  const duration passed = at - learned.advanced_at;
  if (passed < kAdvanceInterval)
    return done;
  learned.advanced_at = at;
  DecayAll(learned, std::exp(-static_cast<double>(passed.count()) /
                             static_cast<double>(kMemory.count())));
  std::erase_if(learned.watched, [&](const auto& entry) {
    return at - entry.second.listed_at > kWatchTime;
  });
  Bound(learned.pairs, kMaxPairs,
        [](const pair_samples& each) { return each.all.weight; });
  Bound(learned.images, kMaxImages,
        [](const rate_sum& each) { return each.weight; });
  done.changes = Judge(learned);
  return done;
}

std::uint32_t CostBeside(const interference& learned,
                         const std::string& image,
                         const std::vector<std::string>& beside) {
  std::uint32_t cost = 1000;
  const auto add = [&](const image_pair& pair) {
    const auto found = learned.known.find(pair);
    if (found != learned.known.end())
      cost += found->second.slowdown_permille - 1000;
  };
  for (const std::string& each :
       std::set<std::string>(beside.begin(), beside.end())) {
    add({.slowed = image, .beside = each});
    if (each != image)
      add({.slowed = each, .beside = image});
  }
  return cost;
}

bool HasKnownPair(const interference& learned, const std::string& image) {
  return std::ranges::any_of(learned.known, [&](const auto& entry) {
    return entry.first.slowed == image || entry.first.beside == image;
  });
}

}  // namespace parsleyhitch::policy
