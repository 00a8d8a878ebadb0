// Stand-ins for the platform's store and workers, the entries as separate
// processes, and a client. All follow PROTOCOL.md; a case adds its disruption.

#ifndef REVIEW_SITE_H_
#define REVIEW_SITE_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "http.h"

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline std::int64_t SinceStart() {
  static const steady::time_point start = steady::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               start)
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
class record_file {
 public:
  void Open(const std::string& path) { file_.open(path); }
  void Write(const std::string& line) {
    const std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f s  ",
                  static_cast<double>(SinceStart()) / 1000);
    file_ << time << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline record_file& Record() {
  static record_file file;
  return file;
}

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits <<= 8;
      if (i + k < bytes.size())
        bits |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(
          i + k > bytes.size() ? '=' : kDigits[(bits >> (18 - 6 * k)) & 63]);
    }
  }
  return out;
}

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
    out.push_back(static_cast<char>((value >> (8 * i)) & 255));
  return out;
}

inline std::uint64_t FromBigEndian(const std::string& bytes) {
  std::uint64_t value = 0;
  for (const char c : bytes)
    value = (value << 8) | static_cast<unsigned char>(c);
  return value;
}

// The platform's store.
class store {
 public:
  // Called for each call, with the entry's number if it has an address of its
  // own; an answer that is set is given instead of the store's.
  std::function<std::optional<reply>(const request&, int entry)> trouble;

  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::scoped_lock lock(mutex_);
    Push(topic, key, value);
    changed_.notify_all();
  }

  // The newest value of the key; empty if there is none.
  std::string Get(const std::string& topic, const std::string& key) {
    const std::scoped_lock lock(mutex_);
    const auto found = newest_[topic].find(key);
    return found == newest_[topic].end() ? std::string()
                                         : topics_[topic][found->second].value;
  }

  std::size_t End(const std::string& topic) {
    const std::scoped_lock lock(mutex_);
    return topics_[topic].size();
  }

  reply Handle(const request& call, int entry) {
    if (trouble) {
      const std::optional<reply> instead = trouble(call, entry);
      if (instead)
        return *instead;
    }
    return Serve(call);
  }

  reply Serve(const request& call) {
    if (call.path == "/log-append")
      return Append(call);
    if (call.path == "/log-newest")
      return Newest(call);
    if (call.path == "/log-read")
      return Read(call);
    return {.status = 404, .body = "{}"};
  }

 private:
  struct item {
    std::string key;
    std::string value;
  };
  struct producer {
    bool known = false;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::deque<std::pair<std::uint64_t, reply>> last;
  };

  void Push(const std::string& topic, std::string key, std::string value) {
    std::vector<item>& records = topics_[topic];
    newest_[topic][key] = records.size();
    records.push_back({std::move(key), std::move(value)});
  }

  static std::string Text(const request& call, const char* name) {
    const auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
  }
  static std::uint64_t Number(const request& call, const char* name) {
    const std::string text = Text(call, name);
    return text.empty() ? 0 : std::stoull(text);
  }

  reply Append(const request& call) {
    const std::scoped_lock lock(mutex_);
    const std::string topic = Text(call, "topic");
    const std::uint64_t epoch = Number(call, "epoch");
    const std::uint64_t sequence = Number(call, "sequence");
    producer& from = producers_[topic + "/" + Text(call, "producer")];
    if (from.known && epoch < from.epoch)
      return {.status = 409, .body = R"({"reason":"fenced"})"};
    if (from.known && epoch == from.epoch) {
      for (const auto& [number, answer] : from.last) {
        if (number == sequence)
          return answer;
      }
      if (sequence != from.next) {
        return {
            .status = 409,
            .body = json{{"reason", "seq"}, {"sequence", from.next}}.dump()};
      }
    }
    if (!from.known || epoch > from.epoch)
      from = {.known = true, .epoch = epoch, .next = 0, .last = {}};
    std::vector<item>& records = topics_[topic];
    const std::size_t first = records.size();
    std::size_t at = 0;
    while (at + 4 <= call.body.size()) {
      const std::size_t length = FromBigEndian(call.body.substr(at, 4));
      const std::string content = call.body.substr(at + 4, length);
      at += 4 + length;
      const std::size_t key = static_cast<unsigned char>(content[0]);
      Push(topic, content.substr(1, key), content.substr(1 + key));
    }
    const reply answer{
        .body = json{{"offset", first}, {"end", records.size()}}.dump()};
    from.next = sequence + 1;
    from.last.emplace_back(sequence, answer);
    if (from.last.size() > 5)
      from.last.pop_front();
    changed_.notify_all();
    return answer;
  }

  reply Newest(const request& call) {
    const std::scoped_lock lock(mutex_);
    const auto found = topics_.find(Text(call, "topic"));
    if (found == topics_.end())
      return {.status = 404, .body = "{}"};
    const std::map<std::string, std::size_t>& newest =
        newest_[Text(call, "topic")];
    const std::string after = Text(call, "dependsOn");
    json items = json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto at = newest.upper_bound(after); at != newest.end(); ++at) {
      const auto& [key, offset] = *at;
      const std::string& value = found->second[offset].value;
      if (value.empty())
        continue;
      bytes += value.size();
      if (items.size() == 500 || bytes > 1000000) {
        more = true;
        break;
      }
      items.push_back(
          {{"key", key}, {"value", Base64(value)}, {"offset", offset}});
    }
    return {.body = json{{"items", items},
                         {"hasMore", more},
                         {"end", found->second.size()}}
                        .dump()};
  }

  reply Read(const request& call) {
    std::unique_lock lock(mutex_);
    std::vector<item>& records = topics_[Text(call, "topic")];
    const std::uint64_t from = Number(call, "from");
    const std::size_t most =
        1024 * std::max<std::uint64_t>(Number(call, "maxKb"), 1);
    changed_.wait_for(lock, std::chrono::milliseconds(Number(call, "waitMs")),
                      [&] { return records.size() > from; });
    std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < records.size() && body.size() < most; ++i) {
      const item& each = records[i];
      body += BigEndian(1 + each.key.size() + each.value.size(), 4);
      body.push_back(static_cast<char>(each.key.size()));
      body += each.key + each.value;
    }
    return {.body = body, .type = "application/octet-stream"};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<item>> topics_;
  std::map<std::string, std::map<std::string, std::size_t>> newest_;
  std::map<std::string, producer> producers_;
};

