// soak --seeds 1,2,3 [--seconds 10] [--entries 3] [--workers 6] [--logs FILE]
// [--all_faults] [--operations] [--forwarding]:
// injects random failures into real processes and prints one line per seed.
// Exits with 1 if an invariant was violated, with 2 if a seed could not be run.

#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <string>

#include "settings/comma_list.h"
#include "soak/schedule.h"
#include "soak/soak.h"

DEFINE_bool(forwarding, false, "the leader forwards its orders to proxies");
DEFINE_string(seeds, "1", "comma-separated list of seeds");
DEFINE_bool(all_faults,
            false,
            "draw from all kinds of faults, and submit jobs "
            "with more and longer tasks");
DEFINE_bool(operations,
            false,
            "draw from evacuations and slow workers as well, "
            "beside all faults");
DEFINE_uint32(seconds, 10, "seconds during which faults are injected");
DEFINE_uint32(entries, 3, "number of entries");
DEFINE_uint32(workers, 6, "number of workers");
DEFINE_string(logs, "", "file to which the logs of failed seeds are appended");

namespace parsleyhitch::soak {

namespace {

fault_set FaultSet() {
  if (FLAGS_operations)
    return fault_set::kAllAndOperations;
  return FLAGS_all_faults ? fault_set::kAll : fault_set::kBasic;
}

bool RunSeed(std::uint64_t seed) {
  const std::chrono::seconds length(FLAGS_seconds);
  const soak_result result =
      RunSoak(seed, length, FaultSet(),
              {.entries = FLAGS_entries,
               .workers = FLAGS_workers,
               .proxied = true,
               .workers_per_core =
                   FLAGS_forwarding ? FLAGS_workers / FLAGS_entries + 1 : 0});
  std::cout << "seed " << seed << ": " << result.faults << " faults, "
            << result.jobs << " jobs, " << result.accepted << " accepted, "
            << result.refused << " refused, " << result.starts << " starts, "
            << (result.breaches.empty() ? "held" : "BROKEN") << std::endl;
  for (const std::string& each : result.breaches)
    std::cout << "  " << each.substr(0, each.find('\n')) << "\n";
  if (result.breaches.empty())
    return true;
  for (const fault& each : GenerateSchedule(seed, length, FaultSet())) {
    std::cout << "  " << each.at.count() << " ms for " << each.duration.count()
              << " ms: " << FaultName(each.kind) << " " << each.target << "\n";
  }
  if (!FLAGS_logs.empty())
    std::ofstream(FLAGS_logs, std::ios::app) << result.logs;
  return false;
}

int Main() {
  int code = 0;
  for (const std::string& seed : settings::SplitByComma(FLAGS_seeds)) {
    try {
      code = RunSeed(std::stoull(seed)) ? code : 1;
    } catch (const std::exception& error) {
      std::cout << "seed " << seed << ": could not be run: " << error.what()
                << "\n";
      code = 2;
    }
  }
  return code;
}

}  // namespace

}  // namespace parsleyhitch::soak

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyhitch::soak::Main();
}
