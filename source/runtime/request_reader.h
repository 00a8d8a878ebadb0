// Reads HTTP requests piece by piece with http_parser and holds each until it
// is complete, so that RESTinio, which bounds neither fields, chunks nor
// trailers in all, receives only whole requests of a known size.

#ifndef PARSLEYHITCH_RUNTIME_REQUEST_READER_H_
#define PARSLEYHITCH_RUNTIME_REQUEST_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "intake/event.h"

namespace parsleyhitch::runtime {

namespace detail {
struct reader_state;
}

class request_reader {
 public:
  request_reader();
  ~request_reader();
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  // Takes the next bytes of the connection. What follows a complete request is
  // kept for the next one.
  intake::read_progress Read(std::string_view bytes);

  // True once for a request whose client waits for the interim response 100
  // before it sends the body.
  bool TakeContinue();

  // Returns the complete request with its body in one chunk if it was chunked,
  // and without trailers, which nothing here uses. Starts the next request.
  std::string Take();

  // Releases what is held. Nothing may be read after that.
  void Clear();

 private:
  std::unique_ptr<detail::reader_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_REQUEST_READER_H_