// A run of a task on a worker.
struct run {
  std::string task;
  std::uint64_t attempt = 0;
  int worker = 0;
  std::int64_t from = 0;
  // 0 while it runs.
  std::int64_t until = 0;
  std::string how;
};

class worker {
 public:
  int index = 0;
  int port = 0;
  std::string id;
  std::string rack;
  std::int64_t capacity_cpu = 64000;
  int gpu = 8;
  // How long each task works, by the name of its job.
  std::function<std::int64_t(const std::string& task)> work_ms;
  // Called with each start order; an answer that is set is given instead, and
  // the worker does nothing.
  std::function<std::optional<reply>(worker&, const json& order)> trouble;
  // All runs of all workers.
  std::vector<run>* runs = nullptr;
  std::mutex* mutex = nullptr;
  bool up = true;
  // It is partitioned from the store, not from the entries.
  bool cut_from_store = false;
  // Beats in a row that did not reach the store.
  int missed_beats = 0;
  std::int64_t born = UnixMs();
  std::uint64_t life = 1;

  std::int64_t Clock() const { return SinceStart() - started_ + 1000; }

  // The process is lost with all that it knows. Takes the lock.
  void Crash() {
    const std::scoped_lock lock(*mutex);
    up = false;
    for (const auto& [task, number] : running_)
      EndRun(number, "lost with its worker");
    running_.clear();
    closed_.clear();
    ends_.clear();
    last_end_ = 0;
    token_ = 0;
    lease_until_ = 0;
    Record().Write(id + " crashes");
  }

