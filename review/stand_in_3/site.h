// A small deployment for the scripts of review/REPORT-3.md: the platform's
// store, its workers and its clients, as ../given/kit/more/system/PROTOCOL.md
// tells them, and the entries as processes of their own. One HTTP server for
// each address, so that each can be lost by itself.

#ifndef PARSLEYHITCH_REVIEW_STAND_IN_3_SITE_H_
#define PARSLEYHITCH_REVIEW_STAND_IN_3_SITE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace site {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point kStart = steady::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               kStart)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// What was sent, answered and run.
class record {
 public:
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ",
                  static_cast<double>(NowMs()) / 1000);
    out_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline record& Record() {
  static record all;
  return all;
}

struct request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct reply {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
  // Nothing is sent, and the connection stays open.
  bool silent = false;
  // The connection is reset.
  bool reset = false;
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::string Lower(std::string text) {
  for (char& each : text)
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      plain.push_back(text[i]);
    }
  }
  return plain;
}

// Reads one message; `rest` keeps what follows it. Empty start line at the end
// of the connection.
inline bool ReadMessage(int fd,
                        std::string& rest,
                        std::string& start,
                        std::map<std::string, std::string>& headers,
                        std::string& body,
                        int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  const auto more = [&] {
    pollfd wait{.fd = fd, .events = POLLIN, .revents = 0};
    const auto left = until - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0)
      return false;
    rest.append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
    if (!more())
      return false;
  }
  std::istringstream head(rest.substr(0, end));
  rest.erase(0, end + 4);
  std::getline(head, start);
  if (!start.empty() && start.back() == '\r')
    start.pop_back();
  headers.clear();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = headers.contains("content-length")
                                 ? std::stoul(headers["content-length"])
                                 : 0;
  while (rest.size() < length) {
    if (!more())
      return false;
  }
  body = rest.substr(0, length);
  rest.erase(0, length);
  return true;
}

