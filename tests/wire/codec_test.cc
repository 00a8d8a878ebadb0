// Tests of the codecs with valid, truncated, corrupt and random input.

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

#include "wire/json_codec.h"
#include "wire/log_codec.h"
#include "wire/peer_codec.h"
#include "wire/proto_codec.h"
#include "wire/proto_schema.h"
#include "wire/trace_codec.h"
#include "wire/worker_codec.h"

namespace model = parsleyhitch::model;
namespace wire = parsleyhitch::wire;

namespace {

struct codec_fixture {
  const model::batch batch{
      .by = model::entry_id("e"),
      .incarnation = 3,
      .sequence = 9,
      .at = model::timestamp(model::duration(-5)),
      .records = {
          model::job_submitted{
              .job = model::job_id("j"),
              .spec = {.owner = model::workspace_id("w"),
                       .kind = "k",
                       .capacity = {.gang_size = 2,
                                    .accelerators = 4,
                                    .nearness = model::adjacency::kRack},
                       .declared_run_time = model::duration(100),
                       .priority = -3,
                       .preemptible = true}},
          model::request_finished{
              .owner = model::workspace_id("w"),
              .key = model::idempotency_key("k"),
              .by = model::entry_id("e"),
              .result = {.status = 200, .body = "\xff\x00\x01"}},
          model::checkpoint_chunk{
              .by = model::entry_id("e"),
              .count = 1,
              .parts = {model::saved_guarantee{
                  .id = {.owner = model::workspace_id("w"), .name = "g"},
                  .status = {.claimed_by = model::job_id("j")}}}}}};
};

template <typename T>
bool IsError(wire::result<T> decoded) {
  return !decoded;
}

}  // namespace

Test(proto_codec, encoded_and_decoded_batch_is_equal) {
  const codec_fixture fixture;
  const auto logged = wire::DecodeBatch(4, wire::EncodeBatch(fixture.batch));
  cr_assert(logged.content == fixture.batch);
}

Test(proto_codec, truncated_batch_is_not_decoded_as_the_original) {
  const codec_fixture fixture;
  const std::string bytes = wire::EncodeBatch(fixture.batch);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const auto logged =
        wire::DecodeBatch(0, std::string_view(bytes).substr(0, size));
    cr_assert_not(logged.content == fixture.batch);
  }
}

Test(proto_codec, corrupt_bytes_give_a_value_or_an_error) {
  cr_assert(rc::check("corrupt bytes", [] {
    const codec_fixture fixture;
    std::string bytes = wire::EncodeBatch(fixture.batch);
    const auto corruption =
        *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()),
                          rc::gen::arbitrary<char>()));
    for (const auto& [at, value] : corruption)
      bytes[at] = value;
    (void)wire::DecodeBatch(0, bytes);
    (void)IsError(wire::DecodePeerMessage(bytes));
  }));
}

Test(proto_codec, random_bytes_give_a_value_or_an_error) {
  cr_assert(rc::check("random bytes", [](const std::string& bytes) {
    (void)wire::DecodeBatch(0, bytes);
    (void)IsError(wire::DecodePeerMessage(bytes));
  }));
}

Test(proto_codec, schema_file_matches_the_codec) {
  std::ifstream file(std::string(PARSLEYHITCH_SOURCE_DIR) +
                     "/proto/parsleyhitch.proto");
  std::stringstream text;
  text << file.rdbuf();
  cr_assert(text.str() == wire::ProtoSchema(),
            "run: parsleyhitch schema > proto/parsleyhitch.proto");
}

Test(json_codec, encoded_and_decoded_step_with_non_utf8_bytes_is_equal) {
  const codec_fixture fixture;
  const wire::recorded_step step{
      .event =
          model::log_read{.batches = {{.offset = 2, .content = fixture.batch}}},
      .effects = {model::append_batch{.content = fixture.batch},
                  model::stop_process{}}};
  const auto decoded = wire::ValueOf(
      [&] { return wire::DecodeRecordedStep(wire::EncodeRecordedStep(step)); });
  cr_assert(decoded.has_value());
  cr_assert(*decoded == step);
}

Test(json_codec, every_error_in_a_job_is_reported) {
  const std::string text =
      R"({"owner":1,"capacity":{"gang_size":-1,"nearness":"moon"},"priority":99999999999,"extra":0})";
  const auto findings =
      wire::Handle([&] { return wire::FromJson<model::job_spec>(text); },
                   [](const model::job_spec&) { return model::findings(); },
                   [](const model::findings& found) { return found; });
  cr_assert_eq(findings.size(), 5);
}

Test(json_codec, random_text_gives_a_value_or_an_error) {
  cr_assert(rc::check("random text", [](const std::string& text) {
    (void)IsError(wire::DecodeSync(text));
    (void)IsError(wire::DecodeReport(text));
    (void)IsError(wire::DecodeVmList(text));
    (void)IsError(wire::DecodeLogPage(text));
    (void)IsError(wire::DecodeRecordedStep(text));
  }));
}