  // Starts again under its id.
  void Restart() {
    const std::scoped_lock lock(*mutex);
    started_ = SinceStart();
    born = UnixMs();
    life += 1;
    up = true;
    Record().Write(id + " is up again");
  }

  reply Handle(const request& call) {
    std::uint64_t life_of_call = 0;
    {
      const std::scoped_lock lock(*mutex);
      if (!up)
        return {.drop = true};
      life_of_call = life;
    }
    const json body = json::parse(call.body, nullptr, false);
    const auto expected = call.headers.find("x-expect-instance");
    if (expected != call.headers.end() && expected->second != id)
      return {.status = 421, .body = "{}"};
    if (call.path == "/hold")
      return Hold(body, life_of_call);
    if (call.path == "/run-start") {
      if (trouble) {
        const std::optional<reply> instead = trouble(*this, body);
        if (instead)
          return *instead;
      }
      const std::scoped_lock lock(*mutex);
      return life == life_of_call ? Start(body) : reply{.drop = true};
    }
    if (call.path == "/run-stop") {
      const std::scoped_lock lock(*mutex);
      return Stop(body);
    }
    return {.status = 404, .body = "{}"};
  }

  // The caller holds the lock.
  reply Start(const json& order) {
    const std::string task = order.at("task");
    const std::uint64_t attempt = order.at("attempt");
    if (!Accept(order))
      return Conflict("fence");
    const auto found = running_.find(task);
    const bool there =
        found != running_.end() && runs->at(found->second).attempt == attempt;
    if (there)
      return Ok();
    const std::int64_t deadline = order.at("deadlineMs");
    if (deadline <= Clock())
      return Conflict("late");
    lease_until_ = std::max(lease_until_, std::min(deadline, Clock() + 10000));
    const auto closed = closed_.find(task);
    const bool old = (closed != closed_.end() && attempt <= closed->second) ||
                     found != running_.end();
    if (old)
      return Conflict("old");
    running_[task] = runs->size();
    runs->push_back({.task = task,
                     .attempt = attempt,
                     .worker = index,
                     .from = SinceStart()});
    Record().Write(id + " runs " + task + " attempt " +
                   std::to_string(attempt));
    return Ok();
  }

