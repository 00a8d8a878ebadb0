// Tests of the encoding and decoding of the dispatcher's records and messages.

#include "wire/work_codec.h"

#include <criterion/criterion.h>

#include "wire/proto_codec.h"
#include "wire/work_describe.h"

namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

// The progress of a unit in versions without `failed_attempts`.
struct older_unit_progress {
  const std::uint32_t occurrence = 0;
  const std::uint32_t step = 0;
  const std::uint32_t index = 0;
  const bool done = false;
  const std::uint32_t failures = 0;
  const std::uint64_t attempt = 0;
  const bool attempt_failed = false;
  const std::string checkpoint;
  const std::vector<work::worker_id> workers{};
  const std::uint32_t losses = 0;
  const std::uint32_t later_losses = 0;
};

PARSLEYHITCH_DESCRIBE(older_unit_progress,
                      occurrence,
                      step,
                      index,
                      done,
                      failures,
                      attempt,
                      attempt_failed,
                      checkpoint,
                      workers,
                      losses,
                      later_losses)

// A step in versions without `image`.
struct older_step {
  const std::uint32_t tasks = 0;
  const work::resources need;
  const work::duration estimate{0};
  const std::vector<std::uint32_t> after{};
  const bool gang = false;
  const bool same_rack = false;
  const bool checkpointed = false;
  const bool duplicates_allowed = false;
  const bool endless = false;
  const bool fills_idle = false;
  const std::string required_label;
  const work::rack_id data_rack;
  const std::uint32_t max_per_worker = 0;
  const std::uint32_t may_be_away = 0;
};

PARSLEYHITCH_DESCRIBE(older_step,
                      tasks,
                      need,
                      estimate,
                      after,
                      gang,
                      same_rack,
                      checkpointed,
                      duplicates_allowed,
                      endless,
                      fills_idle,
                      required_label,
                      data_rack,
                      max_per_worker,
                      may_be_away)

struct codec_fixture {
  static work::record RoundTrip(const work::record& record) {
    return wire::DecodeRecord(wire::EncodeRecord(record)).value();
  }

  static work::peer_message RoundTrip(const work::peer_message& message) {
    return wire::DecodeMessage(wire::EncodeMessage(message)).value();
  }
};

const work::job_request kRequest{
    .spec = "text",
    .steps = {{.tasks = 4,
               .need = {.cpu_millis = 500, .accelerators = 2},
               .estimate = work::duration(900),
               .gang = true,
               .data_rack = work::rack_id("r1"),
               .image = "encode"},
              {.tasks = 1, .after = {0}}}};

}  // namespace

Test(work_record, encoded_and_decoded_is_equal) {
  const work::record submitted =
      work::job_submitted{.content = {.job = work::job_id("a1"),
                                      .queue = work::queue_id("q"),
                                      .priority = 2,
                                      .request = kRequest}};
  const work::record progressed = work::job_progressed{
      .job = work::job_id("a1"), .phase = work::job_phase::kRunning};
  const work::record unit = work::unit_progressed{
      .job = work::job_id("a1"),
      .progress = {.step = 1,
                   .index = 3,
                   .failures = 1,
                   .attempt = 1002,
                   .attempt_failed = true,
                   .checkpoint = "00ff",
                   .workers = {work::worker_id("w")},
                   .failed_attempts = {1002},
                   .lost_attempts = {{.attempt = 1001,
                                      .worker = work::worker_id("w"),
                                      .life = 7,
                                      .at_start = true}}}};
  const work::record worker =
      work::worker_admitted{.worker = work::worker_id("w")};
  const work::record deleted = work::job_deleted{
      .job = work::job_id("a1"), .part = work::job_part::kPhase};
  cr_assert(codec_fixture::RoundTrip(deleted) == deleted);
  cr_assert(codec_fixture::RoundTrip(worker) == worker);
  cr_assert(codec_fixture::RoundTrip(submitted) == submitted);
  cr_assert(codec_fixture::RoundTrip(progressed) == progressed);
  cr_assert(codec_fixture::RoundTrip(unit) == unit);
}

