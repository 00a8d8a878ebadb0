// Stand-ins for the platform's store, its workers and its clients, and the
// entries as processes of their own. They follow PROTOCOL.md; a case adds its
// disruption. Everything listens on 127.0.0.1.

#ifndef REVIEW_STAND_IN_2_SITE_H_
#define REVIEW_STAND_IN_2_SITE_H_

#include <arpa/inet.h>
#include <fcntl.h>
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
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace site2 {

using json = nlohmann::json;
using std::int64_t;
using std::uint64_t;

// The case can't be run.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// record.txt: what was sent, answered and run.
class recorder {
 public:
  void Open(const std::string& path) { out_.open(path); }
  void Line(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    char at[24];
    std::snprintf(at, sizeof(at), "%9.3f  ",
                  static_cast<double>(NowMs()) / 1000);
    out_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline recorder& Log() {
  static recorder one;
  return one;
}

// ---------------------------------------------------------------- HTTP

struct call {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct answer {
  int status = 200;
  std::string body = "{}";
  // The connection is closed without an answer.
  bool drop = false;
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

// Reads one message (a call or an answer) from the connection. False at its
// end, or once nothing arrives until `until`.
inline bool ReadMessage(int fd,
                        std::string& buffer,
                        std::string& head,
                        std::string& body,
                        int64_t until) {
  const auto more = [&] {
    pollfd waits{.fd = fd, .events = POLLIN, .revents = 0};
    const int64_t left = until - NowMs();
    if (left <= 0 || poll(&waits, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[65536];
    const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more())
      return false;
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t length = 0;
  const std::string lower = Lower(head);
  const std::size_t at = lower.find("\r\ncontent-length:");
  if (at != std::string::npos)
    length = std::stoul(lower.substr(at + 17));
  while (buffer.size() < length) {
    if (!more())
      return false;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline call ParseCall(const std::string& head, std::string body) {
  call parsed;
  parsed.body = std::move(body);
  const std::size_t line = head.find("\r\n");
  const std::string first = head.substr(0, line);
  const std::size_t a = first.find(' ');
  const std::size_t b = first.find(' ', a + 1);
  parsed.method = first.substr(0, a);
  std::string target = first.substr(a + 1, b - a - 1);
  const std::size_t mark = target.find('?');
  parsed.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const std::size_t amp = rest.find('&');
      const std::string pair = rest.substr(0, amp);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos)
        parsed.query[pair.substr(0, equals)] =
            Unescape(pair.substr(equals + 1));
      rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
    }
  }
  std::size_t from = line + 2;
  while (from < head.size()) {
    const std::size_t to = head.find("\r\n", from);
    const std::string row = head.substr(from, to - from);
    const std::size_t colon = row.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = row.find_first_not_of(' ', colon + 1);
      parsed.headers[Lower(row.substr(0, colon))] =
          value == std::string::npos ? "" : row.substr(value);
    }
    if (to == std::string::npos)
      break;
    from = to + 2;
  }
  return parsed;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Serves one address, each connection on a thread of its own. It can be closed
// like that of a process that has ended, and opened again.
class server {
 public:
  using handler = std::function<answer(const call&)>;

  void Serve(int port, handler handle) {
    port_ = port;
    handle_ = std::move(handle);
    Open();
  }

  void Open() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = Loopback(port_);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
      close(fd);
      throw cannot_run("can't listen on a port");
    }
    {
      const std::scoped_lock lock(mutex_);
      listener_ = fd;
    }
    std::thread([this, fd] { Accept(fd); }).detach();
  }

  void Close() {
    const std::scoped_lock lock(mutex_);
    if (listener_ >= 0) {
      shutdown(listener_, SHUT_RDWR);
      listener_ = -1;
    }
    for (const int fd : connections_)
      shutdown(fd, SHUT_RDWR);
  }

 private:
  void Accept(int listener) {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        break;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        const std::scoped_lock lock(mutex_);
        if (listener_ != listener) {
          close(fd);
          continue;
        }
        connections_.insert(fd);
      }
      std::thread([this, fd] { Talk(fd); }).detach();
    }
    close(listener);
  }

  void Talk(int fd) {
    std::string buffer;
    std::string head;
    std::string body;
    while (ReadMessage(fd, buffer, head, body, NowMs() + 3600000)) {
      const answer reply = handle_(ParseCall(head, body));
      if (reply.drop)
        break;
      const std::string message =
          "HTTP/1.1 " + std::to_string(reply.status) +
          " X\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
      if (!SendAll(fd, message))
        break;
    }
    {
      const std::scoped_lock lock(mutex_);
      connections_.erase(fd);
    }
    close(fd);
  }

  int port_ = 0;
  handler handle_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
};

struct response {
  int status = 0;  // 0: no complete answer
  std::string body;
};

inline response Request(int port,
                        const std::string& method,
                        const std::string& path,
                        const std::string& headers,
                        const std::string& body,
                        int64_t timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  response got;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers +
                      "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body)) {
    std::string buffer;
    std::string head;
    std::string text;
    if (ReadMessage(fd, buffer, head, text, NowMs() + timeout_ms)) {
      got.status = std::stoi(head.substr(9, 3));
      got.body = text;
    }
  }
  close(fd);
  return got;
}

// A port below the range from which the system takes those of connections. Each
// process begins at a place of its own, so that sites side by side don't meet.
inline int FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kCount = 20000;
  constexpr int kPlace = 100;
  static int next = static_cast<int>(getpid()) * kPlace % kCount;
  for (int tries = 0; tries < kCount; ++tries) {
    const int port = kFirst + next;
    next = (next + 1) % kCount;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(fd);
    if (free)
      return port;
  }
  throw cannot_run("no free port");
}

