// The workers are the simulated ones of tests/support, driven by HTTP calls and
// real time. A task's requirements come from its job's `spec`, in which tests
// pass the steps of the job in the platform's encoding.

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

constexpr std::chrono::milliseconds kAdvanceInterval{10};
constexpr std::chrono::milliseconds kHeartbeatInterval{500};
// A worker is removed from the registry after this number of missed heartbeats.
constexpr std::uint32_t kMaxMissedHeartbeats = 3;
constexpr std::size_t kFirstWorkerIndex = 2;
// When a start that was left unanswered is carried out.
constexpr std::chrono::milliseconds kLateBy{2500};
// As in the configuration that the tests publish.
constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::uint32_t kWorkersPerRack = 4;
constexpr char kService[] = "pool";
// Workers belong to these in turn.
constexpr std::uint32_t kFailureDomains = 2;
// By the users' bounds nothing is started in an evacuated failure domain later
// than this, also while the store is in trouble.
constexpr work::duration kEvacuationBound{11000};

constexpr double kSlowSpeed = 0.2;

std::string DomainName(std::size_t worker) {
  return "domain-" + std::to_string(worker % kFailureDomains);
}

const char* EndKindName(work::run_end_kind how) {
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

const char* RefusalReason(work::order_outcome outcome) {
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

// Decodes the steps from a job's `spec`; empty if it is JSON but holds no valid
// steps. Throws json::parse_error otherwise.
std::vector<work::step_spec> ParseSteps(const std::string& text) {
  const auto call = platform::DecodeCall(
      {.method = "POST",
       .path = "/x/0000000000000001",
       .body = json{{"spec", ""}, {"phases", json::parse(text)}}.dump()});
  if (!call || !call->request)
    return {};
  return call->request->steps;
}

// A hold call that waits for a task to end.
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
        workers_(addresses.size() - kFirstWorkerIndex),
        missed_heartbeats_(workers_.size()),
        shedding_(workers_.size()),
        late_(workers_.size()),
        addresses_(advertised),
        monitor_(workers_, MonitorHooks()),
        advance_timer_(io),
        heartbeat_timer_(io) {
    Serve(addresses[0], [this](const auto& call, const auto& respond) {
      store_.HandleCall(call, respond);
    });
    Serve(addresses[1], [this](const auto& call, const auto& respond) {
      HandleControl(call, respond);
    });
    for (std::size_t i = 0; i < workers_.size(); ++i)
      AddWorker(i, addresses[kFirstWorkerIndex + i]);
    AdvanceWorkers();
    SendHeartbeats();
  }

 private:
  using call_handler = std::function<void(const wire::http_call&,
                                          const runtime::http_responder&)>;

  void Serve(const std::string& address, call_handler handler) {
    servers_.push_back(std::make_unique<runtime::http_server>(
        io_, address, kMaxBodyBytes,
        runtime::http_handlers{
            .call =
                [handler = std::move(handler)](
                    const wire::http_call& call, std::uint64_t,
                    const runtime::http_responder& respond) {
                  handler(call, respond);
                },
            .closed = [](std::uint64_t) {}}));
  }

  tests::monitor_hooks MonitorHooks() {
    return {.spec_of =
                [this](const work::task_id& task) {
                  return steps_.at(task.job).at(task.step);
                },
            // A task runs for exactly the time its caller estimated.
            .duration_of =
                [this](const work::task_id& task) {
                  return steps_.at(task.job).at(task.step).estimate;
                },
            .now = [this] { return Now(); }};
  }

  void AddWorker(std::size_t index, const std::string& address) {
    tests::simulated_worker& each = workers_[index];
    each.id = work::worker_id("worker-" + std::to_string(index));
    each.rack =
        work::rack_id("rack-" + std::to_string(index / kWorkersPerRack));
    each.capacity = {
        .cpu_millis = 64000, .memory_mb = 65536, .accelerators = 8};
    if (addresses_.size() <= index)
      addresses_.push_back(address);
    monitor_.Watch(each);
    Serve(address, [this, index](const auto& call, const auto& respond) {
      HandleOrder(index, call, respond);
    });
  }

  work::duration Now() const {
    return std::chrono::duration_cast<work::duration>(
        std::chrono::steady_clock::now() - start_time_);
  }

  void AdvanceWorkers() {
    for (tests::simulated_worker& each : workers_)
      each.Advance(Now());
    AnswerHolds();
    advance_timer_.expires_after(kAdvanceInterval);
    advance_timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        AdvanceWorkers();
    });
  }

  void SendHeartbeats() {
    for (std::size_t i = 0; i < workers_.size(); ++i)
      SendHeartbeat(i);
    heartbeat_timer_.expires_after(kHeartbeatInterval);
    heartbeat_timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        SendHeartbeats();
    });
  }

  void SendHeartbeat(std::size_t index) {
    const tests::simulated_worker& each = workers_[index];
    if (store_.down)
      return;
    if (each.cut || each.cut_from_store || !each.alive) {
      missed_heartbeats_[index] += 1;
      if (missed_heartbeats_[index] == kMaxMissedHeartbeats)
        store_.Put("keyed.servers", each.id.value(), "");
      return;
    }
    missed_heartbeats_[index] = 0;
    store_.Put("keyed.servers", each.id.value(),
               json{{"service", kService},
                    {"address", addresses_[index]},
                    {"zone", DomainName(index)},
                    {"state", "ready"},
                    {"born", each.life},
                    {"labels", {"a", each.rack.value()}},
                    {"capacity",
                     {{"cpu", each.capacity.cpu_millis},
                      {"memMb", each.capacity.memory_mb},
                      {"gpu", each.capacity.accelerators}}}}
                   .dump());
  }

  void HandleControl(const wire::http_call& call,
                     const runtime::http_responder& respond) {
    if (call.path == "/operator")
      store_.Put("keyed.op", "config", call.body);
    if (call.path == "/control")
      Control(call.body);
    if (call.path == "/register")
      store_.Put("keyed.servers", "of-another-writer", call.body);
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
      workers_[i].fails_all_tasks = std::ranges::count(control->failing, i) > 0;
      if (std::ranges::count(control->restart, i) > 0)
        workers_[i].Restart(Now());
      shedding_[i] = std::ranges::count(control->shedding, i) > 0;
      late_[i] = std::ranges::count(control->late, i) > 0;
      workers_[i].cut_from_store = std::ranges::count(control->unlisted, i) > 0;
      SetCrashed(workers_[i], std::ranges::count(control->crashed, i) > 0);
      workers_[i].speed =
          std::ranges::count(control->slow, i) > 0 ? kSlowSpeed : 1.0;
    }
    for (std::uint32_t i = 0; i < kFailureDomains; ++i)
      SetEvacuated(i, std::ranges::count(control->evacuated, i) > 0);
  }

  // Writes the operators' request, or its end, if there is a change.
  void SetEvacuated(std::uint32_t domain, bool evacuated) {
    const std::string name = DomainName(domain);
    if (evacuated == evacuated_since_.contains(name))
      return;
    store_.Put("keyed.op", "evacuate/" + name, evacuated ? "{}" : "");
    if (evacuated)
      evacuated_since_[name] = Now();
    else
      evacuated_since_.erase(name);
  }

  void CheckEvacuation(std::size_t index, const work::task_id& task) {
    const auto since = evacuated_since_.find(DomainName(index));
    if (since == evacuated_since_.end() ||
        Now() - since->second <= kEvacuationBound)
      return;
    evacuation_breaches_.push_back(platform::TaskName(task) +
                                   " was started in an evacuated domain");
  }

  void SetCrashed(tests::simulated_worker& worker, bool crashed) {
    if (crashed && worker.alive)
      worker.Crash();
    if (!crashed && !worker.alive)
      worker.Restart(Now());
  }

  std::string Journal() const {
    std::set<std::string> exhausted;
    for (const auto& [unit, failures] : monitor_.failures()) {
      if (failures >= kMaxAttempts)
        exhausted.insert(unit.job.value());
    }
    std::uint64_t running = 0;
    for (const tests::simulated_worker& each : workers_)
      running += each.running().size();
    std::set<std::string> jobs;
    for (const auto& [job, steps] : steps_)
      jobs.insert(job.value());
    std::vector<std::string> breaches = monitor_.breaches();
    breaches.insert(breaches.end(), evacuation_breaches_.begin(),
                    evacuation_breaches_.end());
    return wire::ToJson(
        site_journal{.breaches = std::move(breaches),
                     .starts = monitor_.starts(),
                     .running = running,
                     .jobs = {jobs.begin(), jobs.end()},
                     .exhausted = {exhausted.begin(), exhausted.end()}});
  }

  void HandleOrder(std::size_t index,
                   const wire::http_call& call,
                   const runtime::http_responder& respond) {
    // A worker that can't be reached does not answer, so its caller times out.
    if (workers_[index].cut || !workers_[index].alive)
      return;
    if (shedding_[index] && shedder_.Refuses()) {
      respond(JsonReply(503, "{}"));
      return;
    }
    const json body = json::parse(call.body, nullptr, false);
    const auto expected = call.headers.find("x-expect-instance");
    const bool addressed_here = expected != call.headers.end() &&
                                expected->second == workers_[index].id.value();
    if (!body.is_object() || !addressed_here) {
      respond(JsonReply(addressed_here ? 400 : 421, "{}"));
      return;
    }
    if (call.path == "/hold")
      Hold(index, body, respond);
    else if (call.path == "/run-start" && late_[index] && ++starts_ % 2 == 0)
      StartLate(index, body);
    else
      respond(OrderReply(index, call.path == "/run-start"
                                    ? StartInTime(index, body)
                                    : Stop(index, body)));
  }

  // A start that is carried out when it arrives, as no late one is.
  work::order_outcome StartInTime(std::size_t index, const json& body) {
    const std::uint64_t started_before = monitor_.starts();
    const work::order_outcome outcome = Start(index, body);
    if (monitor_.starts() != started_before)
      CheckEvacuation(
          index, *platform::ParseTaskName(body.value("task", std::string())));
    return outcome;
  }

  // Leaves the order unanswered and carries it out after newer ones, unless the
  // process that took it has ended.
  void StartLate(std::size_t index, const json& body) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, kLateBy);
    timer->async_wait([this, timer, index, body, life = workers_[index].life](
                          const asio::error_code& error) {
      if (!error && workers_[index].alive && workers_[index].life == life)
        Start(index, body);
    });
  }

  work::order_outcome Start(std::size_t index, const json& body) {
    const auto task =
        platform::ParseTaskName(body.value("task", std::string()));
    if (!task)
      return work::order_outcome::kRefused;
    const std::string spec = body.value("spec", std::string());
    if (!steps_.contains(task->job))
      steps_.emplace(task->job, ParseSteps(spec));
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
      respond(OrderReply(index, outcome));
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
    std::vector<waiting_hold> remaining;
    for (waiting_hold& each : std::exchange(holds_, {})) {
      const tests::simulated_worker& worker = workers_[each.worker];
      const bool answerable =
          worker.HasEndAfter(each.acknowledged) || Now() >= each.until;
      if (worker.cut || !worker.alive)
        continue;
      if (answerable)
        each.respond(JsonReply(200, ListingJson(worker)));
      else
        remaining.push_back(std::move(each));
    }
    holds_.insert(holds_.end(), remaining.begin(), remaining.end());
  }

  std::string ListingJson(const tests::simulated_worker& worker) const {
    const work::worker_listing listing = worker.Listing();
    json running = json::array();
    for (const work::running_task& each : listing.running) {
      running.push_back({platform::TaskName(each.task), each.attempt,
                         each.checkpoint, each.percent});
    }
    json finished = json::array();
    for (const work::ended_task& each : listing.ended) {
      finished.push_back({each.number, platform::TaskName(each.task),
                          each.attempt, EndKindName(each.how),
                          each.checkpoint});
    }
    return json{{"clockMs", worker.Clock(Now()).count()},
                {"born", listing.life},
                {"running", std::move(running)},
                {"finished", std::move(finished)}}
        .dump();
  }

  wire::http_reply OrderReply(std::size_t index,
                              work::order_outcome outcome) const {
    json body{{"clockMs", workers_[index].Clock(Now()).count()}};
    if (outcome == work::order_outcome::kDone)
      return JsonReply(200, body.dump());
    if (outcome == work::order_outcome::kRefused)
      return JsonReply(400, body.dump());
    body["reason"] = RefusalReason(outcome);
    return JsonReply(409, body.dump());
  }

  asio::io_context& io_;
  const std::chrono::steady_clock::time_point start_time_ =
      std::chrono::steady_clock::now();
  store_stand_in store_;
  std::vector<tests::simulated_worker> workers_;
  std::vector<std::uint32_t> missed_heartbeats_;
  std::vector<bool> shedding_;
  std::vector<bool> late_;
  shedder shedder_;
  std::uint64_t starts_ = 0;
  std::vector<std::string> addresses_;
  std::map<work::job_id, std::vector<work::step_spec>> steps_;
  tests::run_monitor monitor_;
  std::map<std::string, work::duration> evacuated_since_;
  std::vector<std::string> evacuation_breaches_;
  std::vector<waiting_hold> holds_;
  asio::steady_timer advance_timer_;
  asio::steady_timer heartbeat_timer_;
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
