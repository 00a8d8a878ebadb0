// The first segment grows with its bytes, as most requests are small.

#include "runtime/segmented_buffer.h"

#include <algorithm>
#include <utility>

namespace parsleyhitch::runtime {

namespace {

constexpr std::size_t kSegmentBytes = 4096;

}  // namespace

void segmented_buffer::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (segments_.empty()) {
      segments_.emplace_back();
    } else if (segments_.back().size() == kSegmentBytes) {
      segments_.emplace_back().reserve(kSegmentBytes);
    }
    std::string& last = segments_.back();
    const std::string_view part = bytes.substr(0, kSegmentBytes - last.size());
    last.append(part);
    size_ += part.size();
    bytes.remove_prefix(part.size());
  }
}

std::uint64_t segmented_buffer::HeldBytes() const {
  if (segments_.empty())
    return 0;
  return segments_.front().capacity() + (segments_.size() - 1) * kSegmentBytes +
         segments_.capacity() * sizeof(std::string);
}

void segmented_buffer::MoveTo(std::string& text) {
  text.reserve(text.size() + std::exchange(size_, 0));
  for (std::string& each : std::exchange(segments_, {}))
    text += std::exchange(each, std::string());
}

}  // namespace parsleyhitch::runtime
