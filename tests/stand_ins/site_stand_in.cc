// The workers are those of the model under the manual clock, driven by calls
// and real time. What a task needs is read from the text that its caller hands
// in: the steps of the job, in the platform's encoding.

#include "stand_ins/site_stand_in.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "platform/client_codec.h"
#include "platform/worker_codec.h"
#include "stand_ins/site_journal.h"
#include "stand_ins/stand_in.h"
#include "stand_ins/store_stand_in.h"
#include "support/run_monitor.h"

namespace parsleyhitch::stand_ins {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds kStep{10};
constexpr std::chrono::milliseconds kBeatInterval{500};
// Beats without which a worker's entry is dropped.
constexpr std::uint32_t kMissedBeats = 3;
constexpr std::size_t kFirstWorker = 2;
constexpr std::uint32_t kWorkersPerRack = 4;
constexpr char kService[] = "pool";

const char* NameOf(work::run_end_kind how) {
  switch (how) {
    case work::run_end_kind::kDone:
      return "done";
    case work::run_end_kind::kFailed:
      return "failed";
    case work::run_end_kind::kStopped:
      return "stopped";
    case work::run_end_kind::kLeaseExpired:
      return "lapsed";
    case work::run_end_kind::kGangMemberEnded:
      return "broken";
    case work::run_end_kind::kGangIncomplete:
      break;
  }
  return "alone";
}

const char* ReasonOf(work::order_outcome outcome) {
  switch (outcome) {
    case work::order_outcome::kFenced:
      return "fence";
    case work::order_outcome::kOutdated:
      return "old";
    case work::order_outcome::kTooLate:
      return "late";
    default:
      return "room";
  }
}

// The steps that a job's text holds.
std::vector<work::step_spec> StepsOf(const std::string& text) {
  const auto call = platform::DecodeCall(
      {.method = "POST",
       .path = "/x/0000000000000001",
       .body = json{{"spec", ""}, {"phases", json::parse(text)}}.dump()});
  if (!call || !call->request)
    return {};
  return call->request->steps;
}

// A read of a worker's lists that waits for an end.
struct waiting_hold {
  std::size_t worker = 0;
  std::uint64_t acknowledged = 0;
  work::duration until{0};
  runtime::http_responder respond;
};

class site_stand_in {
 public:
  site_stand_in(asio::io_context& io,
                const std::vector<std::string>& addresses,
                const std::vector<std::string>& advertised)
      : io_(io),
        store_(io),
        workers_(addresses.size() - kFirstWorker),
        missed_beats_(workers_.size()),
        addresses_(advertised),
        monitor_(workers_, MonitorHooks()),
        step_timer_(io),
        beat_timer_(io) {
    Serve(addresses[0], [this](const auto& call, const auto& respond) {
      store_.Take(call, respond);
    });
    Serve(addresses[1], [this](const auto& call, const auto& respond) {
      TakeControl(call, respond);
    });
    for (std::size_t i = 0; i < workers_.size(); ++i)
      AddWorker(i, addresses[kFirstWorker + i]);
    Step();
    Beat();
  }

 private:
  using call_handler = std::function<void(const wire::http_call&,
                                          const runtime::http_responder&)>;

  void Serve(const std::string& address, call_handler take) {
    servers_.push_back(std::make_unique<runtime::http_server>(
        io_, address, kMaxBodyBytes,
        runtime::http_handlers{
            .call =
                [take = std::move(take)](
                    const wire::http_call& call, std::uint64_t,
                    const runtime::http_responder& respond) {
                  take(call, respond);
                },
            .closed = [](std::uint64_t) {}}));
  }

  tests::monitor_hooks MonitorHooks() {
    return {.spec_of =
                [this](const work::task_id& task) {
                  return steps_.at(task.job).at(task.step);
                },
            // What the caller estimates is what a task takes.
            .work_of =
                [this](const work::task_id& task) {
                  return steps_.at(task.job).at(task.step).estimate;
                },
            .now = [this] { return Now(); }};
  }

