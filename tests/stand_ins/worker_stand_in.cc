// Stand-in for a worker. HTTP calls: POST /sync with the tasks to run, POST
// /services/NAME for requests to the endpoint, GET /journal for the tests, and
// POST /control.

#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "replay/fake_worker.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in.h"
#include "wire/worker_codec.h"

namespace parsleyhitch::stand_ins {

namespace {

model::timestamp Now() {
  return std::chrono::time_point_cast<model::duration>(
      std::chrono::system_clock::now());
}

class worker_stand_in {
 public:
  worker_stand_in(asio::io_context& io,
                  const std::string& address,
                  std::uint32_t accelerators,
                  std::int64_t task_ms)
      : io_(io),
        worker_{.accelerators = accelerators},
        task_ms_(task_ms),
        server_(io,
                address,
                kMaxBodyBytes,
                {.call =
                     [this](const wire::http_call& call,
                            std::uint64_t,
                            const runtime::http_responder& respond) {
                       HandleCall(call, respond);
                     },
                 .closed = [](std::uint64_t) {}}) {}

 private:
  void HandleCall(const wire::http_call& call,
                  const runtime::http_responder& respond) {
    if (call.path == "/control") {
      Control(call.body);
      respond(JsonReply(200, "{}"));
    } else if (call.path == "/journal") {
      respond(JsonReply(200, Journal()));
    } else if (call.path == "/sync") {
      HandleSync(call.body, respond);
    } else {
      HandleRequest(call, respond);
    }
  }

  void Control(const std::string& body) {
    const auto control =
        wire::ValueOf([&] { return DecodeWorkerControl(body); });
    if (!control)
      return;
    worker_.fails_tasks = control->fails_tasks;
    worker_.ignores_checkpoints = control->ignores_checkpoints;
    worker_.leaving = control->leaving;
    answer_ms_ = control->answer_ms;
    answers_ = control->answers;
  }

  void HandleSync(const std::string& body,
                  const runtime::http_responder& respond) {
    const auto sync = wire::ValueOf([&] { return wire::DecodeSync(body); });
    if (!sync) {
      respond(JsonReply(400, "{}"));
      return;
    }
    replay::fake_sync_result done = replay::Sync(
        std::move(worker_), *sync, Now(),
        [this](const model::job_id&) { return model::duration(task_ms_); });
    worker_ = std::move(done.worker);
    respond(JsonReply(200, wire::EncodeReport(done.report)));
  }

  std::string Journal() {
    worker_ = replay::Advance(std::move(worker_), Now());
    std::vector<journal_task> tasks;
    for (const replay::task_change& each : worker_.journal) {
      tasks.push_back({.job = each.job,
                       .token = each.token,
                       .state = each.state,
                       .at = each.at});
    }
    return EncodeJournal({.tasks = std::move(tasks), .runs = runs_});
  }

  void HandleRequest(const wire::http_call& call,
                     const runtime::http_responder& respond) {
    if (worker_.leaving) {
      respond({.status = 503,
               .content_type = "text/plain",
               .headers = {{"Parsleyhitch-Leaving", "true"}}});
      return;
    }
    const auto key = call.headers.find("idempotency-key");
    runs_.push_back({.key = key == call.headers.end() ? "" : key->second,
                     .body = call.body,
                     .at = Now()});
    if (answers_ == answer_mode::kNone)
      return;
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(answer_ms_));
    timer->async_wait([this, timer, call, respond](const auto&) {
      respond(EndpointReply(call));
    });
  }

  wire::http_reply EndpointReply(const wire::http_call& call) const {
    const auto attempt = call.headers.find("parsleyhitch-attempt");
    std::string name = attempt == call.headers.end() ? "" : attempt->second;
    if (answers_ == answer_mode::kCrossed)
      name = "another-" + name;
    return {.status = answers_ == answer_mode::kFailed ? 500U : 200U,
            .content_type = "text/plain",
            .headers = {{"Parsleyhitch-Attempt", name}},
            .body = "served " + call.body};
  }

  asio::io_context& io_;
  replay::fake_worker worker_;
  std::int64_t task_ms_ = 0;
  std::int64_t answer_ms_ = 1;
  answer_mode answers_ = answer_mode::kWhole;
  std::vector<journal_run> runs_;
  runtime::http_server server_;
};

}  // namespace

void RunWorker(asio::io_context& io,
               const std::string& address,
               std::uint32_t accelerators,
               std::int64_t task_ms) {
  const worker_stand_in worker(io, address, accelerators, task_ms);
  io.run();
}

}  // namespace parsleyhitch::stand_ins
