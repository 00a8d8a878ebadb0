// Each connection is a pair of sockets, and each direction alternates between
// reading and writing. The link's current mode decides how the bytes that were
// read are forwarded.

#include "stand_ins/proxy_stand_in.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <memory>
#include <utility>

#include "stand_ins/stand_in.h"

namespace parsleyhitch::stand_ins {

namespace {

using asio::ip::tcp;

constexpr std::size_t kBufferBytes = 65536;

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

struct link_state {
  link_mode mode = link_mode::kWell;
  std::chrono::milliseconds delay{0};
};

// One connection through a link. Keeps itself alive until it is closed.
class relay : public std::enable_shared_from_this<relay> {
 public:
  relay(asio::io_context& io, tcp::socket caller, const link_state& link)
      : io_(io), caller_(std::move(caller)), callee_(io), link_(link) {}

  void Start(const tcp::endpoint& target) {
    auto self = shared_from_this();
    callee_.async_connect(target, [self](const asio::error_code& error) {
      if (error) {
        self->Close();
        return;
      }
      self->ReadFrom(self->caller_, self->callee_, self->outward_, false);
      self->ReadFrom(self->callee_, self->caller_, self->inward_, true);
    });
  }

  // Closes the connection; the caller sees a reset.
  void Reset() {
    asio::error_code ignored;
    caller_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

 private:
  using buffer = std::array<char, kBufferBytes>;

  void ReadFrom(tcp::socket& from,
                tcp::socket& to,
                buffer& bytes,
                bool from_callee) {
    auto self = shared_from_this();
    from.async_read_some(asio::buffer(bytes),
                         [self, &from, &to, &bytes, from_callee](
                             const asio::error_code& error, std::size_t size) {
                           if (error)
                             self->Close();
                           else
                             self->Forward(from, to, bytes, from_callee, size);
                         });
  }

  void Forward(tcp::socket& from,
               tcp::socket& to,
               buffer& bytes,
               bool from_callee,
               std::size_t size) {
    const bool dropped = link_.mode == link_mode::kSilent ||
                         (link_.mode == link_mode::kOneWay && from_callee);
    if (dropped) {
      ReadFrom(from, to, bytes, from_callee);
      return;
    }
    if (link_.mode == link_mode::kReset) {
      Reset();
      return;
    }
    const auto delay = link_.mode == link_mode::kDelayed
                           ? link_.delay
                           : std::chrono::milliseconds(0);
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    auto self = shared_from_this();
    timer->async_wait([self, timer, &from, &to, &bytes, from_callee,
                       size](const asio::error_code&) {
      self->Write(from, to, bytes, from_callee, size);
    });
  }

  void Write(tcp::socket& from,
             tcp::socket& to,
             buffer& bytes,
             bool from_callee,
             std::size_t size) {
    auto self = shared_from_this();
    asio::async_write(to, asio::buffer(bytes.data(), size),
                      [self, &from, &to, &bytes, from_callee](
                          const asio::error_code& error, std::size_t) {
                        if (error)
                          self->Close();
                        else
                          self->ReadFrom(from, to, bytes, from_callee);
                      });
  }

  void Close() {
    asio::error_code ignored;
    caller_.close(ignored);
    callee_.close(ignored);
  }

  asio::io_context& io_;
  tcp::socket caller_;
  tcp::socket callee_;
  const link_state& link_;
  buffer outward_{};
  buffer inward_{};
};

// The listener of one link and its connections.
class link_proxy {
 public:
  link_proxy(asio::io_context& io,
             const std::string& listen,
             const std::string& target)
      : io_(io),
        acceptor_(io, EndpointOf(listen)),
        target_(EndpointOf(target)) {
    Accept();
  }

  void Set(const link_state& state) {
    state_ = state;
    if (state.mode != link_mode::kReset)
      return;
    for (const std::weak_ptr<relay>& each : std::exchange(relays_, {})) {
      if (const auto open = each.lock())
        open->Reset();
    }
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error,
                                  tcp::socket caller) {
      if (error)
        return;
      auto next = std::make_shared<relay>(io_, std::move(caller), state_);
      std::erase_if(relays_, [](const auto& each) { return each.expired(); });
      relays_.push_back(next);
      next->Start(target_);
      Accept();
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  const tcp::endpoint target_;
  link_state state_;
  std::vector<std::weak_ptr<relay>> relays_;
};

}  // namespace

void RunProxy(asio::io_context& io, const std::vector<std::string>& addresses) {
  std::vector<std::unique_ptr<link_proxy>> links;
  for (std::size_t i = 1; i + 1 < addresses.size(); i += 2) {
    links.push_back(
        std::make_unique<link_proxy>(io, addresses[i], addresses[i + 1]));
  }
  const runtime::http_server control(
      io, addresses.front(), kMaxBodyBytes,
      {.call =
           [&](const wire::http_call& call, std::uint64_t,
               const runtime::http_responder& respond) {
             const auto decoded = wire::ValueOf(
                 [&] { return wire::FromJson<proxy_control>(call.body); });
             std::vector<link_state> states(links.size());
             for (const link_control& each :
                  decoded ? decoded->links : std::vector<link_control>()) {
               states.at(each.link) = {
                   .mode = each.mode,
                   .delay = std::chrono::milliseconds(each.delay_ms)};
             }
             for (std::size_t i = 0; i < links.size(); ++i)
               links[i]->Set(states[i]);
             respond(JsonReply(decoded ? 200 : 400, "{}"));
           },
       .closed = [](std::uint64_t) {}});
  io.run();
}

}  // namespace parsleyhitch::stand_ins