// --------------------------------------------------------------- store

inline std::string Big(uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
    out.push_back(static_cast<char>((value >> (8 * i)) & 255));
  return out;
}

inline std::string ToBase64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : bytes) {
    bits = (bits << 8) | static_cast<unsigned char>(c);
    held += 8;
    while (held >= 6) {
      held -= 6;
      out.push_back(digits[(bits >> held) & 63]);
    }
  }
  if (held > 0)
    out.push_back(digits[(bits << (6 - held)) & 63]);
  while (out.size() % 4 != 0)
    out.push_back('=');
  return out;
}

class store {
 public:
  // Called for each call, with the number of the calling entry (each has an
  // address of its own); an answer that is set is given instead.
  std::function<std::optional<answer>(const call&, int entry)> disruption;

  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::scoped_lock lock(mutex_);
    Add(topic, key, value);
    changed_.notify_all();
  }

  answer Handle(const call& each, int entry) {
    if (disruption) {
      const auto instead = disruption(each, entry);
      if (instead)
        return *instead;
    }
    return Serve(each);
  }

  // Whether the call is an append of the leader's to the topic.
  static bool IsLeaderAppend(const call& each, const std::string& topic) {
    return each.path == "/log-append" && Text(each, "producer") == "leader" &&
           Text(each, "topic") == topic;
  }

  answer Serve(const call& each) {
    if (each.path == "/log-append")
      return Append(each);
    if (each.path == "/log-newest")
      return Newest(each);
    if (each.path == "/log-read")
      return Read(each);
    return {.status = 404};
  }

  // The value of the newest record of the key.
  std::string Value(const std::string& topic, const std::string& key) {
    const std::scoped_lock lock(mutex_);
    const auto found = newest_[topic].find(key);
    return found == newest_[topic].end() ? ""
                                         : topics_[topic][found->second].value;
  }

 private:
  struct item {
    std::string key;
    std::string value;
  };
  struct writer {
    std::optional<uint64_t> epoch;
    uint64_t next = 0;
    std::deque<std::pair<uint64_t, std::string>> last;
  };

  static std::string Text(const call& each, const char* name) {
    const auto found = each.query.find(name);
    return found == each.query.end() ? "" : found->second;
  }
  static uint64_t Number(const call& each, const char* name) {
    const std::string text = Text(each, name);
    return text.empty() ? 0 : std::stoull(text);
  }

  void Add(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    newest_[topic][key] = topics_[topic].size();
    topics_[topic].push_back({key, value});
  }

  answer Append(const call& each) {
    const std::scoped_lock lock(mutex_);
    const std::string topic = Text(each, "topic");
    const uint64_t epoch = Number(each, "epoch");
    const uint64_t sequence = Number(each, "sequence");
    writer& from = writers_[topic + " " + Text(each, "producer")];
    if (from.epoch && epoch < *from.epoch)
      return {.status = 409, .body = R"({"reason":"fenced"})"};
    if (from.epoch && epoch == *from.epoch) {
      for (const auto& [number, body] : from.last) {
        if (number == sequence)
          return {.body = body};
      }
      if (sequence != from.next)
        return {
            .status = 409,
            .body = json{{"reason", "seq"}, {"sequence", from.next}}.dump()};
    } else {
      from.last.clear();
    }
    const std::size_t first = topics_[topic].size();
    std::size_t at = 0;
    while (at + 4 <= each.body.size()) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i)
        length = (length << 8) | static_cast<unsigned char>(each.body[at + i]);
      const std::string record = each.body.substr(at + 4, length);
      at += 4 + length;
      const std::size_t key = static_cast<unsigned char>(record.at(0));
      Add(topic, record.substr(1, key), record.substr(1 + key));
    }
    const std::string body =
        json{{"offset", first}, {"end", topics_[topic].size()}}.dump();
    from.epoch = epoch;
    from.next = sequence + 1;
    from.last.emplace_back(sequence, body);
    if (from.last.size() > 5)
      from.last.pop_front();
    changed_.notify_all();
    return {.body = body};
  }

  answer Newest(const call& each) {
    const std::scoped_lock lock(mutex_);
    const std::string topic = Text(each, "topic");
    if (!topics_.contains(topic))
      return {.status = 404};
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    const auto& keys = newest_[topic];
    for (auto at = keys.upper_bound(Text(each, "dependsOn")); at != keys.end();
         ++at) {
      const std::string& value = topics_[topic][at->second].value;
      if (value.empty())
        continue;
      if (items.size() == 500 || bytes > 1000000) {
        more = true;
        break;
      }
      bytes += value.size();
      items.push_back({{"key", at->first},
                       {"value", ToBase64(value)},
                       {"offset", at->second}});
    }
    return {.body = json{{"items", items},
                         {"hasMore", more},
                         {"end", topics_[topic].size()}}
                        .dump()};
  }

  answer Read(const call& each) {
    std::unique_lock lock(mutex_);
    const std::string topic = Text(each, "topic");
    const uint64_t from = Number(each, "from");
    changed_.wait_for(lock, std::chrono::milliseconds(Number(each, "waitMs")),
                      [&] { return topics_[topic].size() > from; });
    const std::vector<item>& items = topics_[topic];
    const std::size_t most =
        1024 * std::max<uint64_t>(Number(each, "maxKb"), 1);
    std::string body = Big(items.size(), 8) + Big(0, 8);
    for (std::size_t i = from; i < items.size() && body.size() < most; ++i) {
      body += Big(1 + items[i].key.size() + items[i].value.size(), 4);
      body.push_back(static_cast<char>(items[i].key.size()));
      body += items[i].key + items[i].value;
    }
    return {.body = body};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<item>> topics_;
  std::map<std::string, std::map<std::string, std::size_t>> newest_;
  std::map<std::string, writer> writers_;
};

