// The table of commands, and the commands that consist of one call to an entry.

#include "parsleyhitch/commands.h"

#include <iostream>
#include <optional>

#include "parsleyhitch/burn_command.h"
#include "parsleyhitch/calls.h"
#include "parsleyhitch/check.h"
#include "parsleyhitch/exit_codes.h"
#include "parsleyhitch/explain_command.h"
#include "parsleyhitch/output.h"
#include "parsleyhitch/replay_command.h"
#include "settings/manifest_file.h"
#include "settings/yaml_source.h"
#include "wire/json_codec.h"
#include "wire/proto_schema.h"

namespace parsleyhitch {

namespace {

int ReportUsageError(const std::string& expected) {
  std::cerr << "expected " << expected << "\n";
  return kExitUsage;
}

int RunPublish(const command_input& input) {
  if (input.arguments.size() != 1)
    return ReportUsageError("a manifest file");
  const std::optional<std::string> text = ReadFile(input.arguments.front());
  if (!text)
    return kExitUsage;
  return wire::Handle(
      [&] { return settings::ParseManifest(*text); },
      [&](const model::manifest& manifest) {
        return CallAndPrint(input, {.method = "POST",
                                    .path = "/v1/manifest",
                                    .body = wire::ToJson(manifest)});
      },
      [&](const model::findings& findings) {
        PrintFindings(input.arguments.front(), findings, input.json);
        return kExitFindings;
      });
}

int RunSubmit(const command_input& input) {
  if (input.arguments.size() != 1)
    return ReportUsageError("a job file");
  const std::optional<std::string> text = ReadFile(input.arguments.front());
  if (!text)
    return kExitUsage;
  const settings::yaml_source source = settings::ParseYaml(*text);
  if (!source.findings.empty()) {
    PrintFindings(input.arguments.front(), source.findings, input.json);
    return kExitFindings;
  }
  return CallAndPrint(
      input,
      {.method = "POST", .path = "/v1/jobs", .body = source.content.dump()});
}

int RunStatus(const command_input& input) {
  const bool job = !input.arguments.empty();
  return CallAndPrint(
      input,
      {.method = "GET",
       .path = job ? "/v1/jobs/" + input.arguments.front() : "/v1/status"});
}

int RunCancel(const command_input& input) {
  if (input.arguments.size() != 1)
    return ReportUsageError("a job name");
  return CallAndPrint(input, {.method = "DELETE",
                              .path = "/v1/jobs/" + input.arguments.front()});
}

int RunDrain(const command_input& input) {
  if (input.entries.size() != 1)
    return ReportUsageError("exactly one --entry");
  return CallAndPrint(input, {.method = "POST", .path = "/v1/drain"});
}

// request SERVICE WORKSPACE BODY [KEY]: a request with a key is sent as
// non-idempotent.
int RunRequest(const command_input& input) {
  constexpr std::size_t kArgumentsWithoutKey = 3;
  const auto& arguments = input.arguments;
  if (arguments.size() != kArgumentsWithoutKey &&
      arguments.size() != kArgumentsWithoutKey + 1)
    return ReportUsageError("SERVICE WORKSPACE BODY [KEY]");
  std::vector<std::string> headers{"Parsleyhitch-Workspace: " + arguments[1]};
  if (arguments.size() > kArgumentsWithoutKey) {
    headers.push_back("Parsleyhitch-Idempotent: false");
    headers.push_back("Idempotency-Key: " + arguments[kArgumentsWithoutKey]);
  }
  return CallAndPrint(input,
                      {.method = "POST",
                       .path = "/v1/services/" + arguments[0] + "/requests",
                       .headers = std::move(headers),
                       .body = arguments[2]});
}

int RunSchema(const command_input&) {
  std::cout << wire::ProtoSchema();
  return kExitOk;
}

}  // namespace

const std::vector<command>& Commands() {
  static const std::vector<command> commands{
      {"check", "check FILE...",
       "Checks settings or manifest files and prints every finding.", RunCheck},
      {"publish", "publish MANIFEST", "Publishes a manifest (YAML).",
       RunPublish},
      {"submit", "submit JOB", "Submits a job (YAML).", RunSubmit},
      {"request", "request SERVICE WORKSPACE BODY [KEY]",
       "Sends a request to a service; with a key, as non-idempotent.",
       RunRequest},
      {"status", "status [JOB]", "Shows the status of an entry or of a job.",
       RunStatus},
      {"cancel", "cancel JOB", "Cancels a job.", RunCancel},
      {"drain", "drain --entry ADDRESS", "Shuts one entry down gracefully.",
       RunDrain},
      {"burn", "burn [--trace FILE --html FILE]",
       "Reports the service-level burn over the given entries or of a trace.",
       RunBurn},
      {"explain", "explain ID LOG...",
       "Shows from the entries' logs what happened to a request.", RunExplain},
      {"replay", "replay TRACE...",
       "Replays traces or recordings and checks their expected outcomes.",
       RunReplay},
      {"schema", "schema", "Prints the protobuf schema.", RunSchema},
  };
  return commands;
}

}  // namespace parsleyhitch
