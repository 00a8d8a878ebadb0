// Time-outs of the HTTP client, against servers that answer in pieces, not at
// all, or while the client's event loop is blocked.

#include "runtime/http_client.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace model = parsleyhitch::model;
namespace runtime = parsleyhitch::runtime;
namespace wire = parsleyhitch::wire;

namespace {

constexpr std::uint32_t kPieces = 10;
constexpr std::chrono::milliseconds kPieceInterval{200};
// Several intervals, but shorter than the whole response takes.
constexpr model::duration kStallTimeout{1500};
constexpr model::duration kTimeout{10000};

std::string UrlOf(const asio::ip::tcp::acceptor& acceptor) {
  return "http://127.0.0.1:" +
         std::to_string(acceptor.local_endpoint().port()) + "/";
}

// Answers the next request on the socket with `response`, then calls
// `answered`.
void AnswerRequest(asio::ip::tcp::socket& socket,
                   std::string& request,
                   const std::string& response,
                   const std::function<void()>& answered) {
  asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                         [&socket, response, answered](
                             const asio::error_code& error, std::size_t) {
                           if (error)
                             return;
                           asio::write(socket, asio::buffer(response));
                           answered();
                         });
}

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
                 .url = UrlOf(acceptor_),
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
    AnswerRequest(socket_, request_,
                  "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(kPieces) + "\r\n\r\n",
                  [this] { SendPieces(); });
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

constexpr model::duration kShortTimeout{2000};
// The last timer of libcurl's for a new connection (200 ms) has expired: it
// would have libcurl read all sockets at once.
constexpr model::duration kBlockedFrom{500};
// A time-out that began with the test has passed.
constexpr model::duration kBlockedUntil{2300};
// More than the sockets that epoll_wait reports to Asio at once (128).
constexpr std::uint32_t kRequests = 300;
// More than libcurl's buffer (16 KiB).
constexpr std::size_t kBodySize = 40000;

using outcome_list = std::vector<wire::http_outcome>;

std::uint32_t CountResponses(const outcome_list& outcomes) {
  std::uint32_t count = 0;
  for (const wire::http_outcome& outcome : outcomes) {
    const auto* response = std::get_if<wire::http_response>(&outcome);
    if (response != nullptr && response->body.size() == kBodySize)
      ++count;
  }
  return count;
}

// The client's event loop is blocked from when all requests have been received
// until their time-outs have passed. A server on another thread answers all of
// them meanwhile.
class blocked_client_fixture {
 public:
  outcome_list Fetch(model::duration timeout, model::duration stall_timeout) {
    const auto start = std::chrono::steady_clock::now();
    std::thread server([&] { AnswerWhileBlocked(start); });
    runtime::http_client client(io_);
    outcome_list outcomes;
    for (std::uint32_t each = 0; each < kRequests; ++each) {
      client.Send({.method = "GET",
                   .url = UrlOf(acceptor_),
                   .timeout = timeout,
                   .stall_timeout = stall_timeout},
                  [&](const wire::http_outcome& outcome) {
                    outcomes.push_back(outcome);
                    if (outcomes.size() == kRequests)
                      io_.stop();
                  });
    }
    io_.run();
    server.join();
    return outcomes;
  }

 private:
  void AnswerWhileBlocked(std::chrono::steady_clock::time_point start) {
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::uint32_t each = 0; each < kRequests; ++each) {
      sockets.push_back(acceptor_.accept());
      std::string request;
      asio::read_until(sockets.back(), asio::dynamic_buffer(request),
                       "\r\n\r\n");
    }
    std::promise<void> blocked;
    std::promise<void> answered;
    std::this_thread::sleep_until(start + kBlockedFrom);
    asio::post(io_, [&] {
      // Asio runs all expired timers once it finds that one was due. This one
      // is due before the sockets are ready.
      early_timer_.expires_after(std::chrono::seconds(0));
      early_timer_.async_wait([](const asio::error_code&) {});
      blocked.set_value();
      answered.get_future().wait();
      std::this_thread::sleep_until(start + kBlockedUntil);
      unblocked_.set_value();
    });
    blocked.get_future().wait();
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodySize) +
        "\r\n\r\n" + std::string(kBodySize, 'x');
    for (asio::ip::tcp::socket& socket : sockets)
      asio::write(socket, asio::buffer(response));
    answered.set_value();
    unblocked_.get_future().wait();
  }

  asio::io_context io_{1};
  asio::steady_timer early_timer_{io_};
  asio::io_context server_io_{1};
  asio::ip::tcp::acceptor acceptor_{server_io_,
                                    {asio::ip::address_v4::loopback(), 0}};
  std::promise<void> unblocked_;
};