// -------------------------------------------------------------- workers

struct run {
  std::string task;
  uint64_t attempt = 0;
  std::string worker;
  int64_t from = 0;
  int64_t until = 0;  // 0 while it runs
  std::string how;
  std::string checkpoint;
};

// All runs of all workers, and the lock for them and for the workers.
struct runs_table {
  std::mutex mutex;
  std::vector<run> rows;
};

class worker {
 public:
  worker(runs_table& runs,
         store& platform,
         int index,
         int port,
         std::string rack)
      : runs_(runs),
        platform_(platform),
        id_("w-" + std::to_string(1000 + index)),
        rack_(std::move(rack)),
        port_(port) {}

  // How long a task works. Set before the first job.
  std::function<int64_t(const std::string& task)> work_ms;
  // Whether a run ends `failed` instead of `done`.
  std::function<bool(const std::string& task, uint64_t attempt)> fails =
      [](const std::string&, uint64_t) { return false; };
  // How long a call and its answer are on the way together.
  std::chrono::microseconds way{0};
  int64_t cpu = 128000;
  int64_t memory_mb = 262144;
  int64_t gpu = 8;
  std::vector<std::string> more_labels;

  const std::string& id() const { return id_; }

  void Begin() {
    listener_.Serve(port_, [this](const call& each) { return Handle(each); });
    Beat();
  }