  void AddWorker(std::size_t index, const std::string& address) {
    tests::stage_worker& each = workers_[index];
    each.id = work::worker_id("worker-" + std::to_string(index));
    each.rack =
        work::rack_id("rack-" + std::to_string(index / kWorkersPerRack));
    each.capacity = {
        .cpu_millis = 64000, .memory_mb = 65536, .accelerators = 8};
    if (addresses_.size() <= index)
      addresses_.push_back(address);
    monitor_.ListenTo(each);
    Serve(address, [this, index](const auto& call, const auto& respond) {
      TakeOrder(index, call, respond);
    });
  }

  work::duration Now() const {
    return std::chrono::duration_cast<work::duration>(
        std::chrono::steady_clock::now() - begun_);
  }

  void Step() {
    for (tests::stage_worker& each : workers_)
      each.Advance(Now());
    AnswerHolds();
    step_timer_.expires_after(kStep);
    step_timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        Step();
    });
  }

  void Beat() {
    for (std::size_t i = 0; i < workers_.size(); ++i)
      BeatOf(i);
    beat_timer_.expires_after(kBeatInterval);
    beat_timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        Beat();
    });
  }

  void BeatOf(std::size_t index) {
    const tests::stage_worker& each = workers_[index];
    if (store_.down)
      return;
    if (each.cut) {
      missed_beats_[index] += 1;
      if (missed_beats_[index] == kMissedBeats)
        store_.Put("keyed.servers", each.id.value(), "");
      return;
    }
    missed_beats_[index] = 0;
    store_.Put("keyed.servers", each.id.value(),
               json{{"service", kService},
                    {"address", addresses_[index]},
                    {"state", "ready"},
                    {"born", each.life},
                    {"labels", {"a", each.rack.value()}},
                    {"capacity",
                     {{"cpu", each.capacity.cpu_millis},
                      {"memMb", each.capacity.memory_mb},
                      {"gpu", each.capacity.accelerators}}}}
                   .dump());
  }

  void TakeControl(const wire::http_call& call,
                   const runtime::http_responder& respond) {
    if (call.path == "/operator")
      store_.Put("keyed.op", "config", call.body);
    if (call.path == "/control")
      Control(call.body);
    respond(JsonReply(200, call.path == "/journal" ? Journal() : "{}"));
  }

  void Control(const std::string& body) {
    const auto control =
        wire::ValueOf([&] { return wire::FromJson<site_control>(body); });
    if (!control)
      return;
    store_.down = control->store_down;
    store_.lose_answers = control->lose_answers;
    if (control->compact)
      store_.Compact();
    for (std::uint32_t i = 0; i < workers_.size(); ++i) {
      workers_[i].cut = std::ranges::count(control->cut, i) > 0;
      workers_[i].fails_everything =
          std::ranges::count(control->failing, i) > 0;
      if (std::ranges::count(control->restart, i) > 0)
        workers_[i].Restart(Now());
    }
  }

  std::string Journal() const {
    std::uint64_t running = 0;
    for (const tests::stage_worker& each : workers_)
      running += each.running().size();
    std::set<std::string> jobs;
    for (const auto& [job, steps] : steps_)
      jobs.insert(job.value());
    return wire::ToJson(site_journal{.breaches = monitor_.breaches(),
                                     .starts = monitor_.starts(),
                                     .running = running,
                                     .jobs = {jobs.begin(), jobs.end()}});
  }

  void TakeOrder(std::size_t index,
                 const wire::http_call& call,
                 const runtime::http_responder& respond) {
    // No answer comes from a worker out of reach; its caller gives up.
    if (workers_[index].cut)
      return;
    const json body = json::parse(call.body, nullptr, false);
    const auto expected = call.headers.find("x-expect-instance");
    const bool meant = expected != call.headers.end() &&
                       expected->second == workers_[index].id.value();
    if (!body.is_object() || !meant) {
      respond(JsonReply(meant ? 400 : 421, "{}"));
      return;
    }
    if (call.path == "/hold")
      Hold(index, body, respond);
    else
      respond(ReplyTo(index, call.path == "/run-start" ? Start(index, body)
                                                       : Stop(index, body)));
  }

  work::order_outcome Start(std::size_t index, const json& body) {
    const auto task =
        platform::ParseTaskName(body.value("task", std::string()));
    if (!task)
      return work::order_outcome::kRefused;
    const std::string spec = body.value("spec", std::string());
    if (!steps_.contains(task->job))
      steps_.emplace(task->job, StepsOf(spec));
    return workers_[index].Start(
        {.target = {.token = body.value("fencingToken", std::uint64_t{0})},
         .task = *task,
         .attempt = body.value("attempt", std::uint64_t{0}),
         .spec = spec,
         .lease_until =
             work::duration(body.value("deadlineMs", std::int64_t{0}))},
        Now());
  }

  work::order_outcome Stop(std::size_t index, const json& body) {
    const auto task =
        platform::ParseTaskName(body.value("task", std::string()));
    if (!task)
      return work::order_outcome::kRefused;
    return workers_[index].Stop(
        {.target = {.token = body.value("fencingToken", std::uint64_t{0})},
         .task = *task,
         .attempt = body.value("attempt", std::uint64_t{0})},
        Now());
  }

  void Hold(std::size_t index,
            const json& body,
            const runtime::http_responder& respond) {
    const std::uint64_t acknowledged =
        body.value("ackedUpto", std::uint64_t{0});
    std::optional<work::duration> lease_until;
    if (body.contains("deadlineMs"))
      lease_until = work::duration(body["deadlineMs"].get<std::int64_t>());
    const work::order_outcome outcome = workers_[index].Hold(
        {.target = {.token = body.value("fencingToken", std::uint64_t{0})},
         .lease_until = lease_until,
         .acknowledged = acknowledged},
        Now());
    if (outcome != work::order_outcome::kDone) {
      respond(ReplyTo(index, outcome));
      return;
    }
    const work::duration wait(body.value("waitMs", std::int64_t{0}));
    holds_.push_back({.worker = index,
                      .acknowledged = acknowledged,
                      .until = Now() + wait,
                      .respond = respond});
    AnswerHolds();
  }

  void AnswerHolds() {
    std::vector<waiting_hold> left;
    for (waiting_hold& each : std::exchange(holds_, {})) {
      const tests::stage_worker& worker = workers_[each.worker];
      const bool due =
          worker.HasUnlistedEnd(each.acknowledged) || Now() >= each.until;
      if (worker.cut)
        continue;
      if (due)
        each.respond(JsonReply(200, ListsOf(worker)));
      else
        left.push_back(std::move(each));
    }
    holds_.insert(holds_.end(), left.begin(), left.end());
  }

  std::string ListsOf(const tests::stage_worker& worker) const {
    const work::worker_listing listing = worker.Listing();
    json running = json::array();
    for (const work::running_task& each : listing.running) {
      running.push_back(
          {platform::TaskName(each.task), each.attempt, each.checkpoint, 0});
    }
    json finished = json::array();
    for (const work::ended_task& each : listing.ended) {
      finished.push_back({each.number, platform::TaskName(each.task),
                          each.attempt, NameOf(each.how), each.checkpoint});
    }
    return json{{"clockMs", worker.Clock(Now()).count()},
                {"born", listing.life},
                {"running", std::move(running)},
                {"finished", std::move(finished)}}
        .dump();
  }

  wire::http_reply ReplyTo(std::size_t index,
                           work::order_outcome outcome) const {
    json body{{"clockMs", workers_[index].Clock(Now()).count()}};
    if (outcome == work::order_outcome::kDone)
      return JsonReply(200, body.dump());
    if (outcome == work::order_outcome::kRefused)
      return JsonReply(400, body.dump());
    body["reason"] = ReasonOf(outcome);
    return JsonReply(409, body.dump());
  }

  asio::io_context& io_;
  const std::chrono::steady_clock::time_point begun_ =
      std::chrono::steady_clock::now();
  store_stand_in store_;
  std::vector<tests::stage_worker> workers_;
  std::vector<std::uint32_t> missed_beats_;
  std::vector<std::string> addresses_;
  std::map<work::job_id, std::vector<work::step_spec>> steps_;
  tests::run_monitor monitor_;
  std::vector<waiting_hold> holds_;
  asio::steady_timer step_timer_;
  asio::steady_timer beat_timer_;
  std::vector<std::unique_ptr<runtime::http_server>> servers_;
};

}  // namespace

void RunSite(asio::io_context& io,
             const std::vector<std::string>& addresses,
             const std::vector<std::string>& advertised) {
  const site_stand_in site(io, addresses, advertised);
  io.run();
}

}  // namespace parsleyhitch::stand_ins
