// Ports are assigned in this order: the VM list, the entries' HTTP ports, their
// peer ports, one port of the log for each entry, and the workers.

#include "support/cluster.h"

#include <unistd.h>

#include <asio/io_context.hpp>
#include <csignal>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <utility>

#include "support/child_process.h"
#include "wire/json_codec.h"

namespace parsleyhitch::test {

namespace {

constexpr model::duration kCallTimeout{20000};

constexpr char kManifest[] = R"({"version":1,"base":0,
"workspaces":[{"id":"coop","guarantees":[{"name":"wear","capacity":
{"gang_size":4,"accelerators":8,"nearness":"rack"}}]},{"id":"laundry"}],
"services":[{"id":"log","owner":"coop","default_deadline_ms":5000},
{"id":"pickup","owner":"laundry","rank":"urgent","default_deadline_ms":3000}]})";

std::string FindHeader(const runtime::http_response& response,
                       const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

reply ToReply(const runtime::http_outcome& outcome) {
  const auto* response = std::get_if<runtime::http_response>(&outcome);
  if (response == nullptr)
    return {};
  return {.status = response->status,
          .run = FindHeader(*response, "parsleyhitch-run"),
          .body = response->body};
}

runtime::http_request ToHttpRequest(const request& each,
                                    const std::string& address) {
  std::vector<std::string> headers{
      "Parsleyhitch-Workspace: " + each.workspace,
      "Parsleyhitch-Deadline-Ms: " + std::to_string(each.deadline_ms)};
  if (!each.key.empty()) {
    headers.push_back("Parsleyhitch-Idempotent: false");
    headers.push_back("Idempotency-Key: " + each.key);
  }
  return {
      .method = "POST",
      .url = "http://" + address + "/v1/services/" + each.service + "/requests",
      .headers = std::move(headers),
      .body = each.body,
      .timeout = kCallTimeout,
      .dedicated_connection = true};
}

// Returns the first field with this name, at any depth, as text; empty if there
// is none.
std::string FindField(const wire::json& value, const std::string& name) {
  if (!value.is_structured())
    return "";
  if (value.is_object() && value.contains(name)) {
    const wire::json& found = value[name];
    return found.is_string() ? found.get<std::string>() : found.dump();
  }
  for (const wire::json& each : value) {
    const std::string found = FindField(each, name);
    if (!found.empty())
      return found;
  }
  return "";
}

std::string FindReplyField(const reply& reply, const std::string& name) {
  return FindField(wire::json::parse(reply.body, nullptr, false), name);
}

}  // namespace

cluster::cluster(const cluster_options& options)
    : options_(options),
      ports_(FindFreePorts(1 + 3 * options.entries + options.workers)),
      directory_(std::filesystem::temp_directory_path() /
                 ("parsleyhitch-" + std::to_string(getpid()))) {
  try {
    Start();
  } catch (...) {
    // The destructor does not run when the constructor throws.
    KillAll();
    throw;
  }
}

void cluster::Start() {
  std::filesystem::create_directories(directory_);
  std::string log_addresses;
  for (std::uint32_t entry = 0; entry < options_.entries; ++entry)
    log_addresses += (entry == 0 ? "" : ",") + LogAddress(entry);
  const std::string stand_ins = BinaryPath("tests/stand_ins/stand_ins");
  platform_processes_.push_back(
      Spawn({stand_ins, "--role", "log", "--listen", log_addresses}));
  platform_processes_.push_back(
      Spawn({stand_ins, "--role", "vms", "--listen", Address(0)}));
  std::string list;
  for (std::uint32_t worker = 0; worker < options_.workers; ++worker) {
    workers_.push_back(
        Spawn({stand_ins, "--role", "worker", "--listen", WorkerAddress(worker),
               "--task_ms", std::to_string(options_.task_ms)}));
    const model::listed_vm vm{
        .spec = {.worker = model::worker_id("w" + std::to_string(worker)),
                 .address = WorkerAddress(worker),
                 .failure_domain = model::failure_domain_id("fd"),
                 .rack = model::rack_id("rack-" + std::to_string(worker / 4)),
                 .accelerators = 8,
                 .slots = 8}};
    list += (worker == 0 ? "" : ",") + wire::ToJson(vm);
  }
  Await("VM list to accept its content", [&] {
    return CallAddress(Address(0), "POST", "/control", "[" + list + "]")
               .status == 200;
  });
  for (std::uint32_t entry = 0; entry < options_.entries; ++entry) {
    entries_.push_back(0);
    StartEntry(entry);
  }
  for (std::uint32_t entry = 0; entry < options_.entries; ++entry)
    AwaitStatus(entry, "workers_live", std::to_string(options_.workers));
  Await("reply to the first manifest",
        [&] { return Call(0, "POST", "/v1/manifest", kManifest).status != 0; });
  for (std::uint32_t entry = 0; entry < options_.entries; ++entry)
    AwaitStatus(entry, "manifest_version", "1");
}

cluster::~cluster() {
  KillAll();
}