  // The process is lost, with all that it runs and knows.
  void Crash() {
    {
      const std::scoped_lock lock(runs_.mutex);
      up_ = false;
      Log().Line(id_ + " crashes");
      for (const auto& [task, row] : running_)
        EndRow(row, "lost with its worker");
      running_.clear();
      closed_.clear();
      stops_at_.clear();
      ends_.clear();
      last_end_ = 0;
      token_ = 0;
      lease_until_ = 0;
      life_ += 1;
      silent_since_ = NowMs();
    }
    listener_.Close();
  }

  // Cut off from all machines and the store, it runs on. What is sent to it
  // meanwhile is lost.
  void Cut(bool cut) {
    const std::scoped_lock lock(runs_.mutex);
    if (cut_ != cut)
      Log().Line(id_ + (cut ? " is cut off" : " is reached again"));
    cut_ = cut;
    if (cut)
      silent_since_ = NowMs();
  }

  // Starts again under its id.
  void Restart() {
    {
      const std::scoped_lock lock(runs_.mutex);
      started_at_ = NowMs();
      born_ = UnixMs();
      up_ = true;
      Log().Line(id_ + " is up again");
    }
    listener_.Open();
    Beat();
  }

  // Called about every 1.5 s: writes the entry, or lets it go after three
  // intervals of silence.
  void Beat() {
    bool up = false;
    bool gone = false;
    {
      const std::scoped_lock lock(runs_.mutex);
      up = up_ && !cut_;
      gone = !up && listed_ && NowMs() - silent_since_ > 4500;
      if (up)
        listed_ = true;
      if (gone)
        listed_ = false;
    }
    if (gone)
      platform_.Put("keyed.servers", id_, "");
    if (!up)
      return;
    json labels = {"a", rack_};
    for (const std::string& each : more_labels)
      labels.push_back(each);
    platform_.Put(
        "keyed.servers", id_,
        json{{"service", "pool"},
             {"address", "127.0.0.1:" + std::to_string(port_)},
             {"zone", "z1"},
             {"version", "1"},
             {"slots", 8},
             {"state", "ready"},
             {"coldLeftMs", 0},
             {"sequence", ++sequence_},
             {"born", born_},
             {"labels", labels},
             {"capacity", {{"cpu", cpu}, {"memMb", memory_mb}, {"gpu", gpu}}}}
            .dump());
  }