// Sends a second request over a connection whose first one was answered, to a
// server that does not answer again.
class silent_server_fixture {
 public:
  silent_server_fixture() {
    acceptor_.async_accept(socket_, [this](const asio::error_code& error) {
      if (error)
        return;
      AnswerRequest(socket_, request_,
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", [] {});
    });
    Send();
    io_.run();
    cr_assert(std::holds_alternative<wire::http_response>(*result_));
  }

  // The event loop is blocked for `pause` as soon as the client was asked to
  // send.
  wire::http_outcome FetchSecond(model::duration pause) {
    Send();
    std::this_thread::sleep_for(pause);
    io_.restart();
    io_.run();
    return *result_;
  }

  // The server has closed its connection and listens no more.
  wire::http_outcome FetchAfterClose() {
    acceptor_.close();
    socket_.close();
    return FetchSecond(model::duration(0));
  }

 private:
  void Send() {
    client_.Send({.method = "GET", .url = url_, .timeout = kShortTimeout},
                 [this](const wire::http_outcome& outcome) {
                   result_.emplace(outcome);
                   io_.stop();
                 });
  }

  asio::io_context io_{1};
  asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket socket_{io_};
  const std::string url_ = UrlOf(acceptor_);
  std::string request_;
  runtime::http_client client_{io_};
  std::optional<wire::http_outcome> result_;
};

// Answers the first request on a connection, closes the connection on the
// second one without an answer, and refuses what comes on the next connection.
class closing_server_fixture {
 public:
  closing_server_fixture() {
    AcceptAndAnswer(first_, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    [this] { AwaitRequestAndClose(); });
  }

  wire::http_outcome Fetch(const std::string& method) {
    client_.Send({.method = method, .url = url_, .timeout = kShortTimeout},
                 [this](const wire::http_outcome& outcome) {
                   result_.emplace(outcome);
                   io_.stop();
                 });
    io_.restart();
    io_.run();
    return *result_;
  }

  // The requests that the server has read.
  int requests() const { return requests_; }

 private:
  void AcceptAndAnswer(asio::ip::tcp::socket& socket,
                       const std::string& response,
                       const std::function<void()>& answered) {
    acceptor_.async_accept(socket, [this, &socket, response,
                                    answered](const asio::error_code& error) {
      if (error)
        return;
      AnswerRequest(socket, request_, response, [this, answered] {
        requests_ += 1;
        answered();
      });
    });
  }

  void AwaitRequestAndClose() {
    request_.clear();
    asio::async_read_until(first_, asio::dynamic_buffer(request_), "\r\n\r\n",
                           [this](const asio::error_code& error, std::size_t) {
                             if (error)
                               return;
                             requests_ += 1;
                             request_.clear();
                             AcceptAndAnswer(
                                 second_,
                                 "HTTP/1.1 503 Service Unavailable\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 [] {});
                             first_.close();
                           });
  }

  asio::io_context io_{1};
  asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket first_{io_};
  asio::ip::tcp::socket second_{io_};
  const std::string url_ = UrlOf(acceptor_);
  std::string request_;
  int requests_ = 0;
  runtime::http_client client_{io_};
  std::optional<wire::http_outcome> result_;
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

// Guards against answered requests that fail because the process had no time.
Test(response,
     that_arrives_before_a_deadline_is_taken_by_a_loop_blocked_past_it) {
  blocked_client_fixture fixture;
  const outcome_list outcomes =
      fixture.Fetch(kShortTimeout, model::duration(0));
  cr_assert_eq(CountResponses(outcomes), kRequests);
}

// Guards against steady responses that fail because the process had no time.
Test(response, that_arrives_before_a_stall_is_taken_by_a_loop_blocked_past_it) {
  blocked_client_fixture fixture;
  const outcome_list outcomes = fixture.Fetch(kTimeout, kShortTimeout);
  cr_assert_eq(CountResponses(outcomes), kRequests);
}

Test(request, that_nobody_answers_fails_at_its_deadline) {
  silent_server_fixture server;
  const auto start = std::chrono::steady_clock::now();
  const wire::http_outcome outcome = server.FetchSecond(model::duration(0));
  const auto elapsed = std::chrono::steady_clock::now() - start;
  const auto* failure = std::get_if<wire::http_failure>(&outcome);
  cr_assert_not_null(failure);
  cr_assert(failure->sent);
  cr_assert_not(failure->disconnected);
  cr_assert(elapsed >= kShortTimeout);
  cr_assert(elapsed < 2 * kShortTimeout);
}

// Guards against orders that are sent after their deadline.
Test(request, that_a_blocked_loop_did_not_send_by_its_deadline_is_never_sent) {
  silent_server_fixture server;
  const wire::http_outcome outcome = server.FetchSecond(kBlockedUntil);
  const auto* failure = std::get_if<wire::http_failure>(&outcome);
  cr_assert_not_null(failure);
  cr_assert_not(failure->sent);
}

// Guards against a process that has ended and counts as one that is silent.
Test(request, to_a_port_without_listener_is_disconnected) {
  silent_server_fixture server;
  const wire::http_outcome outcome = server.FetchAfterClose();
  const auto* failure = std::get_if<wire::http_failure>(&outcome);
  cr_assert_not_null(failure);
  cr_assert(failure->disconnected);
}

// Guards against a request that is sent twice, so that the refusal of the
// second hides that the first may have been carried out.
Test(request, whose_connection_is_closed_after_it_was_sent_is_not_repeated) {
  closing_server_fixture server;
  cr_assert(std::holds_alternative<wire::http_response>(server.Fetch("POST")));
  const wire::http_outcome outcome = server.Fetch("POST");
  const auto* failure = std::get_if<wire::http_failure>(&outcome);
  cr_assert_not_null(failure);
  cr_assert(failure->sent);
  cr_assert(failure->disconnected);
  cr_assert_eq(server.requests(), 2);
}
