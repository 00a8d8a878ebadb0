// An odd entry among those of the workers costs only itself.

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/store_calls.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"
#include "wire/base.h"

namespace platform = parsleyhitch::platform;
namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

constexpr char kSound[] =
    R"({"service":"pool","address":"10.0.0.1:80","state":"ready","born":17,
"labels":["a","r1-1"],"capacity":{"cpu":128000,"memMb":4096,"gpu":8}})";
// The same in base64, as in a page of the newest items.
constexpr char kSoundBase64[] =
    "eyJzZXJ2aWNlIjoicG9vbCIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInN0YXRlIjoicmVh"
    "ZHkiLCJib3JuIjoxN30=";

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Entries that name no worker to use.
const std::vector<std::string> kOddEntries{
    "",
    "\x80\xff",
    Nested(100000),
    R"({"service":)" + Nested(100000) + "}",
    R"({"service":"pool","state":"ready","address":"10.0.0.1:99999"})",
    R"({"service":"pool","state":"ready","address":"10.0.0.1:0"})",
    R"({"service":"pool","state":"ready","address":"10.0.0.1:80/a?b#"})",
    R"({"service":"pool","state":"ready","address":"host name:80"})",
    R"({"service":"pool","state":"ready","address":"10.0.0.1:80","born":1e300})",
    R"({"service":"pool","state":"ready","address":"10.0.0.1:80",
"capacity":{"cpu":99999999999999999999}})",
    R"({"service":"pool","state":"draining","address":"10.0.0.1:80",
"remainingMs":1e30})",
    R"({"service":7,"state":[],"address":{}})"};

struct registry_fixture {
  // The workers in a page of the log that holds the entry and a sound one.
  static std::vector<std::string> WorkersOfPage(const std::string& entry) {
    const std::string header(16, '\0');
    const std::string body = header +
                             platform::EncodeKeyedRecord("odd", entry) +
                             platform::EncodeKeyedRecord("sound", kSound);
    const platform::decoded_event decoded = platform::DecodeOutcome(
        work::read_feed{.source = work::feed::kWorkers},
        wire::http_response{.status = 200, .body = body}, work::timestamp());
    const auto* read = std::get_if<work::feed_read>(&decoded.event);
    cr_assert_not_null(read);
    return Workers(read->items);
  }

  // The workers in a page of the newest items that holds the item and a sound
  // one.
  static std::vector<std::string> WorkersOfNewest(const nlohmann::json& item) {
    const nlohmann::json page{
        {"items",
         {item, {{"key", "sound"}, {"value", kSoundBase64}, {"offset", 2}}}},
        {"hasMore", false},
        {"end", 3}};
    const platform::decoded_event decoded = platform::DecodeOutcome(
        work::read_newest{.source = work::feed::kWorkers},
        wire::http_response{.status = 200, .body = page.dump()},
        work::timestamp());
    const auto* read = std::get_if<work::newest_read>(&decoded.event);
    cr_assert_not_null(read);
    return Workers(read->items);
  }

 private:
  static std::vector<std::string> Workers(
      const std::vector<work::feed_item>& items) {
    std::vector<std::string> found;
    for (const work::feed_item& each : items) {
      if (each.value)
        found.push_back(
            std::get<work::registered_worker>(*each.value).worker.value());
    }
    return found;
  }
};

const std::vector<std::string> kOnlyTheSoundOne{"sound"};

}  // namespace

// Guards against an entry of another writer that ends the processes which read
// it, or that is taken for a worker.
Test(registry_page, with_an_odd_entry_holds_the_other_workers) {
  for (const std::string& entry : kOddEntries) {
    cr_assert(registry_fixture::WorkersOfPage(entry) == kOnlyTheSoundOne, "%s",
              entry.substr(0, 100).c_str());
  }
}

// Guards against a list of the workers that is read again and again and never
// followed, as one of its items can't be read.
Test(newest_workers, with_an_unreadable_item_hold_the_other_workers) {
  const std::vector<nlohmann::json> odd_items{
      {{"key", "odd"}, {"value", "%%%"}, {"offset", 1}},
      {{"key", 7}, {"value", ""}, {"offset", 1}},
      {{"key", "odd"}, {"value", nlohmann::json::array()}, {"offset", 1}},
      {{"key", "odd"}, {"value", "W1tb"}, {"offset", -1}},
      nlohmann::json::array()};
  for (const nlohmann::json& item : odd_items) {
    cr_assert(registry_fixture::WorkersOfNewest(item) == kOnlyTheSoundOne, "%s",
              item.dump().c_str());
  }
}

Test(newest_workers, without_any_readable_item_and_more_to_come_are_unread) {
  const platform::decoded_event decoded = platform::DecodeOutcome(
      work::read_newest{.source = work::feed::kWorkers},
      wire::http_response{
          .status = 200,
          .body = R"({"items":[{"key":7}],"hasMore":true,"end":3})"},
      work::timestamp());
  cr_assert(std::holds_alternative<work::feed_unread>(decoded.event));
}

// Guards against numbers in a worker's listing that no integer holds.
Test(listing, with_numbers_too_large_is_decoded) {
  const auto decoded = wire::ValueOf([] {
    return platform::DecodeHoldResponse(
        R"({"clockMs":7,"born":17,"running":[["a.0.0.0",1e300,"",1e300]],
"finished":[[1e300,"a.0.0.1",1,"done",""]]})");
  });
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->listing.running.front().attempt, 0U);
}