  // Ends what is due.
  void Advance() {
    const std::scoped_lock lock(runs_.mutex);
    if (!up_)
      return;
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, row] : running_) {
      const auto stop = stops_at_.find(task);
      if (Clock() >= lease_until_)
        due.emplace_back(task, "lapsed");
      else if (stop != stops_at_.end() && NowMs() >= stop->second)
        due.emplace_back(task, "stopped");
      else if (NowMs() - runs_.rows[row].from >= work_ms(task))
        due.emplace_back(
            task, fails(task, runs_.rows[row].attempt) ? "failed" : "done");
    }
    for (const auto& [task, how] : due)
      End(task, how);
  }

 private:
  int64_t Clock() const { return NowMs() - started_at_ + 500; }

  answer Ok() const { return {.body = json{{"clockMs", Clock()}}.dump()}; }
  answer Conflict(const char* reason) const {
    return {.status = 409,
            .body = json{{"clockMs", Clock()}, {"reason", reason}}.dump()};
  }

  void EndRow(std::size_t row, const std::string& how) {
    run& each = runs_.rows[row];
    each.until = NowMs();
    each.how = how;
    Log().Line(id_ + " ends " + each.task + " run " +
               std::to_string(each.attempt) + ": " + how);
  }

  void End(const std::string& task, const std::string& how) {
    const std::size_t row = running_.at(task);
    EndRow(row, how);
    running_.erase(task);
    stops_at_.erase(task);
    const uint64_t attempt = runs_.rows[row].attempt;
    closed_[task] = std::max(closed_[task], attempt);
    ends_.push_back({++last_end_, task, attempt, how, ""});
  }

  bool Accepts(const json& order) {
    const uint64_t token = order.value("fencingToken", uint64_t{0});
    if (token < token_)
      return false;
    token_ = token;
    return true;
  }

  void Extend(const json& order) {
    if (order.contains("deadlineMs"))
      lease_until_ = std::max(
          lease_until_,
          std::min(order["deadlineMs"].get<int64_t>(), Clock() + 10000));
  }

  bool IsCut() {
    const std::scoped_lock lock(runs_.mutex);
    return cut_;
  }

  answer Handle(const call& each) {
    if (IsCut()) {
      while (IsCut())
        SleepMs(20);
      return {.drop = true};
    }
    std::this_thread::sleep_for(way);
    const json order = json::parse(each.body, nullptr, false);
    const auto expected = each.headers.find("x-expect-instance");
    if (expected != each.headers.end() && expected->second != id_)
      return {.status = 421};
    if (!order.is_object())
      return {.status = 400};
    if (each.path == "/hold")
      return Hold(order);
    const std::scoped_lock lock(runs_.mutex);
    if (!up_)
      return {.drop = true};
    if (each.path == "/run-start")
      return Start(order);
    if (each.path == "/run-stop")
      return Stop(order);
    return {.status = 404};
  }

  answer Start(const json& order) {
    if (!Accepts(order))
      return Conflict("fence");
    const std::string task = order.at("task");
    const uint64_t attempt = order.at("attempt");
    const auto found = running_.find(task);
    if (found != running_.end() &&
        runs_.rows[found->second].attempt == attempt) {
      Extend(order);
      return Ok();
    }
    if (order.at("deadlineMs").get<int64_t>() <= Clock())
      return Conflict("late");
    Extend(order);
    const auto closed = closed_.find(task);
    if ((closed != closed_.end() && attempt <= closed->second) ||
        found != running_.end())
      return Conflict("old");
    running_[task] = runs_.rows.size();
    runs_.rows.push_back({.task = task,
                          .attempt = attempt,
                          .worker = id_,
                          .from = NowMs(),
                          .checkpoint = order.value("checkpoint", "")});
    Log().Line(id_ + " starts " + task + " run " + std::to_string(attempt));
    return Ok();
  }

  answer Stop(const json& order) {
    if (!Accepts(order))
      return Conflict("fence");
    const std::string task = order.at("task");
    const uint64_t attempt = order.at("attempt");
    closed_[task] = std::max(closed_[task], attempt);
    const auto found = running_.find(task);
    if (found != running_.end() && runs_.rows[found->second].attempt <= attempt)
      stops_at_.emplace(task, NowMs() + 100);
    return Ok();
  }

  answer Hold(const json& order) {
    const int64_t until = NowMs() + order.value("waitMs", int64_t{0});
    int64_t life = 0;
    {
      const std::scoped_lock lock(runs_.mutex);
      if (!up_)
        return {.drop = true};
      if (!Accepts(order))
        return Conflict("fence");
      Extend(order);
      const uint64_t acked = order.value("ackedUpto", uint64_t{0});
      std::erase_if(ends_, [&](const json& each) {
        return each[0].get<uint64_t>() <= acked;
      });
      life = life_;
    }
    for (;;) {
      {
        const std::scoped_lock lock(runs_.mutex);
        if (!up_ || cut_ || life != life_)
          return {.drop = true};
        if (!ends_.empty() || NowMs() >= until)
          return Listing();
      }
      SleepMs(5);
    }
  }

  answer Listing() const {
    json running = json::array();
    for (const auto& [task, row] : running_)
      running.push_back({task, runs_.rows[row].attempt, "", 50, 0});
    json finished = json::array();
    for (std::size_t i = 0; i < ends_.size() && i < 500; ++i)
      finished.push_back(ends_[i]);
    return {.body = json{{"clockMs", Clock()},
                         {"born", born_},
                         {"running", running},
                         {"finished", finished}}
                        .dump()};
  }

  runs_table& runs_;
  store& platform_;
  const std::string id_;
  const std::string rack_;
  const int port_;
  server listener_;
  // What follows is guarded by the lock of the runs.
  bool up_ = true;
  bool listed_ = false;
  bool cut_ = false;
  int64_t silent_since_ = 0;
  int64_t life_ = 1;
  int64_t started_at_ = NowMs();
  int64_t born_ = UnixMs();
  std::atomic<int64_t> sequence_ = 0;
  uint64_t token_ = 0;
  int64_t lease_until_ = 0;
  uint64_t last_end_ = 0;
  std::map<std::string, std::size_t> running_;
  std::map<std::string, uint64_t> closed_;
  std::map<std::string, int64_t> stops_at_;
  std::vector<json> ends_;
};

