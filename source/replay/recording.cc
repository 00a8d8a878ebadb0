// Replays a recording through the reducer and compares the encoded effects.

#include "replay/recording.h"

#include <sstream>
#include <utility>

#include "scheduler/reduce.h"
#include "wire/trace_codec.h"

namespace parsleyhitch::replay {

namespace {

scheduler::environment EnvironmentOf(const wire::recording_head& head) {
  return {.me = head.entry,
          .peers = head.peers,
          .limits = head.limits,
          .behaviour = head.baseline ? scheduler::BaselineHooks()
                                     : scheduler::DefaultHooks()};
}

}  // namespace

bool IsRecording(const std::string& text) {
  return text.starts_with("{\"entry\":");
}

wire::result<recording_result> RunRecording(const std::string& text) {
  std::stringstream stream(text);
  std::string line;
  std::getline(stream, line);
  BOOST_LEAF_AUTO(head, wire::DecodeRecordingHead(line));
  const scheduler::environment environment = EnvironmentOf(head);
  scheduler::entry_state state;
  std::uint64_t line_number = 1;
  std::uint64_t first_difference = 0;
  while (std::getline(stream, line)) {
    ++line_number;
    // A killed daemon may have left an incomplete last line.
    if (stream.eof() && !line.ends_with('}'))
      break;
    BOOST_LEAF_AUTO(recorded, wire::DecodeRecordedStep(line));
    scheduler::step step =
        scheduler::Reduce(environment, std::move(state), recorded.event);
    state = std::move(step.state);
    const std::string replayed = wire::EncodeRecordedStep(
        {.event = recorded.event, .effects = std::move(step.effects)});
    if (replayed != line && first_difference == 0)
      first_difference = line_number;
  }
  return recording_result{.steps = line_number - 1,
                          .first_difference = first_difference};
}

}  // namespace parsleyhitch::replay