inline sockaddr_in AddressOf(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// An HTTP server on loopback, with a thread for each connection. `Down` resets
// all connections and stops listening, as the end of a process does.
class server {
 public:
  using handler = std::function<reply(const request&)>;

  server(std::uint16_t port, handler handle)
      : port_(port), handle_(std::move(handle)) {
    Up();
  }
  ~server() { Down(); }

  void Up() {
    const std::lock_guard lock(mutex_);
    if (listening_ >= 0)
      return;
    listening_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = AddressOf(port_);
    if (bind(listening_, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(listening_, 128) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    accepter_ = std::thread([this, fd = listening_] { Accept(fd); });
  }

  void Down() {
    std::thread accepter;
    {
      const std::lock_guard lock(mutex_);
      if (listening_ < 0)
        return;
      shutdown(listening_, SHUT_RDWR);
      close(listening_);
      listening_ = -1;
      for (const int fd : open_) {
        const linger now{.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown(fd, SHUT_RDWR);
      }
      accepter.swap(accepter_);
    }
    accepter.join();
  }

  std::uint16_t port() const { return port_; }

 private:
  void Accept(int listening) {
    while (true) {
      const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(mutex_);
        if (listening_ != listening) {
          close(fd);
          return;
        }
        open_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    std::string rest, start, body;
    std::map<std::string, std::string> headers;
    while (ReadMessage(fd, rest, start, headers, body, 600000)) {
      request call;
      std::istringstream line(start);
      std::string target;
      line >> call.method >> target;
      const std::size_t mark = target.find('?');
      call.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        for (std::string pair; std::getline(pairs, pair, '&');) {
          const std::size_t is = pair.find('=');
          call.query[pair.substr(0, is)] =
              is == std::string::npos ? "" : Unescape(pair.substr(is + 1));
        }
      }
      call.headers = headers;
      call.body = body;
      const reply answer = handle_(call);
      if (answer.silent)
        continue;
      if (answer.reset) {
        const linger now{.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        break;
      }
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                           " X\r\nContent-Type: " + answer.type +
                           "\r\nContent-Length: " +
                           std::to_string(answer.body.size()) + "\r\n\r\n" +
                           answer.body))
        break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  const std::uint16_t port_;
  const handler handle_;
  std::mutex mutex_;
  int listening_ = -1;
  std::set<int> open_;
  std::thread accepter_;
};

struct answer {
  // 0 if there was none.
  int status = 0;
  std::string body;
};

inline answer Call(std::uint16_t port,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   const std::vector<std::string>& headers,
                   int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(port);
  answer got;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const std::string& each : headers)
      text += each + "\r\n";
    text +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string rest, start;
    std::map<std::string, std::string> ignored;
    if (SendAll(fd, text) &&
        ReadMessage(fd, rest, start, ignored, got.body, timeout_ms))
      got.status = std::atoi(start.substr(9).c_str());
  }
  close(fd);
  return got;
}

inline std::vector<std::uint16_t> FreePorts(std::size_t count) {
  std::vector<int> held;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(0);
    socklen_t size = sizeof address;
    bind(fd, reinterpret_cast<const sockaddr*>(&address), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ports.push_back(ntohs(address.sin_port));
    held.push_back(fd);
  }
  for (const int fd : held)
    close(fd);
  return ports;
}

// How the store treats those that call it at one of its addresses.
enum class manner { kServes, kBusy, kSilent, kResets };

// The platform's store. Each caller has an address of its own, at which it can
// be turned away.
class store {
 public:
  // The pages' `appendMs`, and `x` times the usual 4 ms of an answer.
  std::atomic<int> append_ms = 2;
  std::atomic<int> answer_ms = 4;

  void Serve(std::uint16_t port) {
    manners_[port] = manner::kServes;
    servers_.push_back(std::make_unique<server>(
        port,
        [this, port](const request& call) { return Handle(port, call); }));
  }

  void Treat(std::uint16_t port, manner how) {
    const std::lock_guard lock(mutex_);
    manners_[port] = how;
    changed_.notify_all();
  }

  // Writes by the operator and by workers.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    Append(topics_[topic], Keyed(key, value));
    changed_.notify_all();
  }

  // Called under the lock, with the writer, before an append is answered.
  std::function<void(const std::string& writer)> on_append;

 private:
  struct producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> last;
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct topic {
    std::uint64_t end = 0;
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::map<std::string, producer> producers;
  };

  static std::string Keyed(const std::string& key, const std::string& value) {
    std::string content(1, static_cast<char>(key.size()));
    return content + key + value;
  }

  static void Append(topic& to, const std::string& content) {
    const auto size = static_cast<unsigned char>(content.at(0));
    const std::string key = content.substr(1, size);
    const std::string value = content.substr(1 + size);
    if (value.empty())
      to.newest.erase(key);
    else
      to.newest[key] = {to.end, value};
    to.records.push_back(content);
    to.end += 1;
  }

  static std::string Big(std::uint64_t value, int bytes) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
      text.push_back(static_cast<char>(value >> (8 * i)));
    return text;
  }

  static std::string Base64(const std::string& text) {
    static const char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string coded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
      std::uint32_t block = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        block <<= 8;
        if (i + j < text.size())
          block |= static_cast<unsigned char>(text[i + j]);
      }
      for (std::size_t j = 0; j < 4; ++j)
        coded.push_back(i + j <= text.size()
                            ? kDigits[(block >> (6 * (3 - j))) & 63]
                            : '=');
    }
    return coded;
  }

  // True once the caller's address is not served any more.
  std::optional<reply> TurnedAway(std::uint16_t port) {
    switch (manners_[port]) {
      case manner::kServes:
        return {};
      case manner::kBusy:
        return reply{.status = 503};
      case manner::kSilent:
        return reply{.silent = true};
      case manner::kResets:
        break;
    }
    return reply{.reset = true};
  }

  reply Handle(std::uint16_t port, const request& call) {
    {
      const std::lock_guard lock(mutex_);
      if (const auto refusal = TurnedAway(port))
        return *refusal;
    }
    Sleep(answer_ms);
    if (call.path == "/log-append")
      return OnAppend(call);
    if (call.path == "/log-read")
      return OnRead(port, call);
    if (call.path == "/log-newest")
      return OnNewest(call);
    return {.status = 400};
  }

  reply OnAppend(const request& call) {
    const std::string name = call.query.at("topic");
    if (name == "keyed.op" || name == "keyed.servers")
      return {.status = 403};
    const std::lock_guard part(append_mutex_);
    Sleep(append_ms);
    const std::lock_guard lock(mutex_);
    topic& to = topics_[name];
    producer& writer = to.producers[call.query.at("producer")];
    const std::uint64_t epoch = std::stoull(call.query.at("epoch"));
    const std::uint64_t sequence = std::stoull(call.query.at("sequence"));
    if (epoch < writer.epoch)
      return {.status = 409, .body = R"({"reason":"fenced"})"};
    if (epoch > writer.epoch) {
      writer = {.epoch = epoch, .last = {}, .answers = {}};
    } else if (writer.last) {
      for (const auto& [known, first] : writer.answers) {
        if (known == sequence)
          return {.body = first};
      }
      if (sequence != *writer.last + 1)
        return {
            .status = 409,
            .body =
                json{{"reason", "seq"}, {"expected", *writer.last + 1}}.dump()};
    }
    const std::uint64_t offset = to.end;
    std::string_view rest = call.body;
    while (rest.size() >= 4) {
      std::uint32_t size = 0;
      for (int i = 0; i < 4; ++i)
        size = (size << 8) | static_cast<unsigned char>(rest[i]);
      Append(to, std::string(rest.substr(4, size)));
      rest.remove_prefix(4 + size);
    }
    writer.last = sequence;
    const std::string first = json{{"offset", offset}, {"end", to.end}}.dump();
    writer.answers.emplace_back(sequence, first);
    if (writer.answers.size() > 5)
      writer.answers.pop_front();
    changed_.notify_all();
    if (on_append)
      on_append(call.query.at("producer"));
    return {.body = first};
  }

  reply OnRead(std::uint16_t port, const request& call) {
    std::unique_lock lock(mutex_);
    const std::uint64_t from = std::stoull(call.query.at("from"));
    const auto value = [&](const char* key, std::uint64_t otherwise) {
      return call.query.contains(key) ? std::stoull(call.query.at(key))
                                      : otherwise;
    };
    topic& of = topics_[call.query.at("topic")];
    changed_.wait_for(lock, std::chrono::milliseconds(value("waitMs", 0)), [&] {
      return of.end > from || manners_[port] != manner::kServes;
    });
    if (const auto refusal = TurnedAway(port))
      return *refusal;
    std::string body = Big(of.end, 8) + Big(0, 8);
    const std::uint64_t most = value("maxKb", 1024) * 1024;
    for (std::uint64_t i = from; i < of.end; ++i) {
      const std::string& each = of.records[i];
      if (i > from && body.size() + each.size() > most)
        break;
      body += Big(each.size(), 4) + each;
    }
    return {.body = body, .type = "application/octet-stream"};
  }

  reply OnNewest(const request& call) {
    const std::lock_guard lock(mutex_);
    topic& of = topics_[call.query.at("topic")];
    auto at = call.query.contains("dependsOn")
                  ? of.newest.upper_bound(call.query.at("dependsOn"))
                  : of.newest.begin();
    json items = json::array();
    std::size_t bytes = 0;
    for (; at != of.newest.end() && items.size() < 500 && bytes < 1000000;
         ++at) {
      items.push_back({{"key", at->first},
                       {"value", Base64(at->second.second)},
                       {"offset", at->second.first}});
      bytes += at->second.second.size();
    }
    return {.body = json{{"items", items},
                         {"hasMore", at != of.newest.end()},
                         {"end", of.end}}
                        .dump()};
  }

  std::mutex mutex_;
  std::mutex append_mutex_;
  std::condition_variable changed_;
  std::map<std::uint16_t, manner> manners_;
  std::map<std::string, topic> topics_;
  std::vector<std::unique_ptr<server>> servers_;
};

