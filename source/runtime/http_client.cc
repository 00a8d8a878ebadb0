// libcurl tells which sockets to watch and when to call it again
// (curl_multi_socket_action); Asio does the watching.

#include "runtime/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <optional>
#include <string_view>
#include <utility>

namespace parsleyhitch::runtime {

namespace detail {

// One socket of libcurl's while it is watched.
struct watched_socket {
  explicit watched_socket(asio::io_context& io) : descriptor(io) {}

  asio::posix::stream_descriptor descriptor;
  int wanted = CURL_POLL_NONE;
  bool reading = false;
  bool writing = false;
  bool removed = false;
};

struct transfer {
  http_request request;
  http_callback done;
  curl_slist* headers = nullptr;
  std::map<std::string, std::string> response_headers;
  std::string response;
};

struct client_state {
  explicit client_state(asio::io_context& context)
      : io(context), timer(context) {}

  asio::io_context& io;
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  std::map<curl_socket_t, std::shared_ptr<watched_socket>> sockets;
  std::map<CURL*, std::unique_ptr<transfer>> transfers;
};

namespace {

constexpr long kMaxIdleConnections = 512;

std::size_t WriteBody(char* data,
                      std::size_t size,
                      std::size_t count,
                      void* user) {
  static_cast<transfer*>(user)->response.append(data, size * count);
  return size * count;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return lower;
}

std::size_t WriteHeader(char* data,
                        std::size_t size,
                        std::size_t count,
                        void* user) {
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r\n");
    const bool empty = start == std::string_view::npos || start > end;
    static_cast<transfer*>(user)
        ->response_headers[Lower(line.substr(0, colon))] =
        empty ? std::string()
              : std::string(line.substr(start, end + 1 - start));
  }
  return size * count;
}

// An answer that ends with its connection can't be told from one cut short.
bool HasKnownLength(const transfer& each, std::uint32_t status) {
  constexpr std::uint32_t kNoContent = 204;
  constexpr std::uint32_t kNotModified = 304;
  return status == kNoContent || status == kNotModified ||
         each.response_headers.contains("content-length") ||
         each.response_headers.contains("transfer-encoding");
}

http_outcome OutcomeOf(CURL* easy, CURLcode code, transfer& each) {
  long sent = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  const auto code_of_status = static_cast<std::uint32_t>(status);
  if (code != CURLE_OK || !HasKnownLength(each, code_of_status))
    return http_failure{.sent = sent > 0};
  return http_response{.status = code_of_status,
                       .headers = std::move(each.response_headers),
                       .body = std::move(each.response)};
}

void Release(client_state& state, CURL* easy) {
  const auto found = state.transfers.find(easy);
  curl_multi_remove_handle(state.multi, easy);
  curl_slist_free_all(found->second->headers);
  curl_easy_cleanup(easy);
  state.transfers.erase(found);
}

void FinishTransfers(const std::shared_ptr<client_state>& state) {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(state->multi, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    transfer& each = *state->transfers.at(easy);
    http_outcome outcome = OutcomeOf(easy, code, each);
    http_callback done = std::move(each.done);
    Release(*state, easy);
    asio::post(state->io, [done = std::move(done),
                           outcome = std::move(outcome)] { done(outcome); });
  }
}

void Act(const std::shared_ptr<client_state>& state,
         curl_socket_t socket,
         int action) {
  if (state->multi == nullptr)
    return;
  int running = 0;
  curl_multi_socket_action(state->multi, socket, action, &running);
  FinishTransfers(state);
}

void Watch(const std::shared_ptr<client_state>& state,
           curl_socket_t socket,
           const std::shared_ptr<watched_socket>& watched);

void OnReady(const std::shared_ptr<client_state>& state,
             curl_socket_t socket,
             const std::shared_ptr<watched_socket>& watched,
             int action) {
  if (watched->removed)
    return;
  Act(state, socket, action);
  if (!watched->removed)
    Watch(state, socket, watched);
}

void Watch(const std::shared_ptr<client_state>& state,
           curl_socket_t socket,
           const std::shared_ptr<watched_socket>& watched) {
  const bool wants_read = (watched->wanted & CURL_POLL_IN) != 0;
  const bool wants_write = (watched->wanted & CURL_POLL_OUT) != 0;
  if (wants_read && !watched->reading) {
    watched->reading = true;
    watched->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [state, socket, watched](const asio::error_code& error) {
          watched->reading = false;
          if (!error)
            OnReady(state, socket, watched, CURL_CSELECT_IN);
        });
  }
  if (wants_write && !watched->writing) {
    watched->writing = true;
    watched->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write,
        [state, socket, watched](const asio::error_code& error) {
          watched->writing = false;
          const bool wanted = (watched->wanted & CURL_POLL_OUT) != 0;
          if (!error && wanted)
            OnReady(state, socket, watched, CURL_CSELECT_OUT);
        });
  }
}

