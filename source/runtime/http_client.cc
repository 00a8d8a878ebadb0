// libcurl says which sockets to poll and when to call it again
// (curl_multi_socket_action); Asio waits for them. Time-outs are kept here, not
// by libcurl, which after a pause of the event loop would expire transfers
// before it reads what has arrived for them.

#include "runtime/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <asio/posix/descriptor_base.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <chrono>
#include <limits>
#include <memory>
#include <string_view>
#include <utility>

namespace parsleyhitch::runtime {

namespace detail {

// A socket of libcurl's that Asio waits on.
struct watched_socket {
  explicit watched_socket(asio::io_context& io) : descriptor(io) {}

  asio::posix::stream_descriptor descriptor;
  int wanted_events = CURL_POLL_NONE;
  bool read_pending = false;
  bool write_pending = false;
  bool removed = false;
};

using time_point = std::chrono::steady_clock::time_point;

struct transfer {
  http_request request;
  http_callback done;
  asio::steady_timer timer;
  const time_point start = std::chrono::steady_clock::now();
  // When a byte of the response was last read.
  time_point last_activity = start;
  // A connection was ready, and the request was written to it.
  bool sent = false;
  // The socket that libcurl has watched for it, if any.
  curl_socket_t socket = CURL_SOCKET_BAD;
  curl_slist* headers = nullptr;
  std::map<std::string, std::string> response_headers;
  std::string response_body;

  void NoteActivity() { last_activity = std::chrono::steady_clock::now(); }

  // When it fails if nothing more arrives.
  time_point ExpiresAt() const {
    const time_point deadline = start + request.timeout;
    if (request.stall_timeout <= model::duration(0))
      return deadline;
    return std::min(deadline, last_activity + request.stall_timeout);
  }

