// Which tasks slow each other down on one worker. For each ordered pair of
// images the rate of progress of a task beside the other image is compared with
// the rate of its image elsewhere and with what else runs on the same worker.
// All rates are logarithms of progress relative to the caller's estimate.

#ifndef PARSLEYHITCH_POLICY_INTERFERENCE_H_
#define PARSLEYHITCH_POLICY_INTERFERENCE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/time.h"
#include "work/job.h"

namespace parsleyhitch::policy {

using model::duration;
using model::timestamp;

// A task in a worker's listing.
struct shown_task {
  work::task_id task;
  std::uint64_t attempt = 0;
  // What it runs: tasks of one image behave alike.
  std::string image;
  duration estimate{0};
  std::uint32_t percent = 0;
  // The number of tasks of its step, which share the error of the estimate.
  std::uint32_t step_tasks = 1;
  // Its rate tells something of what runs beside it. False for tasks that are
  // remote from their data or rack, or without a usable estimate.
  bool comparable = true;

  bool operator==(const shown_task&) const = default;
};

// The image `slowed` beside a task of the image `beside`.
struct image_pair {
  std::string slowed;
  std::string beside;

  auto operator<=>(const image_pair&) const = default;
};

struct known_pair {
  // How much longer tasks of `slowed` take, in thousandths; above 1000.
  std::uint32_t slowdown_permille = 1000;
  // The weight of the samples, in jobs.
  std::uint32_t samples = 0;

  bool operator==(const known_pair&) const = default;
};

// Weighted sum of logarithms of rates.
struct rate_sum {
  double weight = 0;
  double sum = 0;

  bool operator==(const rate_sum&) const = default;
};

// Samples of one image beside another one, on one worker.
struct neighbour_sum {
  double weight = 0;
  // The effects of the pair itself and of the worker are included, those of
  // other known pairs are taken out.
  double observed = 0;
  // What the samples added to the sum of the worker.
  double relative = 0;

  bool operator==(const neighbour_sum&) const = default;
};

struct pair_samples {
  // What the samples added to the sum of the image, on all workers.
  rate_sum all;
  std::map<work::worker_id, neighbour_sum> by_worker;

  bool operator==(const pair_samples&) const = default;
};

// Progress of a task while the images on its worker stay the same.
struct watched_task {
  shown_task latest;
  timestamp first_at;
  timestamp latest_at;
  std::uint32_t first_percent = 0;

  bool operator==(const watched_task&) const = default;
};

struct watched_worker {
  // Sorted; an image of several tasks is listed twice.
  std::vector<std::string> images;
  std::map<work::task_id, watched_task> tasks;
  timestamp listed_at;

  bool operator==(const watched_worker&) const = default;
};

struct interference {
  std::map<image_pair, known_pair> known;
  std::map<image_pair, pair_samples> pairs;
  // Rates of each image, without the effect of known pairs and of the speed of
  // workers.
  std::map<std::string, rate_sum> images;
  // Rates of the tasks on each worker relative to those of their images.
  std::map<work::worker_id, rate_sum> workers;
  std::map<work::worker_id, watched_worker> watched;
  timestamp advanced_at;

  bool operator==(const interference&) const = default;
};

// A pair that has become known, or is known no longer.
struct pair_change {
  image_pair pair;
  known_pair state;
  bool found = false;

  bool operator==(const pair_change&) const = default;
};

struct interference_step {
  interference next;
  std::vector<pair_change> changes;
};

// True when a listing of the worker is to be observed: a shorter time after the
// last one than this shows little progress.
bool IsListingDue(const interference& learned,
                  const work::worker_id& worker,
                  timestamp at);

// After a listing of all tasks that run on the worker.
interference ObserveWorker(interference before,
                           const work::worker_id& worker,
                           const std::vector<shown_task>& running,
                           timestamp at);

// Once a second: older samples lose weight, and pairs become known or are
// forgotten.
interference_step AdvanceInterference(interference before, timestamp at);

// How much longer a task of the image, and the tasks beside it, are expected to
// take together, in thousandths; 1000 without a known pair. An image that
// occurs several times in `beside` counts once.
std::uint32_t CostBeside(const interference& learned,
                         const std::string& image,
                         const std::vector<std::string>& beside);

// True when a pair of the image is known.
bool HasKnownPair(const interference& learned, const std::string& image);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_INTERFERENCE_H_
