// Kernel buffers and queues of a listening socket and of what it accepts.

#ifndef PARSLEYHITCH_RUNTIME_SOCKET_OPTIONS_H_
#define PARSLEYHITCH_RUNTIME_SOCKET_OPTIONS_H_

#include <cstdint>

namespace parsleyhitch::runtime {

struct socket_options {
  // For SO_RCVBUF: the kernel doubles it, and holds as much for a connection,
  // accepted or not (socket(7)).
  const std::uint32_t receive_buffer_bytes = 65536;
  // Connections that may wait to be accepted (listen(2)).
  const std::uint32_t backlog = 4096;

  bool operator==(const socket_options&) const = default;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_SOCKET_OPTIONS_H_