  bool HasExpired() const {
    return std::chrono::steady_clock::now() >= ExpiresAt();
  }
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

// Enough for the leader of 1,100 workers: a hold and an order at each.
constexpr long kMaxConnections = 3000;
// Multi handles of libcurl, among which the hosts are divided.
constexpr std::size_t kShards = 32;
// What libcurl reads from a socket in one action, at least, if it is there.
constexpr std::size_t kReadSize = CURL_MAX_WRITE_SIZE;
// The longest that libcurl accepts; its default is 300 s.
constexpr long kNoConnectTimeout = std::numeric_limits<int>::max();

std::size_t WriteBody(char* data,
                      std::size_t size,
                      std::size_t count,
                      void* user) {
  transfer& each = *static_cast<transfer*>(user);
  each.response_body.append(data, size * count);
  each.NoteActivity();
  return size * count;
}

std::string ToLower(std::string_view text) {
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
  static_cast<transfer*>(user)->NoteActivity();
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r\n");
    const bool empty = start == std::string_view::npos || start > end;
    static_cast<transfer*>(user)
        ->response_headers[ToLower(line.substr(0, colon))] =
        empty ? std::string()
              : std::string(line.substr(start, end + 1 - start));
  }
  return size * count;
}

// A response delimited only by the end of its connection can't be told from a
// truncated one.
bool HasKnownLength(const transfer& each, std::uint32_t status) {
  constexpr std::uint32_t kNoContent = 204;
  constexpr std::uint32_t kNotModified = 304;
  return status == kNoContent || status == kNotModified ||
         each.response_headers.contains("content-length") ||
         each.response_headers.contains("transfer-encoding");
}

// True when the peer refused or closed the connection. A request that was sent
// is aborted only instead of its repetition.
bool IsDisconnection(CURLcode code, const transfer& each) {
  const bool repeats = code == CURLE_ABORTED_BY_CALLBACK && each.sent;
  return repeats || code == CURLE_COULDNT_CONNECT ||
         code == CURLE_GOT_NOTHING || code == CURLE_SEND_ERROR ||
         code == CURLE_RECV_ERROR || code == CURLE_PARTIAL_FILE;
}

http_outcome TakeOutcome(CURL* easy, CURLcode code, transfer& each) {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  curl_off_t uploaded = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  const auto status_code = static_cast<std::uint32_t>(status);
  const auto bytes_written = static_cast<std::uint64_t>(uploaded);
  if (code != CURLE_OK || !HasKnownLength(each, status_code)) {
    return http_failure{.sent = each.sent,
                        .disconnected = IsDisconnection(code, each),
                        .bytes_written = bytes_written,
                        .bytes_read = each.response_body.size()};
  }
  return http_response{.status = status_code,
                       .headers = std::move(each.response_headers),
                       .body = std::move(each.response_body),
                       .bytes_written = bytes_written};
}

void ReleaseTransfer(client_state& state, CURL* easy) {
  const auto found = state.transfers.find(easy);
  curl_multi_remove_handle(state.multi, easy);
  curl_slist_free_all(found->second->headers);
  curl_easy_cleanup(easy);
  state.transfers.erase(found);
}

// Removes the transfer and reports its outcome.
void FinishTransfer(client_state& state, CURL* easy, CURLcode code) {
  transfer& each = *state.transfers.at(easy);
  http_outcome outcome = TakeOutcome(easy, code, each);
  http_callback done = std::move(each.done);
  ReleaseTransfer(state, easy);
  asio::post(state.io, [done = std::move(done), outcome = std::move(outcome)] {
    done(outcome);
  });
}

void FinishTransfers(const std::shared_ptr<client_state>& state) {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(state->multi, &remaining)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    FinishTransfer(*state, message->easy_handle, message->data.result);
  }
}

void RunSocketAction(const std::shared_ptr<client_state>& state,
                     curl_socket_t socket,
                     int action) {
  if (state->multi == nullptr)
    return;
  int running = 0;
  curl_multi_socket_action(state->multi, socket, action, &running);
  FinishTransfers(state);
}

std::size_t CountUnread(const client_state& state, curl_socket_t socket) {
  const auto found = state.sockets.find(socket);
  if (found == state.sockets.end())
    return 0;
  asio::posix::descriptor_base::bytes_readable unread;
  asio::error_code error;
  found->second->descriptor.io_control(unread, error);
  return error ? 0 : unread.get();
}

// Has libcurl read what lies in the transfer's socket, which may finish the
// transfer. What arrives meanwhile is left, so that this ends.
void ReadArrived(const std::shared_ptr<client_state>& state, CURL* easy) {
  const curl_socket_t socket = state->transfers.at(easy)->socket;
  const std::size_t unread = CountUnread(*state, socket);
  for (std::size_t read = 0; read < unread; read += kReadSize) {
    if (!state->transfers.contains(easy))
      return;
    RunSocketAction(state, socket, CURL_CSELECT_IN);
  }
}

// Fails the transfer at its deadline, or once no byte has arrived for its stall
// time-out. If the event loop was blocked, the bytes may be there unread.
void WatchForExpiry(const std::shared_ptr<client_state>& state, CURL* easy) {
  transfer& each = *state->transfers.at(easy);
  each.timer.expires_at(each.ExpiresAt());
  each.timer.async_wait([state, easy](const asio::error_code& error) {
    if (error || !state->transfers.contains(easy))
      return;
    if (state->transfers.at(easy)->HasExpired())
      ReadArrived(state, easy);
    const auto found = state->transfers.find(easy);
    if (found == state->transfers.end())
      return;
    if (found->second->HasExpired())
      FinishTransfer(*state, easy, CURLE_OPERATION_TIMEDOUT);
    else
      WatchForExpiry(state, easy);
  });
}

void WatchSocket(const std::shared_ptr<client_state>& state,
                 curl_socket_t socket,
                 const std::shared_ptr<watched_socket>& watched);

void OnSocketReady(const std::shared_ptr<client_state>& state,
                   curl_socket_t socket,
                   const std::shared_ptr<watched_socket>& watched,
                   int action) {
  if (watched->removed)
    return;
  RunSocketAction(state, socket, action);
  if (!watched->removed)
    WatchSocket(state, socket, watched);
}

void WatchSocket(const std::shared_ptr<client_state>& state,
                 curl_socket_t socket,
                 const std::shared_ptr<watched_socket>& watched) {
  const bool wants_read = (watched->wanted_events & CURL_POLL_IN) != 0;
  const bool wants_write = (watched->wanted_events & CURL_POLL_OUT) != 0;
  if (wants_read && !watched->read_pending) {
    watched->read_pending = true;
    watched->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [state, socket, watched](const asio::error_code& error) {
          watched->read_pending = false;
          if (!error)
            OnSocketReady(state, socket, watched, CURL_CSELECT_IN);
        });
  }
  if (wants_write && !watched->write_pending) {
    watched->write_pending = true;
    watched->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write,
        [state, socket, watched](const asio::error_code& error) {
          watched->write_pending = false;
          const bool still_wanted =
              (watched->wanted_events & CURL_POLL_OUT) != 0;
          if (!error && still_wanted)
            OnSocketReady(state, socket, watched, CURL_CSELECT_OUT);
        });
  }
}

void UnwatchSocket(client_state& state, curl_socket_t socket) {
  const auto found = state.sockets.find(socket);
  if (found == state.sockets.end())
    return;
  found->second->removed = true;
  found->second->descriptor.release();
  state.sockets.erase(found);
}

