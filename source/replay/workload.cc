// Generates the two workloads: "coop" consists mainly of jobs, "blue-mahoe" of
// requests.

#include "replay/workload.h"

#include <cstdint>
#include <random>
#include <string>

namespace parsleyhitch::replay {

namespace {

constexpr std::uint32_t kAcceleratorsPerWorker = 8;
constexpr std::uint32_t kSlotsPerWorker = 8;
constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kPermille = 1000;

class random_source {
 public:
  explicit random_source(std::uint64_t seed) : random_(seed) {}

  // Uniformly distributed from `minimum` to `maximum`, both inclusive.
  std::int64_t UniformInt(std::int64_t minimum, std::int64_t maximum) {
    const auto span = static_cast<std::uint64_t>(maximum - minimum + 1);
    return minimum + static_cast<std::int64_t>(random_() % span);
  }

  bool Chance(std::int64_t permille) {
    return UniformInt(1, kPermille) <= permille;
  }

 private:
  std::mt19937_64 random_;
};

worker_group MakeWorkerGroup(const std::string& domain,
                             std::uint32_t count,
                             std::uint32_t rack) {
  return {.prefix = domain,
          .count = count,
          .failure_domain = model::failure_domain_id(domain),
          .workers_per_rack = rack,
          .accelerators = kAcceleratorsPerWorker,
          .slots = kSlotsPerWorker};
}

// Longer intervals than the defaults, to limit the number of messages in long
// runs.
model::limits LongRunLimits() {
  return {.heartbeat_interval = model::duration(1000),
          .peer_timeout = model::duration(4000),
          .vm_list_interval = model::duration(5000),
          .sync_interval = model::duration(3000),
          .sync_timeout = model::duration(2000),
          .lease = model::duration(12000)};
}

// One kind of job in a workload.
struct job_kind {
  const std::string name;
  const std::string owner;
  const model::shape capacity;
  const std::int64_t min_ms = 0;
  const std::int64_t max_ms = 0;
  const std::int32_t priority = 0;
  const bool preemptible = false;
};

// 2% of the jobs are stragglers that run eight times longer than is typical.
// The declared run time is off by up to a factor of three in either direction.
job_arrival MakeJob(random_source& random,
                    const job_kind& kind,
                    std::int64_t at,
                    int number) {
  constexpr std::int64_t kStragglerPermille = 20;
  constexpr std::int64_t kStragglerFactor = 8;
  const std::int64_t typical = random.UniformInt(kind.min_ms, kind.max_ms);
  const std::int64_t runs =
      random.Chance(kStragglerPermille) ? typical * kStragglerFactor : typical;
  const std::int64_t declared =
      typical * random.UniformInt(333, 3000) / kPermille;
  return {.at = model::duration(at),
          .entry = static_cast<std::uint32_t>(random.UniformInt(0, 2)),
          .name = kind.name + "-" + std::to_string(number),
          .spec = {.owner = model::workspace_id(kind.owner),
                   .kind = kind.name,
                   .capacity = kind.capacity,
                   .declared_run_time = model::duration(declared),
                   .priority = kind.priority,
                   .preemptible = kind.preemptible},
          .runs = model::duration(runs)};
}

void AddJobs(std::vector<scenario_line>& lines,
             random_source& random,
             const job_kind& kind,
             int count,
             std::int64_t from_s,
             std::int64_t until_s) {
  for (int i = 0; i < count; ++i) {
    const std::int64_t at =
        random.UniformInt(from_s * kSecond, until_s * kSecond);
    lines.emplace_back(MakeJob(random, kind, at, i));
  }
}

// One kind of request in a workload.
struct request_kind {
  const std::string name;
  const std::string owner;
  const std::int64_t min_ms = 0;
  const std::int64_t max_ms = 0;
  const bool idempotent = true;
};

void AddRequests(std::vector<scenario_line>& lines,
                 random_source& random,
                 const request_kind& kind,
                 int count,
                 std::int64_t from_s,
                 std::int64_t until_s) {
  constexpr std::int64_t kStragglerPermille = 10;
  constexpr std::int64_t kStragglerFactor = 10;
  for (int i = 0; i < count; ++i) {
    const std::int64_t typical = random.UniformInt(kind.min_ms, kind.max_ms);
    const std::int64_t takes = random.Chance(kStragglerPermille)
                                   ? typical * kStragglerFactor
                                   : typical;
    const std::string name =
        kind.name + "-" + std::to_string(from_s) + "-" + std::to_string(i);
    lines.emplace_back(request_arrival{
        .at = model::duration(
            random.UniformInt(from_s * kSecond, until_s * kSecond)),
        .entry = static_cast<std::uint32_t>(random.UniformInt(0, 2)),
        .name = name,
        .target = model::service_id(kind.name),
        .owner = model::workspace_id(kind.owner),
        .idempotent = kind.idempotent,
        .key = model::idempotency_key(kind.idempotent ? "" : name),
        .body = name,
        .takes = model::duration(takes)});
  }
}

constexpr model::shape kWearCheckShape{.gang_size = 4,
                                       .accelerators = 8,
                                       .nearness = model::adjacency::kRack};

model::manifest CoopManifest() {
  return {.version = 1,
          .base = 0,
          .workspaces = {{.id = model::workspace_id("canal-norte"),
                          .guarantees = {{.name = "wear-check",
                                          .capacity = kWearCheckShape}}},
                         {.id = model::workspace_id("canal-sur")},
                         {.id = model::workspace_id("ejidos")},
                         {.id = model::workspace_id("talleres")}},
          .services = {{.id = model::service_id("grease-log"),
                        .owner = model::workspace_id("canal-norte"),
                        .rank = model::importance::kBatch,
                        .default_deadline = model::duration(5000)}},
          .objectives = {{.service_name = model::service_id("grease-log"),
                          .target_permille = 999,
                          .within = model::duration(2000)}}};
}

// All crews start at the same time, so that large gangs compete with a flood of
// small jobs.
std::vector<scenario_line> GenerateCoop(std::uint64_t seed) {
  random_source random(seed);
  std::vector<scenario_line> lines;
  lines.emplace_back(setup{.entries = 3,
                           .seed = seed,
                           .until = model::duration(3000 * kSecond),
                           .workers = {MakeWorkerGroup("bajio-1", 17, 8),
                                       MakeWorkerGroup("bajio-2", 17, 8),
                                       MakeWorkerGroup("bajio-3", 16, 8)},
                           .manifest = CoopManifest(),
                           .limits = LongRunLimits()});
  AddJobs(lines, random,
          {.name = "photo-batch",
           .owner = "talleres",
           .capacity = {.gang_size = 1, .accelerators = 2},
           .min_ms = 30000,
           .max_ms = 120000,
           .preemptible = true},
          1400, 10, 900);
  AddJobs(lines, random,
          {.name = "round-plan",
           .owner = "ejidos",
           .capacity = {.gang_size = 1, .accelerators = 1},
           .min_ms = 5000,
           .max_ms = 20000},
          900, 60, 900);
  AddJobs(lines, random,
          {.name = "wear-check-large",
           .owner = "canal-sur",
           .capacity = kWearCheckShape,
           .min_ms = 60000,
           .max_ms = 120000},
          40, 60, 600);
  AddJobs(lines, random,
          {.name = "wear-check-guaranteed",
           .owner = "canal-norte",
           .capacity = kWearCheckShape,
           .min_ms = 30000,
           .max_ms = 60000},
          6, 120, 900);
  // Can never be placed: nine members do not fit in a rack of eight workers.
  AddJobs(lines, random,
          {.name = "never",
           .owner = "ejidos",
           .capacity = {.gang_size = 9,
                        .accelerators = 8,
                        .nearness = model::adjacency::kRack},
           .min_ms = 1000,
           .max_ms = 1000},
          5, 60, 600);
  for (int i = 0; i < 60; ++i) {
    lines.emplace_back(
        job_cancel{.at = model::duration(500 * kSecond + i),
                   .name = "photo-batch-" + std::to_string(i * 7)});
  }
  AddRequests(lines, random,
              {.name = "grease-log",
               .owner = "canal-norte",
               .min_ms = 20,
               .max_ms = 80,
               .idempotent = false},
              300, 60, 360);
  lines.emplace_back(fault{.at = model::duration(200 * kSecond),
                           .kind = fault_kind::kFailTasks,
                           .worker = "bajio-2-3"});
  lines.emplace_back(fault{.at = model::duration(700 * kSecond),
                           .kind = fault_kind::kMendTasks,
                           .worker = "bajio-2-3"});
  return lines;
}

model::manifest BlueMahoeManifest() {
  const auto service = [](const char* name, const char* owner,
                          model::importance rank, std::int64_t deadline_ms) {
    return model::service{.id = model::service_id(name),
                          .owner = model::workspace_id(owner),
                          .rank = rank,
                          .default_deadline = model::duration(deadline_ms)};
  };
  return {
      .version = 1,
      .base = 0,
      .workspaces = {{.id = model::workspace_id("counter")},
                     {.id = model::workspace_id("routes")},
                     {.id = model::workspace_id("laundry")},
                     {.id = model::workspace_id("kitchens")}},
      .services = {service("pickup-confirmation", "counter",
                           model::importance::kUrgent, 2000),
                   service("fold-sheet", "laundry", model::importance::kBatch,
                           60000),
                   service("stain-sorting", "laundry",
                           model::importance::kDeferrable, 90000)},
      .objectives = {{.service_name = model::service_id("pickup-confirmation"),
                      .target_permille = 999,
                      .within = model::duration(2000)},
                     {.service_name = model::service_id("fold-sheet"),
                      .target_permille = 990,
                      .within = model::duration(60000)}}};
}

// When the counter opens, short urgent confirmations compete with long sorting
// requests.
std::vector<scenario_line> GenerateBlueMahoe(std::uint64_t seed) {
  random_source random(seed);
  std::vector<scenario_line> lines;
  lines.emplace_back(setup{.entries = 3,
                           .seed = seed,
                           .latency = model::duration(1),
                           .until = model::duration(400 * kSecond),
                           .workers = {MakeWorkerGroup("norte-1", 13, 6),
                                       MakeWorkerGroup("norte-2", 13, 6),
                                       MakeWorkerGroup("norte-3", 12, 6),
                                       MakeWorkerGroup("norte-4", 12, 6)},
                           .manifest = BlueMahoeManifest(),
                           .limits = LongRunLimits()});
  AddRequests(lines, random,
              {.name = "stain-sorting",
               .owner = "laundry",
               .min_ms = 15000,
               .max_ms = 30000},
              2400, 30, 150);
  AddRequests(lines, random,
              {.name = "fold-sheet",
               .owner = "laundry",
               .min_ms = 1000,
               .max_ms = 4000},
              1500, 60, 150);
  AddRequests(lines, random,
              {.name = "pickup-confirmation",
               .owner = "counter",
               .min_ms = 20,
               .max_ms = 60},
              600, 10, 60);
  // Peak load.
  AddRequests(lines, random,
              {.name = "pickup-confirmation",
               .owner = "counter",
               .min_ms = 20,
               .max_ms = 60},
              3000, 60, 150);
  lines.emplace_back(fault{.at = model::duration(90 * kSecond),
                           .kind = fault_kind::kKillWorker,
                           .worker = "norte-2-3"});
  return lines;
}

}  // namespace

std::vector<scenario_line> GenerateWorkload(const workload& requested) {
  if (requested.name == "coop")
    return GenerateCoop(requested.seed);
  if (requested.name == "blue-mahoe")
    return GenerateBlueMahoe(requested.seed);
  return {};
}

}  // namespace parsleyhitch::replay