  void Advance() {
    const std::scoped_lock lock(*mutex);
    if (!up)
      return;
    const bool lapsed = Clock() >= lease_until_;
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, number] : running_) {
      const run& each = runs->at(number);
      const auto stop = stops_at_.find(task);
      if (lapsed)
        due.emplace_back(task, "lapsed");
      else if (stop != stops_at_.end() && SinceStart() >= stop->second)
        due.emplace_back(task, "stopped");
      else if (SinceStart() - each.from >= work_ms(task))
        due.emplace_back(task, "done");
    }
    for (const auto& [task, how] : due)
      End(task, how);
  }

 private:
  reply Ok() const { return {.body = json{{"clockMs", Clock()}}.dump()}; }
  reply Conflict(const char* reason) const {
    return {.status = 409,
            .body = json{{"clockMs", Clock()}, {"reason", reason}}.dump()};
  }

  bool Accept(const json& order) {
    const std::uint64_t token = order.value("fencingToken", std::uint64_t{0});
    if (token < token_)
      return false;
    token_ = token;
    return true;
  }

  void EndRun(std::size_t number, const std::string& how) {
    runs->at(number).until = SinceStart();
    runs->at(number).how = how;
    Record().Write(id + " ends " + runs->at(number).task + " attempt " +
                   std::to_string(runs->at(number).attempt) + ": " + how);
  }

  void End(const std::string& task, const std::string& how) {
    const std::size_t number = running_.at(task);
    EndRun(number, how);
    running_.erase(task);
    stops_at_.erase(task);
    std::uint64_t& closed = closed_[task];
    closed = std::max(closed, runs->at(number).attempt);
    ends_.push_back({++last_end_, task, runs->at(number).attempt, how, ""});
  }

  reply Stop(const json& order) {
    if (!Accept(order))
      return Conflict("fence");
    const std::string task = order.at("task");
    const std::uint64_t attempt = order.at("attempt");
    std::uint64_t& closed = closed_[task];
    closed = std::max(closed, attempt);
    const auto found = running_.find(task);
    if (found != running_.end() && runs->at(found->second).attempt <= attempt &&
        !stops_at_.contains(task))
      stops_at_[task] = SinceStart() + 100;
    return Ok();
  }

  reply Hold(const json& order, std::uint64_t life_of_call) {
    const std::uint64_t acked = order.value("ackedUpto", std::uint64_t{0});
    const std::int64_t until =
        SinceStart() + order.value("waitMs", std::int64_t{0});
    {
      const std::scoped_lock lock(*mutex);
      if (!Accept(order))
        return Conflict("fence");
      if (order.contains("deadlineMs")) {
        lease_until_ = std::max(
            lease_until_,
            std::min(order["deadlineMs"].get<std::int64_t>(), Clock() + 10000));
      }
      std::erase_if(ends_, [&](const json& each) {
        return each[0].get<std::uint64_t>() <= acked;
      });
    }
    for (;;) {
      {
        const std::scoped_lock lock(*mutex);
        if (!up || life != life_of_call)
          return {.drop = true};
        if (!ends_.empty() || SinceStart() >= until)
          return Listing();
      }
      Sleep(5);
    }
  }

  reply Listing() const {
    json running = json::array();
    for (const auto& [task, number] : running_)
      running.push_back({task, runs->at(number).attempt, "", 100, 0});
    json finished = json::array();
    for (const json& each : ends_)
      finished.push_back(each);
    return {.body = json{{"clockMs", Clock()},
                         {"born", born},
                         {"running", running},
                         {"finished", finished}}
                        .dump()};
  }

  std::int64_t started_ = SinceStart();
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::uint64_t last_end_ = 0;
  std::map<std::string, std::size_t> running_;
  std::map<std::string, std::uint64_t> closed_;
  std::map<std::string, std::int64_t> stops_at_;
  std::vector<json> ends_;
};

struct entry_process {
  std::string name;
  int callers = 0;
  int probes = 0;
  int peers = 0;
  int metrics = 0;
  int store = 0;
  pid_t pid = 0;
};