// What happened to a task on any worker.
struct run {
  std::string task;
  std::uint64_t attempt = 0;
  std::string worker;
  std::int64_t started_at = 0;
  // 0 while it runs.
  std::int64_t ended_at = 0;
  // As in listings, or "crashed".
  std::string how;
};

class run_log {
 public:
  std::size_t Start(const run& begun) {
    const std::lock_guard lock(mutex_);
    runs_.push_back(begun);
    return runs_.size() - 1;
  }
  void End(std::size_t index, const std::string& how) {
    const std::lock_guard lock(mutex_);
    runs_[index].ended_at = NowMs();
    runs_[index].how = how;
  }
  std::vector<run> All() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<run> runs_;
};

// One worker. Its tasks take as many ms as their job's spec says.
class worker {
 public:
  struct description {
    std::string id;
    std::uint16_t port = 0;
    std::string service = "pool";
    std::string kind = "a";
    std::string rack = "r1";
    int cpu = 32000;
    int memory_mb = 131072;
    int gpu = 8;
  };

  worker(store& registry, run_log& runs, description about)
      : store_(registry), runs_(runs), about_(std::move(about)) {
    server_ = std::make_unique<server>(
        about_.port, [this](const request& call) { return Handle(call); });
    Begin();
    ticker_ = std::thread([this] { Tick(); });
  }
  ~worker() {
    stopped_ = true;
    changed_.notify_all();
    ticker_.join();
    server_->Down();
  }