// ----------------------------------------------------------------- site

struct entry {
  std::string name;
  int callers = 0;
  int probes = 0;
  int peers = 0;
  int metrics = 0;
  int store_port = 0;
  pid_t pid = 0;
};

struct site_options {
  int entries = 3;
  int workers = 24;
  std::string daemon;
};

// Never destroyed: its threads go on until the process ends.
class site {
 public:
  explicit site(const site_options& options) : daemon_(options.daemon) {
    char folder[] = "/tmp/review2-XXXXXX";
    if (mkdtemp(folder) == nullptr)
      throw cannot_run("no temporary folder");
    folder_ = folder;
    for (int i = 0; i < options.workers; ++i) {
      workers_.push_back(std::make_unique<worker>(
          runs_, store_, i, FreePort(), "r1-" + std::to_string(i / 8)));
      workers_.back()->work_ms = [this](const std::string& task) {
        return WorkOf(task);
      };
    }
    for (int i = 0; i < options.entries; ++i) {
      entries_.push_back({.name = "front-" + std::to_string(i + 1),
                          .callers = FreePort(),
                          .probes = FreePort(),
                          .peers = FreePort(),
                          .metrics = FreePort(),
                          .store_port = FreePort()});
      store_servers_.push_back(std::make_unique<server>());
      store_servers_.back()->Serve(
          entries_.back().store_port,
          [this, i](const call& each) { return store_.Handle(each, i); });
    }
  }

  store& platform() { return store_; }
  worker& At(int index) {
    return *workers_.at(static_cast<std::size_t>(index));
  }
  worker* Named(const std::string& id) {
    for (const auto& each : workers_) {
      if (each->id() == id)
        return each.get();
    }
    return nullptr;
  }
  std::vector<entry>& entries() { return entries_; }

  void PublishConfig(int version) {
    const auto queue = [](const char* name, int priority) {
      return json{{"name", name},
                  {"host", "jobs.example"},
                  {"pathPrefix", std::string("/") + name + "/"},
                  {"service", "pool"},
                  {"priority", priority},
                  {"maxAttempts", 3},
                  {"stretch", 3.0},
                  {"targetLatencyMs", 1000},
                  {"timeoutMs", 3000}};
    };
    store_.Put(
        "keyed.op", "config",
        json{{"version", version},
             {"routes",
              {queue("urgent", 0), queue("jobs", 1), queue("later", 2)}},
             {"services", {{{"name", "pool"}, {"rejectsOverload", false}}}},
             {"tenants",
              {{{"name", "t1"},
                {"apiKeys", {"key-1"}},
                {"guaranteed", {{"gpu", 8}}}}}},
             {"limits", json::object()}}
            .dump());
  }

  void Begin() {
    PublishConfig(1);
    for (const auto& each : workers_)
      each->Begin();
    std::thread([this] {
      for (;;) {
        for (const auto& each : workers_)
          each->Advance();
        SleepMs(10);
      }
    }).detach();
    std::thread([this] {
      for (;;) {
        SleepMs(1500);
        for (const auto& each : workers_)
          each->Beat();
      }
    }).detach();
    for (std::size_t i = 0; i < entries_.size(); ++i)
      Start(i);
    Await("entries ready", 30000, [&] {
      return std::ranges::all_of(entries_, [](const entry& each) {
        return Request(each.probes, "GET", "/readiness", "Host: x\r\n", "", 500)
                   .status == 200;
      });
    });
    Submit(0, "00000000000000aa", 1, 1, 200);
    Await("a first job to complete", 30000,
          [&] { return StateOf(0, "00000000000000aa") == "completed"; });
  }

  // The settings are those of deploy/settings.yaml.template.
  void Start(std::size_t index) {
    entry& each = entries_.at(index);
    const std::string file = folder_ + "/" + each.name + ".yaml";
    const auto at = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream(file) << "entry: \"" << each.name << "\"\n"
                        << "failure_domain: \"z1\"\n"
                        << "callers_listen: " << at(each.callers)
                        << "probes_listen: " << at(each.probes)
                        << "peers_listen: " << at(each.peers)
                        << "metrics_listen: " << at(each.metrics)
                        << "store_address: " << at(each.store_port)
                        << "cpu_share: 0.25\nshutdown_grace_s: 6\n"
                        << "longest_lease_ms: 10000\ntask_stop_ms: 200\n"
                        << "job_state_kept_s: 120\nmax_record_bytes: 262144\n"
                        << "max_append_bytes: 2097152\n";
    const std::string log = folder_ + "/" + each.name + ".log";
    each.pid = fork();
    if (each.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(daemon_.c_str(), daemon_.c_str(), "--config", file.c_str(),
            nullptr);
      _exit(127);
    }
    Log().Line(each.name + " is started");
  }