// A case can't run.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class site {
 public:
  site(int entries, int workers, std::string daemon)
      : daemon_(std::move(daemon)) {
    char folder[] = "/tmp/review-XXXXXX";
    if (mkdtemp(folder) == nullptr)
      throw cannot_run("no temporary folder");
    folder_ = folder;
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < workers; ++i)
      AddWorker(i);
    std::thread([this] { Advance(); }).detach();
    std::thread([this] { Register(); }).detach();
    Configure();
    for (int i = 0; i < entries; ++i)
      AddEntry(i);
  }

  void StartEntries() {
    for (int i = 0; i < static_cast<int>(entries_.size()); ++i)
      Start(i);
    Await("the entries are ready", 60000, [&] {
      for (const entry_process& each : entries_) {
        if (Call(each.probes, "GET", "/readiness", "Host: x\r\n", "", 500)
                .status != 200)
          return false;
      }
      return true;
    });
  }

  // Ends the entries. The threads of the stand-ins go on until the process
  // ends, so a site is never destroyed.
  void Stop() {
    for (entry_process& each : entries_)
      Kill(each);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  store& platform() { return store_; }
  std::vector<std::unique_ptr<worker>>& workers() { return workers_; }
  std::vector<entry_process>& entries() { return entries_; }
  std::mutex& mutex() { return mutex_; }
  std::vector<run> Runs() {
    const std::scoped_lock lock(mutex_);
    return runs_;
  }
  void SetWork(const std::string& job, std::int64_t ms) {
    const std::scoped_lock lock(work_mutex_);
    work_ms_[job] = ms;
  }

  void Start(int index) {
    entry_process& each = entries_.at(static_cast<std::size_t>(index));
    const std::string file = folder_ + "/" + each.name + ".yaml";
    const auto address = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream(file) << "entry: \"" << each.name << "\"\n"
                        << "failure_domain: \"zone-" << index << "\"\n"
                        << "callers_listen: " << address(each.callers)
                        << "probes_listen: " << address(each.probes)
                        << "peers_listen: " << address(each.peers)
                        << "metrics_listen: " << address(each.metrics)
                        << "store_address: " << address(each.store)
                        << "cpu_share: 0.25\nshutdown_grace_s: 6\n"
                        << "longest_lease_ms: 10000\ntask_stop_ms: 200\n"
                        << "max_record_bytes: 262144\n"
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
    Record().Write(each.name + " is started");
  }

  void Kill(entry_process& each) {
    if (each.pid <= 0)
      return;
    kill(each.pid, SIGKILL);
    waitpid(each.pid, nullptr, 0);
    each.pid = 0;
  }

  bool HasEnded(entry_process& each) {
    if (each.pid <= 0)
      return false;
    int status = 0;
    return waitpid(each.pid, &status, WNOHANG) == each.pid;
  }

  // The memory that the entry uses, in MB.
  std::int64_t MemoryMb(const entry_process& each) const {
    // Before exec the process is a copy of this one.
    std::error_code error;
    const auto program = std::filesystem::read_symlink(
        "/proc/" + std::to_string(each.pid) + "/exe", error);
    if (error || program.filename() != "parsleyhitchd")
      return 0;
    std::ifstream status("/proc/" + std::to_string(each.pid) + "/status");
    std::string word;
    while (status >> word) {
      std::int64_t kb = 0;
      if (word == "VmRSS:" && status >> kb)
        return kb / 1024;
    }
    return 0;
  }

  std::string Log(int index) {
    std::ifstream file(folder_ + "/" + entries_.at(index).name + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  void KeepLogs(const std::string& target) {
    for (const entry_process& each : entries_) {
      std::error_code ignored;
      std::filesystem::copy_file(
          folder_ + "/" + each.name + ".log", target + "/" + each.name + ".log",
          std::filesystem::copy_options::overwrite_existing, ignored);
    }
  }

  reply Ask(int entry,
            const std::string& method,
            const std::string& job,
            const std::string& body = "",
            int timeout_ms = 3000,
            const std::string& prefix = "/jobs/") {
    const reply answer =
        Call(entries_.at(static_cast<std::size_t>(entry)).callers, method,
             prefix + job,
             "Host: jobs.example\r\nX-Api-Key: key-1\r\nX-Deadline: " +
                 std::to_string(timeout_ms) +
                 "\r\nContent-Type: application/json\r\n",
             body, timeout_ms);
    Record().Write(entries_.at(static_cast<std::size_t>(entry)).name + " " +
                   method + " " + prefix + job + " -> " +
                   (answer.status == 0 ? "no answer"
                                       : std::to_string(answer.status) + " " +
                                             answer.body.substr(0, 80)));
    return answer;
  }

  // Submits a job of one step; each task works for `ms`.
  reply Submit(int entry,
               const std::string& job,
               int tasks,
               int gpu,
               std::int64_t ms,
               const std::string& prefix = "/jobs/") {
    SetWork(job, ms);
    const json body{{"spec", "spec of " + job},
                    {"phases",
                     {{{"count", tasks},
                       {"cpu", 4000},
                       {"memMb", 1000},
                       {"gpu", gpu},
                       {"estimateMs", ms}}}}};
    return Ask(entry, "POST", job, body.dump(), 3000, prefix);
  }

  std::string StateOf(int entry, const std::string& job) {
    const reply answer = Ask(entry, "GET", job);
    const json body = json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("state", std::string()) : "";
  }

  template <typename Condition>
  bool WaitFor(std::int64_t ms, Condition condition) {
    const std::int64_t until = SinceStart() + ms;
    while (SinceStart() < until) {
      if (condition())
        return true;
      Sleep(20);
    }
    return condition();
  }

  template <typename Condition>
  void Await(const std::string& what, std::int64_t ms, Condition condition) {
    if (!WaitFor(ms, condition))
      throw cannot_run("not in time: " + what);
  }

  // The run of the task that goes on now, if any.
  std::optional<run> Running(const std::string& job) {
    for (const run& each : Runs()) {
      if (each.until == 0 && each.task.starts_with(job))
        return each;
    }
    return {};
  }

 private:
  void AddWorker(int index) {
    auto each = std::make_unique<worker>();
    each->index = index;
    each->port = FreePort();
    each->id = "i-" + std::to_string(1000 + index);
    each->rack = "r-" + std::to_string(index / 2);
    each->runs = &runs_;
    each->mutex = &mutex_;
    each->work_ms = [this](const std::string& task) {
      const std::scoped_lock lock(work_mutex_);
      const auto found = work_ms_.find(task.substr(0, task.find('.')));
      return found == work_ms_.end() ? std::int64_t{1000} : found->second;
    };
    worker* raw = each.get();
    review::Serve(each->port,
                  [raw](const request& call) { return raw->Handle(call); });
    workers_.push_back(std::move(each));
  }

  void AddEntry(int index) {
    entry_process each{.name = "entry-" + std::to_string(index),
                       .callers = FreePort(),
                       .probes = FreePort(),
                       .peers = FreePort(),
                       .metrics = FreePort(),
                       .store = FreePort()};
    review::Serve(each.store, [this, index](const request& call) {
      return store_.Handle(call, index);
    });
    entries_.push_back(each);
  }

  void Advance() {
    for (;;) {
      for (const auto& each : workers_)
        each->Advance();
      Sleep(5);
    }
  }

  // Each worker writes its entry every 1.5 s; one that is down for three such
  // intervals is removed.
  void Register() {
    std::uint64_t sequence = 0;
    for (;;) {
      ++sequence;
      for (const auto& each : workers_) {
        std::string value;
        {
          const std::scoped_lock lock(mutex_);
          if (each->up && !each->cut_from_store) {
            each->missed_beats = 0;
            value = json{{"service", "pool"},
                         {"address", "127.0.0.1:" + std::to_string(each->port)},
                         {"zone", "zone-0"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"sequence", sequence},
                         {"born", each->born},
                         {"labels", {"a", each->rack}},
                         {"capacity",
                          {{"cpu", each->capacity_cpu},
                           {"memMb", 65536},
                           {"gpu", each->gpu}}}}
                        .dump();
          } else if (++each->missed_beats != 3) {
            continue;
          } else {
            Record().Write("the store removes the entry of " + each->id);
          }
        }
        store_.Put("keyed.servers", each->id, value);
      }
      Sleep(1500);
    }
  }

  void Configure() {
    const auto route = [](const char* name, int priority) {
      return json{{"name", name},
                  {"host", "jobs.example"},
                  {"pathPrefix", std::string("/") + name + "/"},
                  {"service", "pool"},
                  {"priority", priority},
                  {"maxAttempts", 3},
                  {"stretch", 3},
                  {"targetLatencyMs", 1000},
                  {"timeoutMs", 3000}};
    };
    store_.Put(
        "keyed.op", "config",
        json{{"version", 1},
             {"routes", {route("jobs", 1), route("urgent", 0)}},
             {"services", {{{"name", "pool"}, {"rejectsOverload", false}}}},
             {"tenants",
              {{{"name", "team"},
                {"apiKeys", {"key-1"}},
                {"guaranteed", {{"gpu", 8}}}}}},
             {"limits", json::object()}}
            .dump());
  }

  const std::string daemon_;
  std::string folder_;
  std::mutex mutex_;
  std::mutex work_mutex_;
  std::map<std::string, std::int64_t> work_ms_;
  std::vector<run> runs_;
  store store_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<entry_process> entries_;
};

}  // namespace review

#endif  // REVIEW_SITE_H_