  const description& about() const { return about_; }

  // All that runs here ends, and nothing is said of it.
  void Crash() {
    Record().Line("worker " + about_.id + " crashes");
    {
      const std::lock_guard lock(mutex_);
      up_ = false;
      for (const auto& [task, each] : running_)
        runs_.End(each.index, "crashed");
      running_.clear();
      changed_.notify_all();
    }
    server_->Down();
  }

  // Starts again under its id; it knows nothing of before.
  void Restart() {
    Record().Line("worker " + about_.id + " starts again");
    Begin();
    server_->Up();
  }

  bool RunsJob(const std::string& job) {
    const std::lock_guard lock(mutex_);
    return std::any_of(running_.begin(), running_.end(), [&](const auto& each) {
      return each.first.starts_with(job);
    });
  }

 private:
  struct running {
    std::uint64_t attempt = 0;
    std::int64_t ends_at = 0;
    std::size_t index = 0;
    std::int64_t started_at = 0;
    // Set by a stop.
    bool stopping = false;
  };

  static constexpr std::int64_t kHoldMaxMs = 10000;
  static constexpr std::int64_t kStopMs = 100;
  static constexpr std::int64_t kHeartbeatMs = 1500;

  std::int64_t Clock() const { return NowMs() - began_at_; }

  void Begin() {
    {
      const std::lock_guard lock(mutex_);
      up_ = true;
      began_at_ = NowMs() - 5;
      born_ = UnixMs();
      token_ = 0;
      deadline_ = 0;
      ended_.clear();
      refused_.clear();
      ends_ = 0;
      sequence_ = 0;
    }
    Register();
  }

