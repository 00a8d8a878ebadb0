// Stand-in for the platform's list of live and leaving VMs. HTTP calls: GET
// /vms, and POST /control with the new list or "down".

#include "stand_ins/stand_in.h"

namespace parsleyhitch::stand_ins {

void RunVmList(asio::io_context& io, const std::string& address) {
  std::string list = "[]";
  bool down = false;
  const runtime::http_server server(
      io, address, kMaxBodyBytes,
      {.call =
           [&](const wire::http_call& call, std::uint64_t,
               const runtime::http_responder& respond) {
             if (call.path == "/control") {
               down = call.body == "down";
               list = down ? list : call.body;
               respond(JsonReply(200, "{}"));
               return;
             }
             respond(JsonReply(down ? 503 : 200, list));
           },
       .closed = [](std::uint64_t) {}});
  io.run();
}

}  // namespace parsleyhitch::stand_ins
