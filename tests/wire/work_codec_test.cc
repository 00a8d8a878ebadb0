// Tests of the encoding and decoding of the dispatcher's records and messages.

#include "wire/work_codec.h"

#include <criterion/criterion.h>

namespace wire = parsleyhitch::wire;
namespace work = parsleyhitch::work;

namespace {

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
               .data_rack = work::rack_id("r1")},
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
  const work::record unit =
      work::unit_progressed{.job = work::job_id("a1"),
                            .progress = {.step = 1,
                                         .index = 3,
                                         .failures = 1,
                                         .attempt = 1002,
                                         .attempt_failed = true,
                                         .checkpoint = "00ff",
                                         .workers = {work::worker_id("w")}}};
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