  void Register() {
    const std::lock_guard lock(mutex_);
    if (!up_)
      return;
    registered_at_ = NowMs();
    store_.Put("keyed.servers", about_.id,
               json{{"service", about_.service},
                    {"address", "127.0.0.1:" + std::to_string(about_.port)},
                    {"zone", "zone-a"},
                    {"version", "1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"coldLeftMs", 0},
                    {"sequence", ++sequence_},
                    {"born", born_},
                    {"labels", {about_.kind, about_.rack}},
                    {"capacity",
                     {{"cpu", about_.cpu},
                      {"memMb", about_.memory_mb},
                      {"gpu", about_.gpu}}}}
                   .dump());
  }

  void Tick() {
    while (!stopped_) {
      Sleep(5);
      bool due = false;
      {
        const std::lock_guard lock(mutex_);
        if (!up_)
          continue;
        due = NowMs() - registered_at_ >= kHeartbeatMs;
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, each] : running_) {
          if (Clock() >= deadline_)
            over.emplace_back(task, "lapsed");
          else if (NowMs() >= each.ends_at)
            over.emplace_back(task, each.stopping ? "stopped" : "done");
        }
        for (const auto& [task, how] : over)
          End(task, how);
      }
      if (due)
        Register();
    }
  }

  void End(const std::string& task, const std::string& how) {
    const running each = running_.at(task);
    running_.erase(task);
    runs_.End(each.index, how);
    refused_[task] = std::max(refused_[task], each.attempt);
    ended_.push_back({++ends_, task, each.attempt, how, ""});
    Record().Line("worker " + about_.id + " run " + task + "#" +
                  std::to_string(each.attempt) + " ends " + how);
    changed_.notify_all();
  }

  reply Refuse(const char* reason) const {
    return {.status = 409,
            .body = json{{"clockMs", Clock()}, {"reason", reason}}.dump()};
  }

  reply Handle(const request& call) {
    std::unique_lock lock(mutex_);
    if (!up_)
      return {.reset = true};
    const auto expected = call.headers.find("x-expect-instance");
    if (expected != call.headers.end() && expected->second != about_.id)
      return {.status = 421, .body = json{{"clockMs", Clock()}}.dump()};
    const json body = json::parse(call.body, nullptr, false);
    if (!body.is_object())
      return {.status = 400, .body = json{{"clockMs", Clock()}}.dump()};
    const std::uint64_t token = body.value("fencingToken", std::uint64_t{0});
    if (token < token_)
      return Refuse("fence");
    token_ = token;
    if (body.contains("deadlineMs"))
      deadline_ =
          std::max(deadline_, std::min(body["deadlineMs"].get<std::int64_t>(),
                                       Clock() + kHoldMaxMs));
    if (call.path == "/run-start")
      return Start(body);
    if (call.path == "/run-stop")
      return Stop(body);
    if (call.path == "/hold")
      return Hold(lock, body);
    return {.status = 400};
  }

  reply Start(const json& body) {
    const std::string task = body.at("task");
    const std::uint64_t attempt = body.at("attempt");
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.attempt == attempt)
      return {.body = json{{"clockMs", Clock()}}.dump()};
    if (refused_.contains(task) && attempt <= refused_[task])
      return Refuse("old");
    if (body.at("deadlineMs").get<std::int64_t>() <= Clock())
      return Refuse("late");
    if (known != running_.end())
      return Refuse("room");
    const int takes = std::atoi(body.at("spec").get<std::string>().c_str());
    Record().Line("worker " + about_.id + " starts " + task + "#" +
                  std::to_string(attempt) + " by token " +
                  std::to_string(token_));
    running_[task] = {.attempt = attempt,
                      .ends_at = NowMs() + takes,
                      .index = runs_.Start({.task = task,
                                            .attempt = attempt,
                                            .worker = about_.id,
                                            .started_at = NowMs(),
                                            .how = {}}),
                      .started_at = NowMs()};
    return {.body = json{{"clockMs", Clock()}}.dump()};
  }

  reply Stop(const json& body) {
    const std::string task = body.at("task");
    const std::uint64_t attempt = body.at("attempt");
    refused_[task] = std::max(refused_[task], attempt);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.attempt <= attempt &&
        !known->second.stopping) {
      known->second.stopping = true;
      known->second.ends_at = NowMs() + kStopMs;
    }
    return {.body = json{{"clockMs", Clock()}}.dump()};
  }

  reply Hold(std::unique_lock<std::mutex>& lock, const json& body) {
    const std::uint64_t acknowledged =
        body.value("ackedUpto", std::uint64_t{0});
    while (!ended_.empty() &&
           ended_.front()[0].get<std::uint64_t>() <= acknowledged)
      ended_.pop_front();
    const std::uint64_t life = born_;
    const auto wait = std::chrono::milliseconds(
        std::min<std::int64_t>(body.value("waitMs", std::int64_t{0}), 2000));
    changed_.wait_for(lock, wait, [&] {
      return !ended_.empty() || !up_ || stopped_ || born_ != life;
    });
    if (!up_ || stopped_ || born_ != life)
      return {.reset = true};
    json listed = json::array();
    for (const auto& [task, each] : running_) {
      const std::int64_t takes =
          std::max<std::int64_t>(each.ends_at - each.started_at, 1);
      listed.push_back({task, each.attempt, "",
                        std::min<std::int64_t>(
                            100 * (NowMs() - each.started_at) / takes, 99),
                        0});
    }
    json finished = json::array();
    for (std::size_t i = 0; i < ended_.size() && i < 500; ++i)
      finished.push_back(ended_[i]);
    return {.body = json{{"clockMs", Clock()},
                         {"born", born_},
                         {"running", listed},
                         {"finished", finished}}
                        .dump()};
  }

  store& store_;
  run_log& runs_;
  const description about_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopped_ = false;
  bool up_ = false;
  std::int64_t began_at_ = 0;
  std::uint64_t born_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t deadline_ = 0;
  std::int64_t registered_at_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t ends_ = 0;
  std::map<std::string, running> running_;
  std::deque<json> ended_;
  // The highest attempt of each task that was stopped or ended here.
  std::map<std::string, std::uint64_t> refused_;
  std::unique_ptr<server> server_;
  std::thread ticker_;
};

