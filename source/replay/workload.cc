// The two users' loads.

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

class generator {
 public:
  explicit generator(std::uint64_t seed) : random_(seed) {}

  // Evenly from `least` to `most`, both included.
  std::int64_t Between(std::int64_t least, std::int64_t most) {
    const auto span = static_cast<std::uint64_t>(most - least + 1);
    return least + static_cast<std::int64_t>(random_() % span);
  }

  bool Chance(std::int64_t permille) {
    return Between(1, kPermille) <= permille;
  }

 private:
  std::mt19937_64 random_;
};

worker_group Group(const std::string& domain,
                   std::uint32_t count,
                   std::uint32_t rack) {
  return {.prefix = domain,
          .count = count,
          .failure_domain = model::failure_domain_id(domain),
          .workers_per_rack = rack,
          .accelerators = kAcceleratorsPerWorker,
          .slots = kSlotsPerWorker};
}

// Fewer messages than at the defaults: the runs are long.
model::limits LongRunLimits() {
  return {.heartbeat_interval = model::duration(1000),
          .peer_timeout = model::duration(4000),
          .vm_list_interval = model::duration(5000),
          .sync_interval = model::duration(3000),
          .sync_timeout = model::duration(2000),
          .lease = model::duration(12000)};
}

// One kind of job in a load.
struct job_kind {
  const std::string name;
  const std::string owner;
  const model::shape capacity;
  const std::int64_t least_ms = 0;
  const std::int64_t most_ms = 0;
  const std::int32_t priority = 0;
  const bool preemptible = false;
};

