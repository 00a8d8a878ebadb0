// Routes are queues, tenants are workspaces.

#include "platform/catalog_codec.h"

#include <utility>
#include <vector>

#include "platform/json_fields.h"

namespace parsleyhitch::platform {

namespace {

constexpr std::uint64_t kWholePermille = 1000;

work::queue DecodeQueue(const json_fields& route) {
  return {
      .id = work::queue_id(route.RequiredText("name")),
      .host = route.Text("host"),
      .path_prefix = route.RequiredText("pathPrefix"),
      .service = work::service_id(route.Text("service")),
      .priority = static_cast<std::uint32_t>(route.Number("priority")),
      .max_attempts =
          static_cast<std::uint32_t>(route.Number("maxAttempts", 1)),
      .stretch_permille =
          static_cast<std::uint32_t>(route.Permille("stretch", kWholePermille)),
      // Not a latency of calls: what is added to the stretched chain of work.
      .target_latency = work::duration(route.Number("targetLatencyMs")),
      .call_timeout = work::duration(route.Number("timeoutMs")),
      .allows_anonymous = route.Flag("anonymous")};
}

work::worker_service DecodeService(const json_fields& service) {
  return {.id = work::service_id(service.RequiredText("name")),
          // True when the workers refuse what does not fit.
          .rejects_overload = service.Flag("rejectsOverload"),
          .spare = service.Flag("spare")};
}

work::workspace DecodeWorkspace(const json_fields& tenant) {
  std::vector<std::string> keys;
  tenant.ForEach("apiKeys", [&](const nlohmann::json& key, const std::string&) {
    if (key.is_string())
      keys.push_back(key.get<std::string>());
  });
  return {.id = work::workspace_id(tenant.RequiredText("name")),
          .keys = std::move(keys),
          .guaranteed_accelerators = static_cast<std::uint32_t>(
              tenant.Object("guaranteed").Number("gpu"))};
}

}  // namespace

wire::result<work::published_catalog> DecodeCatalog(const std::string& text) {
  const nlohmann::json source = ParseJson(text);
  if (source.is_discarded())
    return wire::Malformed("is not valid JSON");
  model::findings faults;
  const json_fields top(source, "", faults);
  std::vector<work::queue> queues;
  top.ForEach("routes",
              [&](const nlohmann::json& each, const std::string& place) {
                queues.push_back(DecodeQueue({each, place, faults}));
              });
  std::vector<work::worker_service> services;
  top.ForEach("services",
              [&](const nlohmann::json& each, const std::string& place) {
                services.push_back(DecodeService({each, place, faults}));
              });
  std::vector<work::workspace> workspaces;
  top.ForEach("tenants",
              [&](const nlohmann::json& each, const std::string& place) {
                workspaces.push_back(DecodeWorkspace({each, place, faults}));
              });
  const std::uint64_t version = top.Number("version");
  if (!faults.empty())
    return boost::leaf::new_error(std::move(faults));
  return work::published_catalog{
      .content = {.version = version,
                  .queues = std::move(queues),
                  .services = std::move(services),
                  .workspaces = std::move(workspaces)},
      .encoded = text};
}

}  // namespace parsleyhitch::platform
