// soak --seeds 1,2,3 [--seconds 10] [--entries 3] [--workers 6] [--logs FILE]:
// random failures of real processes, a line a seed.

#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <string>

#include "settings/comma_list.h"
#include "soak/schedule.h"
#include "soak/soak.h"

DEFINE_string(seeds, "1", "seeds, with commas between them");
DEFINE_uint32(seconds, 10, "how long faults come");
DEFINE_uint32(entries, 3, "entries");
DEFINE_uint32(workers, 6, "workers");
DEFINE_string(logs,
              "",
              "file that takes the logs of seeds that broke a promise");

namespace parsleyhitch::soak {

namespace {

bool RunSeed(std::uint64_t seed) {
  const std::chrono::seconds length(FLAGS_seconds);
  const soak_result result = RunSoak(
      seed, length,
      {.entries = FLAGS_entries, .workers = FLAGS_workers, .proxied = true});
  std::cout << "seed " << seed << ": " << result.faults << " faults, "
            << result.jobs << " jobs, " << result.accepted << " accepted, "
            << result.refused << " refused, " << result.starts << " starts, "
            << (result.broken.empty() ? "held" : "BROKEN") << std::endl;
  for (const std::string& each : result.broken)
    std::cout << "  " << each.substr(0, each.find('\n')) << "\n";
  if (result.broken.empty())
    return true;
  for (const fault& each : DrawSchedule(seed, length)) {
    std::cout << "  " << each.at.count() << " ms for " << each.lasts.count()
              << " ms: " << NameOf(each.kind) << " " << each.target << "\n";
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