// The run command of deploy/system.toml, with `settings` as its settings file.
inline std::vector<std::string> RunCommand(const std::string& root,
                                           const std::string& settings) {
  std::ifstream deploy(root + "/deploy/system.toml");
  std::string line;
  while (std::getline(deploy, line) && !line.starts_with("run = ")) {
  }
  const std::size_t first = line.find('"') + 1;
  std::istringstream words(line.substr(first, line.rfind('"') - first));
  std::vector<std::string> command;
  for (std::string word; words >> word;)
    command.push_back(word.ends_with(".json") ? settings : word);
  command.front() = root + "/" + command.front();
  return command;
}

// The entries and all that they speak to.
class deployment {
 public:
  struct options {
    int entries = 3;
    std::vector<worker::description> workers;
    json configuration;
  };

  explicit deployment(const options& wanted)
      : root_(std::getenv("ROOT") == nullptr ? "." : std::getenv("ROOT")) {
    signal(SIGPIPE, SIG_IGN);
    char name[] = "/tmp/review-3-XXXXXX";
    if (mkdtemp(name) == nullptr)
      std::exit(2);
    directory_ = name;
    const auto count = static_cast<std::size_t>(wanted.entries);
    ports_ = FreePorts(count * 5 + wanted.workers.size());
    for (std::size_t i = 0; i < count; ++i)
      storage.Serve(Port(i, 4));
    Publish(wanted.configuration);
    for (std::size_t i = 0; i < wanted.workers.size(); ++i) {
      worker::description about = wanted.workers[i];
      about.port = ports_[count * 5 + i];
      workers.push_back(std::make_unique<worker>(storage, runs, about));
    }
    pids_.resize(count, 0);
  }

  // Ends all processes that were started, and this one.
  [[noreturn]] void Finish(int code) {
    for (std::size_t i = 0; i < pids_.size(); ++i)
      Kill(i);
    for (std::size_t i = 0; i < pids_.size(); ++i) {
      unlink(Settings(i).c_str());
      if (std::getenv("KEEP_LOGS") == nullptr)
        unlink(Log(i).c_str());
    }
    rmdir(directory_.c_str());
    std::cout.flush();
    std::_Exit(code);
  }

  void Publish(const json& configuration) {
    storage.Put("keyed.op", "config", configuration.dump());
  }