Test(work_message, encoded_and_decoded_is_equal) {
  const work::peer_message relayed{
      .from = work::entry_id("entry-1"),
      .content =
          work::call_relayed{.call = 9,
                             .address = "10.0.0.1:7000",
                             .content = {.verb = work::call_verb::kSubmit,
                                         .path = "/q/a1",
                                         .key = "k",
                                         .request = kRequest}}};
  cr_assert(codec_fixture::RoundTrip(relayed) == relayed);
}

Test(work_record, truncated_is_an_error) {
  const std::string bytes =
      wire::EncodeRecord(work::job_cancelled{.job = work::job_id("a1")});
  const auto decoded = wire::ValueOf(
      [&] { return wire::DecodeRecord(bytes.substr(0, bytes.size() - 1)); });
  cr_assert_not(decoded.has_value());
}

// Guards against a call that is routed again by a receiver with an older
// catalog.
Test(work_message, relayed_with_its_route_is_decoded_with_it) {
  const work::peer_message relayed{
      .from = work::entry_id("entry-1"),
      .content = work::call_relayed{
          .call = 9,
          .content = {.path = "/q/a1"},
          .route = work::call_route{
              .destination = {.id = work::queue_id("q"),
                              .path_prefix = "/q/",
                              .max_attempts = 3,
                              .target_latency = work::duration(1000),
                              .allows_anonymous = true},
              .owner = work::workspace_id("team")}}};
  cr_assert(codec_fixture::RoundTrip(relayed) == relayed);
}

// Guards against entries that refuse jobs by waits that arrive altered.
Test(work_message, with_expected_waits_is_decoded_with_them) {
  const work::peer_message message{
      .from = work::entry_id("a"),
      .content = work::leader_heartbeat{
          .epoch = 3,
          .waits = {{.service = work::service_id("pool"),
                     .owner = work::workspace_id("team"),
                     .priority = 2,
                     .wait = work::duration(12000),
                     .free = {.cpu_millis = 500},
                     .largest_free = {.cpu_millis = 300}}}}};
  cr_assert(codec_fixture::RoundTrip(message) == message);
}

// Guards against a release in which entries of the older version can't read
// units, or count other failures.
Test(unit_progress, read_by_an_older_version_has_the_number_of_failures) {
  const work::unit_progress stored{.failures = 2,
                                   .attempt = 1002,
                                   .attempt_failed = true,
                                   .later_losses = 1,
                                   .failed_attempts = {1, 1002}};
  const auto read =
      wire::FromProto<older_unit_progress>(wire::ToProto(stored)).value();
  cr_assert_eq(read.failures, 2U);
  cr_assert_eq(read.attempt, 1002U);
  cr_assert(read.attempt_failed);
  cr_assert_eq(read.later_losses, 1U);
}

// Guards against a release in which units of the older version are lost.
Test(unit_progress, of_an_older_version_is_read_without_failed_attempts) {
  const older_unit_progress stored{
      .failures = 2, .attempt = 1002, .attempt_failed = true, .losses = 1};
  const auto read =
      wire::FromProto<work::unit_progress>(wire::ToProto(stored)).value();
  const work::unit_progress expected{
      .failures = 2, .attempt = 1002, .attempt_failed = true, .losses = 1};
  cr_assert(read == expected);
}

// Guards against a release in which entries of the older version can't read
// jobs, or jobs of the older version are lost.
Test(step_spec, is_read_by_and_from_an_older_version_without_its_image) {
  const work::step_spec named{.tasks = 4, .may_be_away = 2, .image = "encode"};
  const auto older = wire::FromProto<older_step>(wire::ToProto(named)).value();
  cr_assert_eq(older.tasks, 4U);
  cr_assert_eq(older.may_be_away, 2U);
  const auto newer =
      wire::FromProto<work::step_spec>(wire::ToProto(older)).value();
  const work::step_spec expected{.tasks = 4, .may_be_away = 2};
  cr_assert(newer == expected);
}
