// The operators' commands, by name.

#ifndef PARSLEYHITCH_PARSLEYHITCH_COMMANDS_H_
#define PARSLEYHITCH_PARSLEYHITCH_COMMANDS_H_

#include <functional>
#include <string>
#include <vector>

namespace parsleyhitch {

// What a command is given: its arguments after the name, and the flags.
struct command_input {
  const std::vector<std::string> arguments{};
  // "ip:port" of each entry to try, in order.
  const std::vector<std::string> entries{};
  const bool json = false;
  // Burn of a trace instead of live entries, and the page to write.
  const std::string trace;
  const std::string html;
  // A replay is measured beside this policy; empty for none.
  const std::string compare;
  // Hooks that a replay replaces by naive ones.
  const std::vector<std::string> naive{};
};

struct command {
  const std::string name;
  const std::string usage;
  const std::string help;
  // The exit code.
  const std::function<int(const command_input&)> run;
};

const std::vector<command>& Commands();

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_COMMANDS_H_
