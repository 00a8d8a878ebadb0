// Limits of clients that operators publish while an entry runs.

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "support/platform_site.h"

using parsleyhitch::test::platform_site;
using parsleyhitch::test::site_reply;

namespace {

constexpr char kJob[] = "00000000000000a1";

struct limits_fixture {
  platform_site site{{.entries = 1, .workers = 2}};

  // A request that is invalid, so that it may be sent again.
  std::uint32_t StatusOfBody(std::size_t bytes) const {
    return site.Post(0, kJob, std::string(bytes, ' ')).status;
  }

  void AwaitStatus(std::size_t bytes, std::uint32_t status) {
    site.Await("a body of " + std::to_string(bytes) +
                   " bytes to be answered with " + std::to_string(status),
               [&] { return StatusOfBody(bytes) == status; });
  }
};

}  // namespace

// Guards against limits that hold until the next start, and against a default
// that refuses what operators allow.
Test(client_limits, published_while_an_entry_runs_are_in_force) {
  limits_fixture fixture;
  cr_expect_eq(fixture.StatusOfBody(20000), 400);
  cr_expect_eq(fixture.StatusOfBody(400000), 413);
  fixture.site.Publish(2, "normal", R"({"maxBodyBytes":10000})");
  fixture.AwaitStatus(20000, 413);
  fixture.site.Publish(3, "normal", R"({"maxBodyBytes":1000000})");
  fixture.AwaitStatus(400000, 400);
  fixture.site.Publish(4, "normal");
  fixture.AwaitStatus(400000, 413);
  cr_expect_gt(
      fixture.site.MetricOf(0, "requests_refused_body_too_large_total"), 0);
}

// Guards against refusals that leave open whether the request has run.
Test(client_limits, exceeded_are_answered_as_not_run) {
  limits_fixture fixture;
  const site_reply reply = fixture.site.Post(0, kJob, std::string(400000, ' '));
  cr_expect_eq(reply.status, 413);
  cr_expect(reply.body.find("not run") != std::string::npos);
}
