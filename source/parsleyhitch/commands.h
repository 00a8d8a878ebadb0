// The subcommands of the parsleyhitch command line.

#ifndef PARSLEYHITCH_PARSLEYHITCH_COMMANDS_H_
#define PARSLEYHITCH_PARSLEYHITCH_COMMANDS_H_

#include <functional>
#include <string>
#include <vector>

namespace parsleyhitch {

// Input of a command: the arguments after its name, and the flags.
struct command_input {
  const std::vector<std::string> arguments{};
  // Addresses ("ip:port") of the entries to call, in order.
  const std::vector<std::string> entries{};
  const bool json = false;
  // `burn`: the trace to report on instead of live entries, and the HTML page
  // to write; empty for none.
  const std::string trace;
  const std::string html;
  // `replay`: the policy to compare with; empty for none.
  const std::string compare;
  // `replay`: names of the hooks to replace with naive implementations.
  const std::vector<std::string> naive{};
};

struct command {
  const std::string name;
  const std::string usage;
  const std::string help;
  // Returns the exit code.
  const std::function<int(const command_input&)> run;
};

const std::vector<command>& Commands();

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_COMMANDS_H_
