// Effects as HTTP calls and ZeroMQ messages.

#include "runtime/performers.h"

#include <optional>
#include <utility>

#include "wire/log_codec.h"
#include "wire/peer_codec.h"
#include "wire/worker_codec.h"

namespace parsleyhitch::runtime {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr char kAttemptHeader[] = "parsleyhitch-attempt";
constexpr char kLeavingHeader[] = "parsleyhitch-leaving";

std::string Url(const std::string& address, const std::string& path) {
  return "http://" + address + path;
}

// The body of a successful response; null otherwise.
const std::string* BodyOf(const http_outcome& outcome) {
  const auto* response = std::get_if<http_response>(&outcome);
  return response != nullptr && response->status == kOk ? &response->body
                                                        : nullptr;
}

std::optional<wire::log_page> PageOf(const http_outcome& outcome) {
  const std::string* body = BodyOf(outcome);
  if (body == nullptr)
    return {};
  return wire::ValueOf([&] { return wire::DecodeLogPage(*body); });
}

std::vector<model::logged_batch> BatchesOf(const wire::log_page& page) {
  std::vector<model::logged_batch> batches;
  std::uint64_t offset = page.from;
  for (const std::string& bytes : page.records)
    batches.push_back(wire::DecodeBatch(offset++, bytes));
  return batches;
}

std::string HeaderOf(const http_response& response, const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

// Names one attempt; an endpoint that repeats it lets crossed answers be seen.
std::string AttemptName(const performer_tools& tools,
                        const model::call_endpoint& effect) {
  return tools.settings.entry.value() + "-" +
         std::to_string(tools.incarnation) + "-" + std::to_string(effect.call) +
         "-" + std::to_string(effect.attempt);
}

model::event EndpointEvent(const performer_tools& tools,
                           const model::call_endpoint& effect,
                           const http_outcome& outcome) {
  const auto* response = std::get_if<http_response>(&outcome);
  if (response == nullptr) {
    return model::endpoint_unanswered{
        .at = tools.clock(),
        .call = effect.call,
        .attempt = effect.attempt,
        .sent = std::get<http_failure>(outcome).sent};
  }
  const std::string repeated = HeaderOf(*response, kAttemptHeader);
  const bool crossed =
      !repeated.empty() && repeated != AttemptName(tools, effect);
  if (crossed) {
    return model::endpoint_unanswered{
        .at = tools.clock(), .call = effect.call, .attempt = effect.attempt};
  }
  return model::endpoint_answered{
      .at = tools.clock(),
      .call = effect.call,
      .attempt = effect.attempt,
      .status = response->status,
      .leaving = !HeaderOf(*response, kLeavingHeader).empty(),
      .body = response->body};
}

}  // namespace

void Perform(const performer_tools& tools, const model::append_batch& effect) {
  const std::uint64_t sequence = effect.content.sequence;
  http_request request{.method = "POST",
                       .url = Url(tools.settings.log_address, "/append"),
                       .headers = {"Content-Type: application/octet-stream"},
                       .body = wire::EncodeBatch(effect.content),
                       .timeout = effect.timeout};
  tools.client.Send(std::move(request), [&tools, sequence](
                                            const http_outcome& outcome) {
    std::optional<wire::log_position> position;
    if (const std::string* body = BodyOf(outcome)) {
      auto decoded =
          wire::ValueOf([&] { return wire::DecodeLogPosition(*body); });
      if (decoded)
        position.emplace(*decoded);
    }
    if (!position) {
      tools.post(
          model::append_unanswered{.at = tools.clock(), .sequence = sequence});
      return;
    }
    tools.post(model::append_answered{
        .at = tools.clock(), .sequence = sequence, .offset = position->offset});
  });
}

void Perform(const performer_tools& tools, const model::read_log& effect) {
  const std::string path = "/read?from=" + std::to_string(effect.from) +
                           "&wait_ms=" + std::to_string(effect.wait.count());
  http_request request{.method = "GET",
                       .url = Url(tools.settings.log_address, path),
                       .timeout = effect.timeout};
  tools.client.Send(std::move(request), [&tools](const http_outcome& outcome) {
    const std::optional<wire::log_page> page = PageOf(outcome);
    if (!page) {
      tools.post(model::log_unread{.at = tools.clock()});
      return;
    }
    tools.post(model::log_read{.at = tools.clock(),
                               .first_offset = page->first_offset,
                               .end_offset = page->end_offset,
                               .batches = BatchesOf(*page)});
  });
}

void Perform(const performer_tools& tools, const model::read_vm_list& effect) {
  http_request request{.method = "GET",
                       .url = Url(tools.settings.vm_list_address, "/vms"),
                       .timeout = effect.timeout};
  tools.client.Send(std::move(request), [&tools](const http_outcome& outcome) {
    const std::string* body = BodyOf(outcome);
    if (body != nullptr) {
      auto vms = wire::ValueOf([&] { return wire::DecodeVmList(*body); });
      if (vms) {
        tools.post(
            model::vm_list_read{.at = tools.clock(), .vms = std::move(*vms)});
        return;
      }
    }
    tools.post(model::vm_list_unread{.at = tools.clock()});
  });
}

void Perform(const performer_tools& tools, const model::send_to_peer& effect) {
  for (const settings::peer_address& peer : tools.settings.peers) {
    if (peer.entry == effect.to)
      tools.peers.Send(peer.address, wire::EncodePeerMessage(effect.message));
  }
}

void Perform(const performer_tools& tools, const model::call_worker& effect) {
  http_request request{.method = "POST",
                       .url = Url(effect.address, "/sync"),
                       .headers = {"Content-Type: application/json"},
                       .body = wire::EncodeSync(effect.sync),
                       .timeout = effect.timeout};
  const model::worker_id worker = effect.worker;
  const std::uint64_t call = effect.call;
  tools.client.Send(std::move(request), [&tools, worker,
                                         call](const http_outcome& outcome) {
    const std::string* body = BodyOf(outcome);
    if (body != nullptr) {
      auto report = wire::ValueOf([&] { return wire::DecodeReport(*body); });
      if (report) {
        tools.post(model::worker_answered{.at = tools.clock(),
                                          .worker = worker,
                                          .call = call,
                                          .report = std::move(*report)});
        return;
      }
    }
    tools.post(model::worker_unanswered{
        .at = tools.clock(), .worker = worker, .call = call});
  });
}

void Perform(const performer_tools& tools, const model::call_endpoint& effect) {
  std::vector<std::string> headers{
      "Content-Type: application/octet-stream",
      std::string(kAttemptHeader) + ": " + AttemptName(tools, effect)};
  if (!effect.key.empty())
    headers.push_back("Idempotency-Key: " + effect.key.value());
  http_request request{
      .method = "POST",
      .url = Url(effect.address, "/services/" + effect.target.value()),
      .headers = std::move(headers),
      .body = effect.body,
      .timeout = effect.timeout,
      .dedicated_connection = !effect.key.empty()};
  tools.client.Send(std::move(request),
                    [&tools, effect](const http_outcome& outcome) {
                      tools.post(EndpointEvent(tools, effect, outcome));
                    });
}

}  // namespace parsleyhitch::runtime
