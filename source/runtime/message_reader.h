// The receiving side of ZMTP 3.1, the protocol of ZeroMQ's sockets
// (rfc.zeromq.org, 23/ZMTP and 37/ZMTP), with the NULL mechanism: takes the
// bytes of one connection and returns its messages. Unlike a ZeroMQ socket it
// tells what it holds before a message is complete, so that a connection can be
// ended for it.

#ifndef PARSLEYHITCH_RUNTIME_MESSAGE_READER_H_
#define PARSLEYHITCH_RUNTIME_MESSAGE_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "intake/event.h"

namespace parsleyhitch::runtime {

namespace detail {
struct message_reader_state;
}

struct message_reader_hooks {
  // Called when a message begins, before any of it is held. Returns false to
  // end the connection.
  std::function<bool(const intake::read_progress&)> begin;
  std::function<void(std::string message)> message;
  // Sends bytes to the peer.
  std::function<void(std::string_view bytes)> send;
};

class message_reader {
 public:
  explicit message_reader(message_reader_hooks hooks);
  ~message_reader();
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;

  // Sends this side's greeting.
  void Open();

  // Takes the next bytes of the connection. Calls the hooks in the order of
  // what arrives. Returns how much of the handshake or of a message is held
  // then.
  intake::read_progress Read(std::string_view bytes);

 private:
  std::unique_ptr<detail::message_reader_state> state_;
};

}  // namespace parsleyhitch::runtime

#endif  // PARSLEYHITCH_RUNTIME_MESSAGE_READER_H_
