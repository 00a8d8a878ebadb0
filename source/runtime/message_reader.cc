// A frame is a byte of flags, a length of 1 or 8 bytes and a command or a
// message. Messages in several parts are not accepted: nobody here sends them,
// and all parts would have to be held until the last.

#include "runtime/message_reader.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "runtime/segmented_buffer.h"

namespace parsleyhitch::runtime {

namespace detail {

enum class stage : std::uint8_t {
  kGreeting,
  kReady,
  kFrames,
  kMessage,
  kEnded
};

struct message_reader_state {
  message_reader_hooks hooks;
  stage at = stage::kGreeting;
  // Bytes of a greeting, of the head of a frame or of a command that is not
  // complete.
  std::string pending;
  segmented_buffer message;
  std::uint64_t message_bytes = 0;
};

namespace {

constexpr std::size_t kGreetingBytes = 64;
constexpr std::size_t kSignatureEnd = 9;
constexpr std::size_t kVersionAt = 10;
constexpr std::size_t kMechanismAt = 12;
constexpr std::size_t kMechanismBytes = 20;
constexpr char kFirstSignatureByte = '\xff';
constexpr char kLastSignatureByte = '\x7f';
constexpr char kMajorVersion = 3;
constexpr char kMinorVersion = 1;
constexpr std::string_view kMechanism = "NULL";

constexpr unsigned char kMore = 1;
constexpr unsigned char kLong = 2;
constexpr unsigned char kCommand = 4;
constexpr unsigned char kKnownFlags = kMore | kLong | kCommand;
constexpr std::size_t kShortHeadBytes = 2;
constexpr std::size_t kLongHeadBytes = 9;
constexpr int kByteBits = 8;

// A peer's READY has its socket type and identity.
constexpr std::uint64_t kMaxCommandBytes = 1024;
constexpr std::string_view kReady = "\5READY";
constexpr std::string_view kPing = "\4PING";
constexpr std::string_view kPong = "\4PONG";
// The time to live, which only concerns the one that sends it.
constexpr std::size_t kPingTtlBytes = 2;
// What a PONG returns (37/ZMTP).
constexpr std::size_t kMaxPingContextBytes = 16;

std::string Greeting() {
  std::string greeting(kGreetingBytes, '\0');
  greeting.front() = kFirstSignatureByte;
  greeting[kSignatureEnd] = kLastSignatureByte;
  greeting[kVersionAt] = kMajorVersion;
  greeting[kVersionAt + 1] = kMinorVersion;
  std::ranges::copy(kMechanism, greeting.begin() + kMechanismAt);
  return greeting;
}

std::string CommandFrame(std::string_view name, std::string_view content) {
  std::string frame(1, static_cast<char>(kCommand));
  frame.push_back(static_cast<char>(name.size() + content.size()));
  frame.append(name).append(content);
  return frame;
}

std::string ReadyFrame() {
  using namespace std::string_view_literals;
  return CommandFrame(kReady, "\13Socket-Type\0\0\0\4PULL"sv);
}

// As far as it has arrived.
bool IsGreeting(std::string_view bytes) {
  if (bytes.front() != kFirstSignatureByte ||
      (bytes.size() > kSignatureEnd &&
       bytes[kSignatureEnd] != kLastSignatureByte))
    return false;
  if (bytes.size() < kGreetingBytes)
    return true;
  std::string mechanism(kMechanism);
  mechanism.resize(kMechanismBytes);
  return bytes[kVersionAt] >= kMajorVersion &&
         bytes.substr(kMechanismAt, kMechanismBytes) == mechanism;
}

// All of these return how many bytes they took, 0 if they need more.

std::size_t TakeGreeting(message_reader_state& state, std::string_view bytes) {
  if (!IsGreeting(bytes)) {
    state.at = stage::kEnded;
    return 0;
  }
  if (bytes.size() < kGreetingBytes)
    return 0;
  state.hooks.send(ReadyFrame());
  state.at = stage::kReady;
  return kGreetingBytes;
}

void OnCommand(message_reader_state& state, std::string_view command) {
  if (state.at == stage::kReady) {
    state.at = command.starts_with(kReady) ? stage::kFrames : stage::kEnded;
    return;
  }
  // Others ask for nothing of a receiver.
  if (!command.starts_with(kPing))
    return;
  const std::string_view context =
      command.substr(std::min(kPing.size() + kPingTtlBytes, command.size()));
  if (context.size() > kMaxPingContextBytes) {
    state.at = stage::kEnded;
    return;
  }
  state.hooks.send(CommandFrame(kPong, context));
}

struct frame_head {
  unsigned char flags = 0;
  std::size_t bytes = 0;
  std::uint64_t content_bytes = 0;
};

// `bytes` of 0 if the head is not complete.
frame_head HeadOf(std::string_view bytes) {
  const auto flags = static_cast<unsigned char>(bytes.front());
  const std::size_t head_bytes =
      (flags & kLong) != 0 ? kLongHeadBytes : kShortHeadBytes;
  if (bytes.size() < head_bytes)
    return {.flags = flags};
  std::uint64_t content_bytes = 0;
  for (const char each : bytes.substr(1, head_bytes - 1))
    content_bytes =
        (content_bytes << kByteBits) | static_cast<unsigned char>(each);
  return {.flags = flags, .bytes = head_bytes, .content_bytes = content_bytes};
}

// Returns false if the peer does not follow the protocol.
bool IsAcceptable(const message_reader_state& state, const frame_head& head) {
  if ((head.flags & ~kKnownFlags) != 0 || (head.flags & kMore) != 0)
    return false;
  return (head.flags & kCommand) != 0 ? head.content_bytes <= kMaxCommandBytes
                                      : state.at == stage::kFrames;
}

intake::read_progress MessageProgress(const message_reader_state& state) {
  return {.phase = intake::reading::kBody,
          .body_bytes = state.message_bytes,
          .held_bytes = state.message.HeldBytes()};
}

std::size_t TakeFrame(message_reader_state& state, std::string_view bytes) {
  const frame_head head = HeadOf(bytes);
  if (!IsAcceptable(state, head)) {
    state.at = stage::kEnded;
    return 0;
  }
  if (head.bytes == 0)
    return 0;
  if ((head.flags & kCommand) == 0) {
    state.message_bytes = head.content_bytes;
    const bool accepted = state.hooks.begin(MessageProgress(state));
    state.at = accepted ? stage::kMessage : stage::kEnded;
    return head.bytes;
  }
  const std::size_t frame_bytes = head.bytes + head.content_bytes;
  if (bytes.size() < frame_bytes)
    return 0;
  OnCommand(state, bytes.substr(head.bytes, head.content_bytes));
  return frame_bytes;
}

std::size_t TakeMessage(message_reader_state& state, std::string_view bytes) {
  const std::size_t taken = std::min<std::uint64_t>(
      bytes.size(), state.message_bytes - state.message.size());
  state.message.Append(bytes.substr(0, taken));
  if (state.message.size() < state.message_bytes)
    return taken;
  state.at = stage::kFrames;
  std::string message;
  state.message.MoveTo(message);
  state.hooks.message(std::move(message));
  return taken;
}

std::size_t TakeNext(message_reader_state& state, std::string_view bytes) {
  switch (state.at) {
    case stage::kGreeting:
      return TakeGreeting(state, bytes);
    case stage::kReady:
    case stage::kFrames:
      return TakeFrame(state, bytes);
    case stage::kMessage:
      return TakeMessage(state, bytes);
    case stage::kEnded:
      break;
  }
  return 0;
}

intake::read_progress ProgressOf(const message_reader_state& state) {
  switch (state.at) {
    case stage::kGreeting:
    case stage::kReady:
      return {.phase = intake::reading::kHead,
              .head_bytes = state.pending.size(),
              .held_bytes = state.pending.capacity()};
    case stage::kFrames:
      return {.phase = intake::reading::kEmpty,
              .held_bytes = state.pending.capacity()};
    case stage::kMessage:
      return MessageProgress(state);
    case stage::kEnded:
      break;
  }
  return {.phase = intake::reading::kMalformed};
}

}  // namespace

}  // namespace detail

message_reader::message_reader(message_reader_hooks hooks)
    : state_(std::make_unique<detail::message_reader_state>()) {
  state_->hooks = std::move(hooks);
}

message_reader::~message_reader() = default;

void message_reader::Open() {
  state_->hooks.send(detail::Greeting());
}

intake::read_progress message_reader::Read(std::string_view bytes) {
  detail::message_reader_state& state = *state_;
  std::string joined = std::exchange(state.pending, std::string());
  if (!joined.empty())
    joined.append(bytes);
  std::string_view unread = joined.empty() ? bytes : std::string_view(joined);
  // A message without bytes is complete with its head.
  while (!unread.empty() ||
         (state.at == detail::stage::kMessage && state.message_bytes == 0)) {
    const detail::stage before = state.at;
    const std::size_t taken = detail::TakeNext(state, unread);
    unread.remove_prefix(taken);
    if (taken == 0 && state.at == before)
      break;
  }
  if (state.at != detail::stage::kMessage && state.at != detail::stage::kEnded)
    state.pending = unread;
  return detail::ProgressOf(state);
}

}  // namespace parsleyhitch::runtime
