// Every message that comes from outside is decoded without a crash, however
// malformed it is: valid messages are cut, extended and changed byte by byte.

#include <criterion/criterion.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform/catalog_codec.h"
#include "platform/client_codec.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"
#include "wire/base.h"
#include "wire/work_codec.h"

namespace platform = parsleyhitch::platform;
namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kCases = 4000;

struct malformed_fixture {
  std::mt19937_64 random{kSeed};

  std::string Mutate(std::string text) {
    const std::uint64_t changes = 1 + random() % 6;
    for (std::uint64_t i = 0; i < changes; ++i)
      Change(text);
    return text;
  }

  // Changes one byte, cuts the text, or repeats a part of it.
  void Change(std::string& text) {
    if (text.empty()) {
      text.push_back(static_cast<char>(random()));
      return;
    }
    const std::size_t at = random() % text.size();
    switch (random() % 5) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.resize(at);
        break;
      case 2:
        text.insert(at, text.substr(random() % text.size()));
        break;
      case 3:
        text.replace(at, 1, "-99999999999999999999e99");
        break;
      default:
        text.replace(at, 1, "[{\"");
        break;
    }
  }

  void ExpectDecoded(const std::vector<std::string>& valid,
                     const std::function<void(const std::string&)>& decode) {
    for (int i = 0; i < kCases; ++i) {
      const std::string text = Mutate(valid[random() % valid.size()]);
      cr_assert_none_throw(decode(text));
    }
  }
};

const std::vector<std::string> kWorkerReports{
    R"({"service":"pool","address":"10.0.0.1:80","zone":"a","version":"1",
"slots":8,"state":"draining","remainingMs":2000,"born":17,"sequence":4,
"capacity":{"cpu":128000,"memMb":4096,"gpu":8},"labels":["a","r1-1"]})",
    R"({"clockMs":7,"born":17,
"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,12]],
"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"};

const std::vector<std::string> kJobs{
    R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":2,
"estimateMs":900,"affinity":"r1-3","gang":true},{"count":20,"cpu":2000,
"dependsOn":[0],"checkpointable":true}],"repeatCount":2,"startMs":5,
"intervalMs":7})"};

const std::vector<std::string> kCatalogs{
    R"({"version":4,"routes":[{"host":"a.example","pathPrefix":"/x/",
"service":"pool","priority":1,"maxAttempts":3,"stretch":1.5,
"targetLatencyMs":250}],"services":[{"name":"pool"}],"limits":{},
"tenants":[{"name":"t","apiKeys":["k"],"guaranteed":8}]})"};

}  // namespace

Test(malformed, worker_reports_are_refused_without_a_crash) {
  malformed_fixture fixture;
  fixture.ExpectDecoded(kWorkerReports, [](const std::string& text) {
    wire::ValueOf([&] { return platform::DecodeWorker("i-1", text); });
    wire::ValueOf([&] { return platform::DecodeHoldResponse(text); });
    platform::DecodeWorkerClock(text);
    platform::ParseTaskName(text);
  });
}

Test(malformed, jobs_of_callers_are_refused_without_a_crash) {
  malformed_fixture fixture;
  fixture.ExpectDecoded(kJobs, [](const std::string& text) {
    platform::DecodeCall({.method = "POST",
                          .path = "/x/5c0e7a21d94b36f8",
                          .headers = {{"host", "a.example"},
                                      {"x-deadline", text},
                                      {"x-api-key", "k"}},
                          .body = text});
  });
}

Test(malformed, configurations_are_refused_without_a_crash) {
  malformed_fixture fixture;
  fixture.ExpectDecoded(kCatalogs, [](const std::string& text) {
    wire::ValueOf([&] { return platform::DecodeCatalog(text); });
  });
}

Test(malformed, pages_of_the_store_are_refused_without_a_crash) {
  malformed_fixture fixture;
  const std::string page =
      std::string(15, '\0') + "\x02" +
      platform::EncodeKeyedRecord("config", kCatalogs.front());
  const std::vector<std::string> pages{
      page, R"({"items":[{"key":"a","value":"AAEC","offset":3}],
"hasMore":true,"end":9,"reason":"fenced"})"};
  fixture.ExpectDecoded(pages, [](const std::string& text) {
    wire::ValueOf([&] { return platform::DecodeLogPage(text, 1); });
    wire::ValueOf([&] { return platform::DecodeNewestPage(text); });
    wire::ValueOf([&] { return platform::DecodeEndOffset(text); });
    platform::DecodeErrorReason(text);
  });
}

Test(malformed, records_and_messages_of_peers_are_refused_without_a_crash) {
  malformed_fixture fixture;
  const std::vector<std::string> encoded{
      wire::EncodeRecord(work::unit_progressed{
          .job = work::job_id("a1"), .progress = {.index = 3, .attempt = 4}}),
      wire::EncodeMessage({.from = work::entry_id("b"),
                           .content = work::leader_heartbeat{
                               .epoch = 3, .address = "10.0.0.2:7"}})};
  fixture.ExpectDecoded(encoded, [](const std::string& text) {
    wire::ValueOf([&] { return wire::DecodeRecord(text); });
    wire::ValueOf([&] { return wire::DecodeMessage(text); });
  });
}
