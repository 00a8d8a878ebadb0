// Time-outs of the HTTP client, against a server that sends its response in
// pieces.

#include "runtime/http_client.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace model = parsleyhitch::model;
namespace runtime = parsleyhitch::runtime;
namespace wire = parsleyhitch::wire;

namespace {

constexpr std::uint32_t kPieces = 10;
constexpr std::chrono::milliseconds kPieceInterval{200};
// Several intervals, but shorter than the whole response takes.
constexpr model::duration kStallTimeout{1500};
constexpr model::duration kTimeout{10000};

// Answers one request, a byte at a time, up to `pieces_sent` of kPieces bytes.
class slow_server_fixture {
 public:
  explicit slow_server_fixture(std::uint32_t pieces_sent)
      : pieces_left_(pieces_sent) {
    acceptor_.async_accept(socket_, [this](const asio::error_code& error) {
      if (!error)
        ReceiveRequest();
    });
  }

  wire::http_outcome Fetch() {
    runtime::http_client client(io_);
    std::optional<wire::http_outcome> result;
    client.Send({.method = "GET",
                 .url = "http://127.0.0.1:" +
                        std::to_string(acceptor_.local_endpoint().port()) + "/",
                 .timeout = kTimeout,
                 .stall_timeout = kStallTimeout},
                [&](const wire::http_outcome& outcome) {
                  result.emplace(outcome);
                  io_.stop();
                });
    io_.run();
    return *result;
  }

 private:
  void ReceiveRequest() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
        [this](const asio::error_code& error, std::size_t) {
          if (error)
            return;
          asio::write(socket_,
                      asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(kPieces) + "\r\n\r\n"));
          SendPieces();
        });
  }

  void SendPieces() {
    timer_.expires_after(kPieceInterval);
    timer_.async_wait([this](const asio::error_code& error) {
      if (error || pieces_left_ == 0)
        return;
      --pieces_left_;
      asio::write(socket_, asio::buffer("x", 1));
      SendPieces();
    });
  }

  asio::io_context io_{1};
  asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket socket_{io_};
  asio::steady_timer timer_{io_};
  std::string request_;
  std::uint32_t pieces_left_;
};

}  // namespace

Test(response, that_arrives_slowly_but_steadily_is_not_broken_off) {
  slow_server_fixture server(kPieces);
  const wire::http_outcome outcome = server.Fetch();
  const auto* response = std::get_if<wire::http_response>(&outcome);
  cr_assert_not_null(response);
  cr_assert_eq(response->body, std::string(kPieces, 'x'));
}

Test(response, that_stops_halfway_fails_long_before_the_time_out) {
  slow_server_fixture server(kPieces / 2);
  const auto start = std::chrono::steady_clock::now();
  const wire::http_outcome outcome = server.Fetch();
  const auto* failure = std::get_if<wire::http_failure>(&outcome);
  cr_assert_not_null(failure);
  cr_assert(failure->sent);
  cr_assert_eq(failure->bytes_read, kPieces / 2);
  cr_assert(std::chrono::steady_clock::now() - start < kTimeout / 2);
}