  void Signal(std::size_t index, int signal) {
    entry& each = entries_.at(index);
    if (each.pid > 0)
      kill(each.pid, signal);
    if (signal == SIGKILL && each.pid > 0) {
      waitpid(each.pid, nullptr, 0);
      each.pid = 0;
      Log().Line(each.name + " is killed");
    }
  }

  void End() {
    for (std::size_t i = 0; i < entries_.size(); ++i)
      Signal(i, SIGKILL);
    const char* keep = std::getenv("KEEP_LOGS");
    std::error_code ignored;
    if (keep != nullptr && std::filesystem::exists(folder_))
      std::filesystem::copy(folder_, keep,
                            std::filesystem::copy_options::overwrite_existing |
                                std::filesystem::copy_options::recursive,
                            ignored);
    std::filesystem::remove_all(folder_, ignored);
  }

  void Await(const std::string& what,
             int64_t timeout_ms,
             const std::function<bool()>& holds) {
    const int64_t until = NowMs() + timeout_ms;
    while (!holds()) {
      if (NowMs() > until)
        throw cannot_run("timed out: " + what);
      SleepMs(50);
    }
  }

  response Ask(std::size_t index,
               const std::string& method,
               const std::string& path,
               const std::string& body = "",
               bool records = true) {
    const response got =
        Request(entries_.at(index).callers, method, path,
                "Host: jobs.example\r\nX-Api-Key: key-1\r\nX-Deadline: "
                "3000\r\nContent-Type: application/json\r\n",
                body, 3000);
    if (records)
      Log().Line("client: " + method + " " + path + " at " +
                 entries_.at(index).name + " -> " +
                 (got.status == 0
                      ? std::string("no answer")
                      : std::to_string(got.status) + " " + got.body));
    return got;
  }

  void SetWork(const std::string& job, int64_t ms) {
    const std::scoped_lock lock(work_mutex_);
    work_[job] = ms;
  }

  response Submit(std::size_t index,
                  const std::string& job,
                  int tasks,
                  int gpu,
                  int64_t work_ms,
                  const std::string& prefix = "/jobs/",
                  const json& more = json::object()) {
    SetWork(job, work_ms);
    json step{{"count", tasks},
              {"cpu", 8000},
              {"memMb", 8000},
              {"gpu", gpu},
              {"estimateMs", work_ms}};
    step.update(more);
    return Ask(index, "POST", prefix + job,
               json{{"spec", "job " + job}, {"phases", {step}}}.dump());
  }

  std::string StateOf(std::size_t index,
                      const std::string& job,
                      const std::string& prefix = "/jobs/",
                      bool records = false) {
    const response got = Ask(index, "GET", prefix + job, "", records);
    const json body = json::parse(got.body, nullptr, false);
    return got.status == 200 && body.is_object() ? body.value("state", "")
                                                 : std::to_string(got.status);
  }

  // The caller holds the lock of the runs.
  int CountRunsLocked(const std::string& task) {
    return static_cast<int>(std::ranges::count_if(
        runs_.rows, [&](const run& each) { return each.task == task; }));
  }

  std::vector<run> Runs() {
    const std::scoped_lock lock(runs_.mutex);
    return runs_.rows;
  }

 private:
  int64_t WorkOf(const std::string& task) {
    const std::scoped_lock lock(work_mutex_);
    const auto found = work_.find(task.substr(0, task.find('.')));
    return found == work_.end() ? 1000 : found->second;
  }

  const std::string daemon_;
  std::string folder_;
  store store_;
  runs_table runs_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<entry> entries_;
  std::vector<std::unique_ptr<server>> store_servers_;
  std::mutex work_mutex_;
  std::map<std::string, int64_t> work_;
};

}  // namespace site2

#endif  // REVIEW_STAND_IN_2_SITE_H_
