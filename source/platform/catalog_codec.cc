// The platform's "routes" are decoded as queues and its "tenants" as
// workspaces.

#include "platform/catalog_codec.h"

#include <utility>
#include <vector>

#include "platform/json_fields.h"

namespace parsleyhitch::platform {

namespace {

constexpr std::uint64_t kDefaultStretchPermille = 1000;

work::queue DecodeQueue(const json_fields& route) {
  return {
      .id = work::queue_id(route.RequiredString("name")),
      .host = route.String("host"),
      .path_prefix = route.RequiredString("pathPrefix"),
      .service = work::service_id(route.String("service")),
      .priority = static_cast<std::uint32_t>(route.Number("priority")),
      .max_attempts =
          static_cast<std::uint32_t>(route.Number("maxAttempts", 1)),
      .stretch_permille = static_cast<std::uint32_t>(
          route.Permille("stretch", kDefaultStretchPermille)),
      // Added to the stretched critical path of a job; not a latency of calls.
      .target_latency = work::duration(route.Number("targetLatencyMs")),
      .call_timeout = work::duration(route.Number("timeoutMs")),
      .allows_anonymous = route.Boolean("anonymous")};
}

work::worker_service DecodeService(const json_fields& service) {
  return {.id = work::service_id(service.RequiredString("name")),
          // The workers reject tasks that exceed their free capacity.
          .rejects_overload = service.Boolean("rejectsOverload"),
          .spare = service.Boolean("spare")};
}

work::workspace DecodeWorkspace(const json_fields& tenant) {
  std::vector<std::string> keys;
  tenant.ForEach("apiKeys", [&](const nlohmann::json& key, const std::string&) {
    if (key.is_string())
      keys.push_back(key.get<std::string>());
  });
  return {.id = work::workspace_id(tenant.RequiredString("name")),
          .keys = std::move(keys),
          .guaranteed_accelerators = static_cast<std::uint32_t>(
              tenant.Object("guaranteed").Number("gpu"))};
}

work::client_limits DecodeLimits(const json_fields& limits) {
  return {.max_header_bytes = limits.Number("maxHeaderBytes"),
          .max_body_bytes = limits.Number("maxBodyBytes"),
          .header_timeout = work::duration(limits.Number("headerTimeoutMs")),
          .idle_timeout = work::duration(limits.Number("idleTimeoutMs"))};
}

}  // namespace

wire::result<work::published_catalog> DecodeCatalog(const std::string& text) {
  const nlohmann::json source = ParseJson(text);
  if (source.is_discarded())
    return wire::Malformed("is not valid JSON");
  model::findings findings;
  const json_fields root(source, "", findings);
  std::vector<work::queue> queues;
  root.ForEach("routes",
               [&](const nlohmann::json& element, const std::string& place) {
                 queues.push_back(DecodeQueue({element, place, findings}));
               });
  std::vector<work::worker_service> services;
  root.ForEach("services",
               [&](const nlohmann::json& element, const std::string& place) {
                 services.push_back(DecodeService({element, place, findings}));
               });
  std::vector<work::workspace> workspaces;
  root.ForEach(
      "tenants", [&](const nlohmann::json& element, const std::string& place) {
        workspaces.push_back(DecodeWorkspace({element, place, findings}));
      });
  const std::uint64_t version = root.Number("version");
  const work::client_limits limits = DecodeLimits(root.Object("limits"));
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  return work::published_catalog{
      .content = {.version = version,
                  .queues = std::move(queues),
                  .services = std::move(services),
                  .workspaces = std::move(workspaces),
                  .limits = limits},
      .encoded = text};
}

}  // namespace parsleyhitch::platform