void Unwatch(client_state& state, curl_socket_t socket) {
  const auto found = state.sockets.find(socket);
  if (found == state.sockets.end())
    return;
  found->second->removed = true;
  found->second->descriptor.release();
  state.sockets.erase(found);
}

int OnSocket(CURL*, curl_socket_t socket, int what, void* user, void*) {
  const auto& state = *static_cast<std::shared_ptr<client_state>*>(user);
  if (what == CURL_POLL_REMOVE) {
    Unwatch(*state, socket);
    return 0;
  }
  auto found = state->sockets.find(socket);
  if (found == state->sockets.end()) {
    auto watched = std::make_shared<watched_socket>(state->io);
    watched->descriptor.assign(socket);
    found = state->sockets.emplace(socket, std::move(watched)).first;
  }
  found->second->wanted = what;
  Watch(state, socket, found->second);
  return 0;
}

int OnTimer(CURLM*, long wait, void* user) {
  const auto& state = *static_cast<std::shared_ptr<client_state>*>(user);
  state->timer.cancel();
  if (wait < 0)
    return 0;
  state->timer.expires_after(std::chrono::milliseconds(wait));
  state->timer.async_wait([state](const asio::error_code& error) {
    if (!error)
      Act(state, CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void SetOptions(CURL* easy, transfer& each) {
  const http_request& request = each.request;
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  // No waiting for "100 Continue": endpoints need not answer it.
  each.headers = curl_slist_append(each.headers, "Expect:");
  for (const std::string& header : request.headers)
    each.headers = curl_slist_append(each.headers, header.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, each.headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, WriteBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &each);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, WriteHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &each);
  if (request.dedicated_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

}  // namespace

}  // namespace detail

http_client::http_client(asio::io_context& io)
    : state_(std::make_shared<detail::client_state>(io)) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  state_->multi = curl_multi_init();
  curl_multi_setopt(state_->multi, CURLMOPT_SOCKETFUNCTION, detail::OnSocket);
  curl_multi_setopt(state_->multi, CURLMOPT_SOCKETDATA, &state_);
  curl_multi_setopt(state_->multi, CURLMOPT_TIMERFUNCTION, detail::OnTimer);
  curl_multi_setopt(state_->multi, CURLMOPT_TIMERDATA, &state_);
  curl_multi_setopt(state_->multi, CURLMOPT_MAXCONNECTS,
                    detail::kMaxIdleConnections);
}

http_client::~http_client() {
  while (!state_->transfers.empty())
    detail::Release(*state_, state_->transfers.begin()->first);
  curl_multi_cleanup(state_->multi);
  state_->multi = nullptr;
  state_->timer.cancel();
  for (auto& [socket, watched] : state_->sockets) {
    watched->removed = true;
    watched->descriptor.release();
  }
  state_->sockets.clear();
}

void http_client::Send(http_request request, http_callback done) {
  CURL* easy = curl_easy_init();
  auto owned = std::make_unique<detail::transfer>(
      detail::transfer{.request = std::move(request), .done = std::move(done)});
  detail::transfer& each = *owned;
  state_->transfers.emplace(easy, std::move(owned));
  detail::SetOptions(easy, each);
  curl_multi_add_handle(state_->multi, easy);
}

}  // namespace parsleyhitch::runtime