void cluster::KillAll() const {
  std::vector<pid_t> all = entries_;
  all.insert(all.end(), workers_.begin(), workers_.end());
  all.insert(all.end(), platform_processes_.begin(), platform_processes_.end());
  for (const pid_t pid : all)
    KillAndWait(pid);
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void cluster::Await(const std::string& what,
                    const std::function<bool()>& condition) const {
  AwaitCondition(what, condition);
}

std::vector<reply> cluster::SendTogether(
    const std::vector<request>& requests) const {
  asio::io_context io(1);
  runtime::http_client client(io);
  std::vector<reply> replies(requests.size());
  std::size_t open = requests.size();
  for (std::size_t i = 0; i < requests.size(); ++i) {
    client.Send(ToHttpRequest(requests[i], EntryAddress(requests[i].entry)),
                [&, i](const runtime::http_outcome& outcome) {
                  replies[i] = ToReply(outcome);
                  if (--open == 0)
                    io.stop();
                });
  }
  io.run();
  return replies;
}

reply cluster::CallAddress(const std::string& address,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body) const {
  return ToReply(SendAndWait({.method = method,
                              .url = "http://" + address + path,
                              .body = body,
                              .timeout = kCallTimeout,
                              .dedicated_connection = true}));
}

reply cluster::Call(std::uint32_t entry,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) const {
  return CallAddress(EntryAddress(entry), method, path, body);
}

std::string cluster::Submit(std::uint32_t entry,
                            const std::string& spec) const {
  const reply accepted = Call(entry, "POST", "/v1/jobs", spec);
  const wire::json body = wire::json::parse(accepted.body, nullptr, false);
  if (accepted.status != 202)
    throw std::runtime_error("job not accepted: " + accepted.body);
  return body["job"]["job"].get<std::string>();
}

std::string cluster::PhaseOf(std::uint32_t entry,
                             const std::string& job) const {
  return FindReplyField(Call(entry, "GET", "/v1/jobs/" + job), "phase");
}

void cluster::AwaitPhase(std::uint32_t entry,
                         const std::string& job,
                         const std::string& phase) const {
  Await(job + " to reach phase " + phase,
        [&] { return PhaseOf(entry, job) == phase; });
}

std::string cluster::StatusField(std::uint32_t entry,
                                 const std::string& field) const {
  return FindReplyField(Call(entry, "GET", "/v1/status"), field);
}

void cluster::AwaitStatus(std::uint32_t entry,
                          const std::string& field,
                          const std::string& value) const {
  Await(field + " to become " + value,
        [&] { return StatusField(entry, field) == value; });
}

void cluster::SignalEntry(std::uint32_t entry, int signal) const {
  kill(entries_.at(entry), signal);
}

void cluster::SignalWorker(std::uint32_t worker, int signal) const {
  kill(workers_.at(worker), signal);
}

int cluster::AwaitExit(std::uint32_t entry) {
  const int code = AwaitProcessExit(entries_.at(entry));
  entries_.at(entry) = 0;
  return code;
}

void cluster::StartEntry(std::uint32_t entry) {
  KillAndWait(entries_.at(entry));
  const std::string path =
      (directory_ / ("entry-" + std::to_string(entry) + ".yaml")).string();
  std::ofstream(path) << EntryConfig(entry);
  entries_.at(entry) = Spawn(
      {BinaryPath("source/parsleyhitchd/parsleyhitchd"), "--config", path});
}

void cluster::ControlLog(const std::string& control) const {
  CallAddress(LogAddress(0), "POST", "/control", control);
}

void cluster::ControlVmList(const std::string& control) const {
  CallAddress(Address(0), "POST", "/control", control);
}

void cluster::ControlWorker(std::uint32_t worker,
                            const std::string& control) const {
  CallAddress(WorkerAddress(worker), "POST", "/control", control);
}

void cluster::ControlWorkers(const std::string& control) const {
  for (std::uint32_t worker = 0; worker < options_.workers; ++worker)
    ControlWorker(worker, control);
}

stand_ins::worker_journal cluster::Journal(std::uint32_t worker) const {
  const reply journal =
      CallAddress(WorkerAddress(worker), "GET", "/journal", "");
  auto decoded = wire::ValueOf(
      [&] { return wire::FromJson<stand_ins::worker_journal>(journal.body); });
  return decoded ? *decoded : stand_ins::worker_journal{};
}

std::uint64_t cluster::CountRuns(const std::string& key) const {
  std::uint64_t runs = 0;
  for (std::uint32_t worker = 0; worker < options_.workers; ++worker) {
    for (const stand_ins::journal_run& run : Journal(worker).runs)
      runs += run.key == key ? 1 : 0;
  }
  return runs;
}

std::string cluster::Address(std::uint32_t index) const {
  return "127.0.0.1:" + std::to_string(ports_.at(index));
}

std::string cluster::EntryAddress(std::uint32_t entry) const {
  return Address(1 + entry);
}

std::string cluster::LogAddress(std::uint32_t entry) const {
  return Address(1 + 2 * options_.entries + entry);
}

std::string cluster::WorkerAddress(std::uint32_t worker) const {
  return Address(1 + 3 * options_.entries + worker);
}

std::string cluster::EntryConfig(std::uint32_t entry) const {
  std::string text =
      "entry: entry-" + std::to_string(entry) +
      "\nfailure_domain: fd\nhttp_listen: " + EntryAddress(entry) +
      "\npeer_listen: " + Address(1 + options_.entries + entry) +
      "\nlog_address: " + LogAddress(entry) +
      "\nvm_list_address: " + Address(0) + "\npeers:\n";
  for (std::uint32_t peer = 0; peer < options_.entries; ++peer) {
    if (peer != entry) {
      text += "  - entry: entry-" + std::to_string(peer) +
              "\n    address: " + Address(1 + options_.entries + peer) + "\n";
    }
  }
  return text + "limits:\n  checkpoint_every_batches: 20\n";
}

pid_t cluster::Spawn(const std::vector<std::string>& arguments) const {
  return test::Spawn(arguments, (directory_ / "log").string());
}

}  // namespace parsleyhitch::test
