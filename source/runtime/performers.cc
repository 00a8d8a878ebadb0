// Translates effects into HTTP calls and ZeroMQ messages, and their outcomes
// into events.

#include "runtime/performers.h"

#include <optional>
#include <utility>

#include "wire/log_codec.h"
#include "wire/peer_codec.h"
#include "wire/worker_codec.h"

namespace parsleyhitch::runtime {

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr char kAttemptHeader[] = "parsleyhitch-attempt";
constexpr char kLeavingHeader[] = "parsleyhitch-leaving";

std::string Url(const std::string& address, const std::string& path) {
  return "http://" + address + path;
}

// Returns the body of a response with status 200; null for any other outcome.
const std::string* SuccessBody(const http_outcome& outcome) {
  const auto* response = std::get_if<http_response>(&outcome);
  return response != nullptr && response->status == kStatusOk ? &response->body
                                                              : nullptr;
}

std::optional<wire::log_page> DecodePage(const http_outcome& outcome) {
  const std::string* body = SuccessBody(outcome);
  if (body == nullptr)
    return {};
  return wire::ValueOf([&] { return wire::DecodeLogPage(*body); });
}

std::vector<model::logged_batch> DecodeBatches(const wire::log_page& page) {
  std::vector<model::logged_batch> batches;
  std::uint64_t offset = page.from;
  for (const std::string& bytes : page.records)
    batches.push_back(wire::DecodeBatch(offset++, bytes));
  return batches;
}

std::string FindHeader(const http_response& response, const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

// Identifies one attempt. An endpoint that echoes it lets the caller detect a
// response that belongs to another attempt.
std::string AttemptId(const effect_context& context,
                      const model::call_endpoint& effect) {
  return context.settings.entry.value() + "-" +
         std::to_string(context.incarnation) + "-" +
         std::to_string(effect.call) + "-" + std::to_string(effect.attempt);
}

model::event EndpointEvent(const effect_context& context,
                           const model::call_endpoint& effect,
                           const http_outcome& outcome) {
  const auto* response = std::get_if<http_response>(&outcome);
  if (response == nullptr) {
    return model::endpoint_unanswered{
        .at = context.clock(),
        .call = effect.call,
        .attempt = effect.attempt,
        .sent = std::get<http_failure>(outcome).sent};
  }
  const std::string echoed_attempt = FindHeader(*response, kAttemptHeader);
  const bool mismatched =
      !echoed_attempt.empty() && echoed_attempt != AttemptId(context, effect);
  if (mismatched) {
    return model::endpoint_unanswered{
        .at = context.clock(), .call = effect.call, .attempt = effect.attempt};
  }
  return model::endpoint_answered{
      .at = context.clock(),
      .call = effect.call,
      .attempt = effect.attempt,
      .status = response->status,
      .leaving = !FindHeader(*response, kLeavingHeader).empty(),
      .body = response->body};
}

}  // namespace

void Perform(const effect_context& context, const model::append_batch& effect) {
  const std::uint64_t sequence = effect.content.sequence;
  http_request request{.method = "POST",
                       .url = Url(context.settings.log_address, "/append"),
                       .headers = {"Content-Type: application/octet-stream"},
                       .body = wire::EncodeBatch(effect.content),
                       .timeout = effect.timeout};
  context.client.Send(
      std::move(request), [&context, sequence](const http_outcome& outcome) {
        std::optional<wire::log_position> position;
        if (const std::string* body = SuccessBody(outcome)) {
          auto decoded =
              wire::ValueOf([&] { return wire::DecodeLogPosition(*body); });
          if (decoded)
            position.emplace(*decoded);
        }
        if (!position) {
          context.post(model::append_unanswered{.at = context.clock(),
                                                .sequence = sequence});
          return;
        }
        context.post(model::append_answered{.at = context.clock(),
                                            .sequence = sequence,
                                            .offset = position->offset});
      });
}

void Perform(const effect_context& context, const model::read_log& effect) {
  const std::string path = "/read?from=" + std::to_string(effect.from) +
                           "&wait_ms=" + std::to_string(effect.wait.count());
  http_request request{.method = "GET",
                       .url = Url(context.settings.log_address, path),
                       .timeout = effect.timeout};
  context.client.Send(
      std::move(request), [&context](const http_outcome& outcome) {
        const std::optional<wire::log_page> page = DecodePage(outcome);
        if (!page) {
          context.post(model::log_unread{.at = context.clock()});
          return;
        }
        context.post(model::log_read{.at = context.clock(),
                                     .first_offset = page->first_offset,
                                     .end_offset = page->end_offset,
                                     .batches = DecodeBatches(*page)});
      });
}

void Perform(const effect_context& context, const model::read_vm_list& effect) {
  http_request request{.method = "GET",
                       .url = Url(context.settings.vm_list_address, "/vms"),
                       .timeout = effect.timeout};
  context.client.Send(
      std::move(request), [&context](const http_outcome& outcome) {
        const std::string* body = SuccessBody(outcome);
        if (body != nullptr) {
          auto vms = wire::ValueOf([&] { return wire::DecodeVmList(*body); });
          if (vms) {
            context.post(model::vm_list_read{.at = context.clock(),
                                             .vms = std::move(*vms)});
            return;
          }
        }
        context.post(model::vm_list_unread{.at = context.clock()});
      });
}

void Perform(const effect_context& context, const model::send_to_peer& effect) {
  for (const settings::peer_address& peer : context.settings.peers) {
    if (peer.entry == effect.to)
      context.peers.Send(peer.address, wire::EncodePeerMessage(effect.message));
  }
}

void Perform(const effect_context& context, const model::call_worker& effect) {
  http_request request{.method = "POST",
                       .url = Url(effect.address, "/sync"),
                       .headers = {"Content-Type: application/json"},
                       .body = wire::EncodeSync(effect.sync),
                       .timeout = effect.timeout};
  const model::worker_id worker = effect.worker;
  const std::uint64_t call = effect.call;
  context.client.Send(std::move(request), [&context, worker,
                                           call](const http_outcome& outcome) {
    const std::string* body = SuccessBody(outcome);
    if (body != nullptr) {
      auto report = wire::ValueOf([&] { return wire::DecodeReport(*body); });
      if (report) {
        context.post(model::worker_answered{.at = context.clock(),
                                            .worker = worker,
                                            .call = call,
                                            .report = std::move(*report)});
        return;
      }
    }
    context.post(model::worker_unanswered{
        .at = context.clock(), .worker = worker, .call = call});
  });
}

void Perform(const effect_context& context,
             const model::call_endpoint& effect) {
  std::vector<std::string> headers{
      "Content-Type: application/octet-stream",
      std::string(kAttemptHeader) + ": " + AttemptId(context, effect)};
  if (!effect.key.empty())
    headers.push_back("Idempotency-Key: " + effect.key.value());
  http_request request{
      .method = "POST",
      .url = Url(effect.address, "/services/" + effect.target.value()),
      .headers = std::move(headers),
      .body = effect.body,
      .timeout = effect.timeout,
      .dedicated_connection = !effect.key.empty()};
  context.client.Send(std::move(request),
                      [&context, effect](const http_outcome& outcome) {
                        context.post(EndpointEvent(context, effect, outcome));
                      });
}

}  // namespace parsleyhitch::runtime
