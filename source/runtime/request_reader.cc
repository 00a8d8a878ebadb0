// http_parser stops after a head and after a request, as its callbacks pause
// it.

#include "runtime/request_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <utility>

#include "runtime/segmented_buffer.h"

namespace parsleyhitch::runtime {

namespace detail {

struct reader_state {
  http_parser parser{};
  intake::reading phase = intake::reading::kEmpty;
  std::uint64_t empty_line_bytes = 0;
  std::string head;
  std::uint64_t fields = 0;
  bool chunked = false;
  bool continue_awaited = false;
  // Bytes after the head: the body with its framing.
  std::uint64_t framed_bytes = 0;
  std::uint64_t stated_body_bytes = 0;
  segmented_buffer body;
  // What follows the request.
  std::string rest;
};

namespace {

reader_state& StateOf(http_parser* parser) {
  return *static_cast<reader_state*>(parser->data);
}

int OnField(http_parser* parser, const char*, std::size_t) {
  ++StateOf(parser).fields;
  return 0;
}

int OnHeadersComplete(http_parser* parser) {
  reader_state& state = StateOf(parser);
  state.phase = intake::reading::kBody;
  state.chunked = (parser->flags & F_CHUNKED) != 0;
  constexpr std::uint64_t kNotStated =
      std::numeric_limits<std::uint64_t>::max();
  if (!state.chunked && parser->content_length != kNotStated)
    state.stated_body_bytes = parser->content_length;
  http_parser_pause(parser, 1);
  return 0;
}

int OnBody(http_parser* parser, const char* bytes, std::size_t length) {
  StateOf(parser).body.Append({bytes, length});
  return 0;
}

int OnComplete(http_parser* parser) {
  StateOf(parser).phase = intake::reading::kComplete;
  http_parser_pause(parser, 1);
  return 0;
}

http_parser_settings MakeCallbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_header_field = OnField;
  callbacks.on_headers_complete = OnHeadersComplete;
  callbacks.on_body = OnBody;
  callbacks.on_message_complete = OnComplete;
  // The limit in force is applied to what is reported, also for RESTinio's
  // parsers, which have the library's limit of 80 KB otherwise.
  http_parser_set_max_header_size(std::numeric_limits<std::int32_t>::max());
  return callbacks;
}

void StartRequest(reader_state& state) {
  http_parser_init(&state.parser, HTTP_REQUEST);
  state.parser.data = &state;
  state.phase = intake::reading::kEmpty;
  state.empty_line_bytes = 0;
  state.head = std::string();
  state.fields = 0;
  state.chunked = false;
  state.continue_awaited = false;
  state.framed_bytes = 0;
  state.stated_body_bytes = 0;
  state.body = segmented_buffer();
}

bool IsEqualIgnoringCase(unsigned char left, unsigned char right) {
  return std::tolower(left) == std::tolower(right);
}

// The only expectation that is defined (RFC 9110, 10.1.1).
bool ExpectsContinue(std::string_view head) {
  constexpr std::string_view kField = "\nexpect:";
  constexpr std::string_view kValue = "100-continue";
  const auto* const field =
      std::search(head.begin(), head.end(), kField.begin(), kField.end(),
                  IsEqualIgnoringCase);
  if (field == head.end())
    return false;
  const std::string_view after = head.substr(
      static_cast<std::size_t>(field - head.begin()) + kField.size());
  const std::string_view value =
      after.substr(std::min(after.find_first_not_of(" \t"), after.size()));
  return std::ranges::equal(value.substr(0, kValue.size()), kValue,
                            IsEqualIgnoringCase);
}

// Parses up to the end of the head, of the request or of the bytes. Returns how
// many bytes were parsed.
std::size_t Parse(reader_state& state, std::string_view bytes) {
  static const http_parser_settings callbacks = MakeCallbacks();
  const bool in_head = state.phase == intake::reading::kHead;
  http_parser_pause(&state.parser, 0);
  const std::size_t parsed = http_parser_execute(&state.parser, &callbacks,
                                                 bytes.data(), bytes.size());
  const auto outcome = HTTP_PARSER_ERRNO(&state.parser);
  if (outcome != HPE_OK && outcome != HPE_PAUSED)
    state.phase = intake::reading::kMalformed;
  if (in_head) {
    state.head.append(bytes.substr(0, parsed));
    // The parser pauses before the last byte of a head, and reads it again.
    if (state.phase == intake::reading::kBody) {
      state.head.push_back('\n');
      // HTTP 1.0 has no interim answers.
      state.continue_awaited =
          state.parser.http_minor > 0 && ExpectsContinue(state.head);
    }
  } else {
    state.framed_bytes += parsed;
  }
  return parsed;
}

std::size_t SkipEmptyLines(reader_state& state, std::string_view bytes) {
  const std::size_t start =
      std::min(bytes.find_first_not_of("\r\n"), bytes.size());
  state.empty_line_bytes += start;
  if (start < bytes.size())
    state.phase = intake::reading::kHead;
  return start;
}

// Trailers and extensions of chunks count as part of the head, but not the
// framing of chunks of one byte, "1\r\nb\r\n", with leading zeros.
std::uint64_t HeadBytes(const reader_state& state) {
  constexpr std::uint64_t kFramingPerByte = 16;
  const std::uint64_t framing = state.body.size() * kFramingPerByte;
  return state.empty_line_bytes + state.head.size() + state.framed_bytes -
         std::min(state.framed_bytes, framing);
}

intake::read_progress ProgressOf(const reader_state& state) {
  return {.phase = state.phase,
          .head_bytes = HeadBytes(state),
          .fields = state.fields,
          .body_bytes = std::max<std::uint64_t>(state.stated_body_bytes,
                                                state.body.size()),
          .held_bytes = state.head.capacity() + state.body.HeldBytes() +
                        state.rest.capacity()};
}

}  // namespace

}  // namespace detail

request_reader::request_reader()
    : state_(std::make_unique<detail::reader_state>()) {
  detail::StartRequest(*state_);
}

request_reader::~request_reader() = default;

intake::read_progress request_reader::Read(std::string_view bytes) {
  detail::reader_state& state = *state_;
  const std::string before = std::exchange(state.rest, std::string());
  const std::string joined =
      before.empty() ? std::string() : before + std::string(bytes);
  std::string_view unread = before.empty() ? bytes : std::string_view(joined);
  while (!unread.empty() && state.phase != intake::reading::kComplete &&
         state.phase != intake::reading::kMalformed) {
    unread.remove_prefix(state.phase == intake::reading::kEmpty
                             ? detail::SkipEmptyLines(state, unread)
                             : detail::Parse(state, unread));
  }
  if (state.phase == intake::reading::kComplete)
    state.rest = unread;
  return detail::ProgressOf(state);
}

bool request_reader::TakeContinue() {
  return std::exchange(state_->continue_awaited, false);
}

std::string request_reader::Take() {
  detail::reader_state& state = *state_;
  std::string request = std::move(state.head);
  if (!state.chunked) {
    state.body.MoveTo(request);
  } else {
    if (state.body.size() != 0) {
      constexpr int kHex = 16;
      char length[sizeof(std::size_t) * 2] = {};
      const auto end = std::to_chars(std::begin(length), std::end(length),
                                     state.body.size(), kHex);
      request.append(length, end.ptr);
      request += "\r\n";
      state.body.MoveTo(request);
      request += "\r\n";
    }
    request += "0\r\n\r\n";
  }
  detail::StartRequest(state);
  return request;
}

void request_reader::Clear() {
  detail::StartRequest(*state_);
  state_->rest = std::string();
}

}  // namespace parsleyhitch::runtime