// Run times: a few stragglers run eight times longer, and what is declared is
// off by up to a factor of three either way.
job_arrival MakeJob(generator& random,
                    const job_kind& kind,
                    std::int64_t at,
                    int number) {
  constexpr std::int64_t kStragglers = 20;
  constexpr std::int64_t kStragglerFactor = 8;
  const std::int64_t usual = random.Between(kind.least_ms, kind.most_ms);
  const std::int64_t runs =
      random.Chance(kStragglers) ? usual * kStragglerFactor : usual;
  const std::int64_t declared = usual * random.Between(333, 3000) / kPermille;
  return {.at = model::duration(at),
          .entry = static_cast<std::uint32_t>(random.Between(0, 2)),
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
             generator& random,
             const job_kind& kind,
             int count,
             std::int64_t from_s,
             std::int64_t until_s) {
  for (int i = 0; i < count; ++i) {
    const std::int64_t at = random.Between(from_s * kSecond, until_s * kSecond);
    lines.emplace_back(MakeJob(random, kind, at, i));
  }
}

// One kind of request in a load.
struct request_kind {
  const std::string name;
  const std::string owner;
  const std::int64_t least_ms = 0;
  const std::int64_t most_ms = 0;
  const bool idempotent = true;
};

void AddRequests(std::vector<scenario_line>& lines,
                 generator& random,
                 const request_kind& kind,
                 int count,
                 std::int64_t from_s,
                 std::int64_t until_s) {
  constexpr std::int64_t kStragglers = 10;
  constexpr std::int64_t kStragglerFactor = 10;
  for (int i = 0; i < count; ++i) {
    const std::int64_t usual = random.Between(kind.least_ms, kind.most_ms);
    const std::int64_t takes =
        random.Chance(kStragglers) ? usual * kStragglerFactor : usual;
    const std::string name =
        kind.name + "-" + std::to_string(from_s) + "-" + std::to_string(i);
    lines.emplace_back(request_arrival{
        .at = model::duration(
            random.Between(from_s * kSecond, until_s * kSecond)),
        .entry = static_cast<std::uint32_t>(random.Between(0, 2)),
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

// All the crews start at dawn: large wear checks come among a flood of small
// work.
std::vector<scenario_line> Coop(std::uint64_t seed) {
  generator random(seed);
  std::vector<scenario_line> lines;
  lines.emplace_back(
      setup{.entries = 3,
            .seed = seed,
            .until = model::duration(3000 * kSecond),
            .workers = {Group("bajio-1", 17, 8), Group("bajio-2", 17, 8),
                        Group("bajio-3", 16, 8)},
            .manifest = CoopManifest(),
            .limits = LongRunLimits()});
  AddJobs(lines, random,
          {.name = "photo-batch",
           .owner = "talleres",
           .capacity = {.gang_size = 1, .accelerators = 2},
           .least_ms = 30000,
           .most_ms = 120000,
           .preemptible = true},
          1400, 10, 900);
  AddJobs(lines, random,
          {.name = "round-plan",
           .owner = "ejidos",
           .capacity = {.gang_size = 1, .accelerators = 1},
           .least_ms = 5000,
           .most_ms = 20000},
          900, 60, 900);
  AddJobs(lines, random,
          {.name = "wear-check-large",
           .owner = "canal-sur",
           .capacity = kWearCheckShape,
           .least_ms = 60000,
           .most_ms = 120000},
          40, 60, 600);
  AddJobs(lines, random,
          {.name = "wear-check-guaranteed",
           .owner = "canal-norte",
           .capacity = kWearCheckShape,
           .least_ms = 30000,
           .most_ms = 60000},
          6, 120, 900);
  // Nine members can't stand in a rack of eight.
  AddJobs(lines, random,
          {.name = "never",
           .owner = "ejidos",
           .capacity = {.gang_size = 9,
                        .accelerators = 8,
                        .nearness = model::adjacency::kRack},
           .least_ms = 1000,
           .most_ms = 1000},
          5, 60, 600);
  for (int i = 0; i < 60; ++i) {
    lines.emplace_back(
        job_cancel{.at = model::duration(500 * kSecond + i),
                   .name = "photo-batch-" + std::to_string(i * 7)});
  }
  AddRequests(lines, random,
              {.name = "grease-log",
               .owner = "canal-norte",
               .least_ms = 20,
               .most_ms = 80,
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

// The counter opens: short confirmations come among long sorting runs.
std::vector<scenario_line> BlueMahoe(std::uint64_t seed) {
  generator random(seed);
  std::vector<scenario_line> lines;
  lines.emplace_back(
      setup{.entries = 3,
            .seed = seed,
            .latency = model::duration(1),
            .until = model::duration(400 * kSecond),
            .workers = {Group("norte-1", 13, 6), Group("norte-2", 13, 6),
                        Group("norte-3", 12, 6), Group("norte-4", 12, 6)},
            .manifest = BlueMahoeManifest(),
            .limits = LongRunLimits()});
  AddRequests(lines, random,
              {.name = "stain-sorting",
               .owner = "laundry",
               .least_ms = 15000,
               .most_ms = 30000},
              2400, 30, 150);
  AddRequests(lines, random,
              {.name = "fold-sheet",
               .owner = "laundry",
               .least_ms = 1000,
               .most_ms = 4000},
              1500, 60, 150);
  AddRequests(lines, random,
              {.name = "pickup-confirmation",
               .owner = "counter",
               .least_ms = 20,
               .most_ms = 60},
              600, 10, 60);
  // The crest.
  AddRequests(lines, random,
              {.name = "pickup-confirmation",
               .owner = "counter",
               .least_ms = 20,
               .most_ms = 60},
              3000, 60, 150);
  lines.emplace_back(fault{.at = model::duration(90 * kSecond),
                           .kind = fault_kind::kKillWorker,
                           .worker = "norte-2-3"});
  return lines;
}

}  // namespace

std::vector<scenario_line> GenerateWorkload(const workload& wanted) {
  if (wanted.name == "coop")
    return Coop(wanted.seed);
  if (wanted.name == "blue-mahoe")
    return BlueMahoe(wanted.seed);
  return {};
}

}  // namespace parsleyhitch::replay
