// Bytes that arrive without a known end, in segments of one size. A string that
// grows leaves blocks of all its former sizes, which many of them scatter over
// the heap, so that the process holds far more than they do.

#ifndef PARSLEYHITCH_RUNTIME_SEGMENTED_BUFFER_H_
#define PARSLEYHITCH_RUNTIME_SEGMENTED_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyhitch::runtime {

class segmented_buffer {
 public:
  void Append(std::string_view bytes);

  std::size_t size() const { return size_; }
  // Memory in use, at most a segment more than the size.
  std::uint64_t HeldBytes() const;

  // Appends all bytes to `text` and releases them, one segment after the other.
  void MoveTo(std::string& text);

 private:
  // All but the last are full.
  std::vector<std::string> segments_;
  // The sum of the segments' sizes.
  std::size_t size_ = 0;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_SEGMENTED_BUFFER_H_
