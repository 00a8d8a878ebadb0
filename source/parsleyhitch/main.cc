// The operators' command line: parses the flags and runs a subcommand.

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

#include "parsleyhitch/commands.h"
#include "parsleyhitch/exit_codes.h"
#include "settings/comma_list.h"

DEFINE_string(entry,
              "127.0.0.1:7400",
              "entry addresses (IP:PORT), separated by commas");
DEFINE_string(format, "table", "output format: table or json");
DEFINE_string(trace, "", "burn: report on this trace instead of live entries");
DEFINE_string(html, "", "burn: also write an HTML page to this file");
DEFINE_string(compare,
              "",
              "replay: also run this policy (baseline) and compare");
DEFINE_string(
    naive,
    "",
    "replay: hooks to replace with naive implementations, separated by commas");
DECLARE_bool(help);
DECLARE_bool(helpshort);

namespace parsleyhitch {

namespace {

void PrintHelp(const command& command) {
  std::cout << "usage: parsleyhitch " << command.usage << "\n\n"
            << command.help << "\n";
}

int PrintUsage() {
  std::cout << "usage: parsleyhitch COMMAND [--entry IP:PORT,...] "
               "[--format=table|json]\n\n";
  for (const command& each : Commands())
    std::cout << "  " << each.usage << "\n      " << each.help << "\n";
  std::cout << "\nexit codes: 0 success, 1 findings, 2 usage error, "
               "3 no entry reachable, 4 refused and not run, "
               "5 outcome unknown\n";
  return kExitOk;
}

int Main(const std::vector<std::string>& arguments) {
  if (arguments.empty())
    return FLAGS_help ? PrintUsage() : (PrintUsage(), kExitUsage);
  const auto& commands = Commands();
  const auto found =
      std::ranges::find(commands, arguments.front(), &command::name);
  if (found == commands.end()) {
    std::cerr << "unknown command '" << arguments.front() << "'\n";
    return kExitUsage;
  }
  if (FLAGS_help || FLAGS_helpshort) {
    PrintHelp(*found);
    return kExitOk;
  }
  if (FLAGS_format != "table" && FLAGS_format != "json") {
    std::cerr << "--format must be table or json\n";
    return kExitUsage;
  }
  return found->run({.arguments = {arguments.begin() + 1, arguments.end()},
                     .entries = settings::SplitByComma(FLAGS_entry),
                     .json = FLAGS_format == "json",
                     .trace = FLAGS_trace,
                     .html = FLAGS_html,
                     .compare = FLAGS_compare,
                     .naive = settings::SplitByComma(FLAGS_naive)});
}

}  // namespace

}  // namespace parsleyhitch

int main(int argc, char** argv) {
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  return parsleyhitch::Main({argv + 1, argv + argc});
}