int OnSocketChange(CURL* easy,
                   curl_socket_t socket,
                   int what,
                   void* user,
                   void*) {
  const auto& state = *static_cast<std::shared_ptr<client_state>*>(user);
  const auto owner = state->transfers.find(easy);
  if (owner != state->transfers.end())
    owner->second->socket = what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : socket;
  if (what == CURL_POLL_REMOVE) {
    UnwatchSocket(*state, socket);
    return 0;
  }
  auto found = state->sockets.find(socket);
  if (found == state->sockets.end()) {
    auto watched = std::make_shared<watched_socket>(state->io);
    watched->descriptor.assign(socket);
    found = state->sockets.emplace(socket, std::move(watched)).first;
  }
  found->second->wanted_events = what;
  WatchSocket(state, socket, found->second);
  return 0;
}

int OnTimeoutChange(CURLM*, long wait, void* user) {
  const auto& state = *static_cast<std::shared_ptr<client_state>*>(user);
  state->timer.cancel();
  if (wait < 0)
    return 0;
  state->timer.expires_after(std::chrono::milliseconds(wait));
  state->timer.async_wait([state](const asio::error_code& error) {
    if (!error)
      RunSocketAction(state, CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

// Called once there is a connection: what is late by then isn't sent at all.
// When a reused connection is closed without a response, libcurl sends the
// request once more. The answer to the second one would hide that the first may
// have been carried out, so only what changes nothing is repeated.
int OnReadyToSend(void* user, char*, char*, int, int) {
  transfer& each = *static_cast<transfer*>(user);
  const bool repeats = each.sent && each.request.method != "GET";
  if (each.HasExpired() || repeats)
    return CURL_PREREQFUNC_ABORT;
  each.sent = true;
  return CURL_PREREQFUNC_OK;
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
  // Disables "Expect: 100-continue", which endpoints need not support.
  each.headers = curl_slist_append(each.headers, "Expect:");
  for (const std::string& header : request.headers)
    each.headers = curl_slist_append(each.headers, header.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, each.headers);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kNoConnectTimeout);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnReadyToSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &each);
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

// The "host:port" of a URL.
std::string_view HostOf(std::string_view url) {
  constexpr std::string_view kSchemeEnd = "://";
  const std::size_t scheme = url.find(kSchemeEnd);
  if (scheme != std::string_view::npos)
    url.remove_prefix(scheme + kSchemeEnd.size());
  return url.substr(0, url.find('/'));
}

// Sets up the multi handle. libcurl keeps the address of `state`.
void Open(std::shared_ptr<client_state>& state) {
  state->multi = curl_multi_init();
  curl_multi_setopt(state->multi, CURLMOPT_SOCKETFUNCTION, OnSocketChange);
  curl_multi_setopt(state->multi, CURLMOPT_SOCKETDATA, &state);
  curl_multi_setopt(state->multi, CURLMOPT_TIMERFUNCTION, OnTimeoutChange);
  curl_multi_setopt(state->multi, CURLMOPT_TIMERDATA, &state);
  curl_multi_setopt(state->multi, CURLMOPT_MAXCONNECTS,
                    kMaxConnections / static_cast<long>(kShards));
}

void Close(client_state& state) {
  while (!state.transfers.empty())
    ReleaseTransfer(state, state.transfers.begin()->first);
  curl_multi_cleanup(state.multi);
  state.multi = nullptr;
  state.timer.cancel();
  for (auto& [socket, watched] : state.sockets) {
    watched->removed = true;
    watched->descriptor.release();
  }
  state.sockets.clear();
}

}  // namespace

}  // namespace detail

http_client::http_client(asio::io_context& io) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  for (std::size_t i = 0; i < detail::kShards; ++i)
    shards_.push_back(std::make_shared<detail::client_state>(io));
  for (std::shared_ptr<detail::client_state>& shard : shards_)
    detail::Open(shard);
}

http_client::~http_client() {
  for (const std::shared_ptr<detail::client_state>& shard : shards_)
    detail::Close(*shard);
}

void http_client::Send(http_request request, http_callback done) {
  const std::size_t host =
      std::hash<std::string_view>()(detail::HostOf(request.url));
  const std::shared_ptr<detail::client_state>& shard =
      shards_[host % shards_.size()];
  CURL* easy = curl_easy_init();
  auto owned = std::make_unique<detail::transfer>(
      detail::transfer{.request = std::move(request),
                       .done = std::move(done),
                       .timer = asio::steady_timer(shard->io)});
  detail::transfer& each = *owned;
  shard->transfers.emplace(easy, std::move(owned));
  detail::SetOptions(easy, each);
  curl_multi_add_handle(shard->multi, easy);
  detail::WatchForExpiry(shard, easy);
}

}  // namespace parsleyhitch::runtime