  void Start(std::size_t entry) {
    std::ofstream(Settings(entry)) << SettingsOf(entry);
    const std::vector<std::string> command = RunCommand(root_, Settings(entry));
    const std::string log = Log(entry);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(2);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      std::vector<char*> words;
      for (const std::string& word : command)
        words.push_back(const_cast<char*>(word.c_str()));
      words.push_back(nullptr);
      execv(words[0], words.data());
      _exit(127);
    }
    pids_[entry] = pid;
    Record().Line("entry " + std::to_string(entry) + " started");
  }

  void Kill(std::size_t entry) {
    if (pids_[entry] == 0)
      return;
    kill(pids_[entry], SIGKILL);
    waitpid(pids_[entry], nullptr, 0);
    pids_[entry] = 0;
    Record().Line("entry " + std::to_string(entry) + " killed");
  }

  void Signal(std::size_t entry, int number) const {
    kill(pids_[entry], number);
    Record().Line("entry " + std::to_string(entry) + " gets signal " +
                  std::to_string(number));
  }

  // Whether the entry's process has ended by itself.
  bool HasEnded(std::size_t entry) {
    if (pids_[entry] == 0 || waitpid(pids_[entry], nullptr, WNOHANG) == 0)
      return false;
    pids_[entry] = 0;
    return true;
  }

  bool AwaitReady(std::size_t entry, int timeout_ms = 15000) const {
    const std::int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (Call(Port(entry, 1), "GET", "/readiness", "", {"Host: x"}, 1000)
              .status == 200)
        return true;
      Sleep(20);
    }
    return false;
  }

  // A client's call; `deadline_ms` is what it says it waits.
  answer Ask(std::size_t entry,
             const std::string& method,
             const std::string& path,
             const std::string& body = "",
             const std::string& key = "key-1",
             int deadline_ms = 3000) const {
    const answer got = Call(Port(entry, 0), method, path, body,
                            {"Host: jobs.example", "X-Api-Key: " + key,
                             "X-Deadline: " + std::to_string(deadline_ms),
                             "Content-Type: application/json"},
                            deadline_ms);
    Record().Line("client: " + method + " " + path + " at entry " +
                  std::to_string(entry) + " -> " + std::to_string(got.status) +
                  " " + got.body);
    return got;
  }

  // The index of the entry whose log says last that it was elected.
  std::optional<std::size_t> Leader() const {
    std::optional<std::size_t> found;
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < pids_.size(); ++i) {
      std::ifstream log(Log(i));
      for (std::string line; std::getline(log, line);) {
        if (line.find("\"leadership_won\"") == std::string::npos)
          continue;
        const std::size_t at = line.find("\"epoch\":\"");
        const std::uint64_t epoch = std::stoull(line.substr(at + 9));
        if (epoch > best) {
          best = epoch;
          found = i;
        }
      }
    }
    return found;
  }

  std::uint16_t StorePort(std::size_t entry) const { return Port(entry, 4); }
  std::uint16_t CallersPort(std::size_t entry) const { return Port(entry, 0); }
  std::string Log(std::size_t entry) const {
    return directory_ + "/entry-" + std::to_string(entry) + ".log";
  }
  std::size_t entries() const { return pids_.size(); }

  store storage;
  run_log runs;
  std::vector<std::unique_ptr<worker>> workers;

 private:
  std::uint16_t Port(std::size_t entry, std::size_t use) const {
    return ports_[entry * 5 + use];
  }
  std::string Settings(std::size_t entry) const {
    return directory_ + "/entry-" + std::to_string(entry) + ".yaml";
  }

  // The keys of deploy/settings.yaml.template, with the bounds of the small
  // sites.
  std::string SettingsOf(std::size_t entry) const {
    const auto at = [&](std::size_t use) {
      return "\"127.0.0.1:" + std::to_string(Port(entry, use)) + "\"\n";
    };
    return "entry: \"entry-" + std::to_string(entry) +
           "\"\nfailure_domain: \"zone-a\"\ncallers_listen: " + at(0) +
           "probes_listen: " + at(1) + "peers_listen: " + at(2) +
           "metrics_listen: " + at(3) + "store_address: " + at(4) +
           "cpu_share: 0.25\nshutdown_grace_s: 6\nlongest_lease_ms: 10000\n"
           "task_stop_ms: 200\njob_state_kept_s: 120\n"
           "max_record_bytes: 262144\nmax_append_bytes: 2097152\n"
           "checkpoint_interval_s: 2\ncheckpoint_restore_ms: 250\n"
           "remote_slowdown: 3\nmemory_mb: 260\nmax_descriptors: 4100\n"
           "reclaim_bound_ms: 2700\npolicies:\n  admission: false\n";
  }

  const std::string root_;
  std::string directory_;
  std::vector<std::uint16_t> ports_;
  std::vector<pid_t> pids_;
};

inline json Route(const std::string& name, int priority) {
  return {{"name", name},
          {"host", "jobs.example"},
          {"pathPrefix", "/" + name + "/"},
          {"service", "pool"},
          {"priority", priority},
          {"maxAttempts", 3},
          {"stretch", 3},
          {"targetLatencyMs", 1000}};
}

inline json Configuration(int version) {
  return {
      {"version", version},
      {"routes", {Route("urgent", 0), Route("normal", 1), Route("late", 2)}},
      {"services",
       json::array({{{"name", "pool"}, {"rejectsOverload", false}}})},
      {"tenants", json::array({{{"name", "team-1"},
                                {"apiKeys", {"key-1"}},
                                {"guaranteed", {{"gpu", 16}}}},
                               {{"name", "team-2"}, {"apiKeys", {"key-2"}}}})}};
}

// Whether the disruption is to take place.
inline bool HasTrouble() {
  const char* set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

inline int Verdict(bool broken, const std::string& why) {
  Record().Line((broken ? "BROKEN: " : "held: ") + why);
  std::cout << (broken ? "BROKEN: " : "held: ") << why << "\n";
  return broken ? 1 : 0;
}

inline int CannotRun(const std::string& why) {
  Record().Line("could not run: " + why);
  std::cout << "could not run: " << why << "\n";
  return 2;
}

}  // namespace site

#endif  // PARSLEYHITCH_REVIEW_STAND_IN_3_SITE_H_
