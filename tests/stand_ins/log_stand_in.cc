// Stand-in for the platform's log. HTTP calls: POST /append, GET /read, which
// waits for records if asked to, and POST /control.

#include <asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "replay/fake_log.h"
#include "stand_ins/query.h"
#include "stand_ins/stand_in.h"
#include "wire/json_codec.h"
#include "wire/log_codec.h"

namespace parsleyhitch::stand_ins {

// Replaces all earlier faults.
struct log_control {
  // Answers every call with 503.
  const bool down = false;
  // Delays every answer.
  const std::int64_t slow_ms = 0;
  // Number of appends that take effect but are answered with an error.
  const std::uint32_t lose_answers = 0;
  // Addresses at which every call is answered with 503.
  const std::vector<std::string> cut;
  // Trims the log once to this number of records; 0 keeps all.
  const std::uint32_t keep = 0;
};

PARSLEYHITCH_DESCRIBE(log_control, down, slow_ms, lose_answers, cut, keep)

namespace {

constexpr std::size_t kPageRecords = 256;

class log_stand_in {
 public:
  log_stand_in(asio::io_context& io, const std::vector<std::string>& addresses)
      : io_(io) {
    for (const std::string& address : addresses) {
      servers_.push_back(std::make_unique<runtime::http_server>(
          io, address, kMaxBodyBytes,
          runtime::http_handlers{
              .call =
                  [this, address](const wire::http_call& call, std::uint64_t,
                                  runtime::http_responder respond) {
                    HandleCall(address, call, std::move(respond));
                  },
              .closed = [](std::uint64_t) {}}));
    }
  }

 private:
  // A read that waits for records.
  struct pending_read {
    std::uint64_t from = 0;
    runtime::http_responder respond;
    asio::steady_timer timer;
    bool answered = false;
  };

  void HandleCall(const std::string& address,
                  const wire::http_call& call,
                  runtime::http_responder respond) {
    if (call.path == "/control") {
      Control(call.body);
      respond(JsonReply(200, "{}"));
      return;
    }
    if (down_ || cut_.contains(address)) {
      respond(JsonReply(503, "{}"));
      return;
    }
    if (slow_ms_ == 0) {
      Serve(call, respond);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(slow_ms_));
    timer->async_wait(
        [this, timer, call, respond](const auto&) { Serve(call, respond); });
  }

  void Control(const std::string& body) {
    const auto control =
        wire::ValueOf([&] { return wire::FromJson<log_control>(body); });
    if (!control)
      return;
    down_ = control->down;
    slow_ms_ = control->slow_ms;
    lose_answers_ = control->lose_answers;
    cut_ = std::set<std::string>(control->cut.begin(), control->cut.end());
    if (control->keep != 0)
      log_.Trim(control->keep);
    if (down_ || !cut_.empty())
      RefusePendingReads();
  }

  void RefusePendingReads() {
    for (const auto& pending : std::exchange(pending_reads_, {})) {
      pending->answered = true;
      pending->timer.cancel();
      pending->respond(JsonReply(503, "{}"));
    }
  }

  void Serve(const wire::http_call& call,
             const runtime::http_responder& respond) {
    if (call.path == "/append") {
      Append(call.body, respond);
      return;
    }
    const std::uint64_t from = QueryNumber(call.query, "from");
    const std::uint64_t wait_ms = QueryNumber(call.query, "wait_ms");
    if (from < log_.EndOffset() || wait_ms == 0) {
      RespondWithPage(from, respond);
      return;
    }
    HoldRead(from, std::chrono::milliseconds(wait_ms), respond);
  }

  void Append(const std::string& bytes,
              const runtime::http_responder& respond) {
    const std::uint64_t offset = log_.Append(bytes);
    for (const auto& pending : std::exchange(pending_reads_, {})) {
      pending->answered = true;
      pending->timer.cancel();
      RespondWithPage(pending->from, pending->respond);
    }
    if (lose_answers_ > 0) {
      --lose_answers_;
      respond(JsonReply(500, "{}"));
      return;
    }
    respond(JsonReply(200, wire::EncodeLogPosition({.offset = offset})));
  }

  void HoldRead(std::uint64_t from,
                std::chrono::milliseconds wait,
                const runtime::http_responder& respond) {
    auto pending = std::make_shared<pending_read>(
        pending_read{.from = from,
                     .respond = respond,
                     .timer = asio::steady_timer(io_, wait)});
    pending_reads_.push_back(pending);
    pending->timer.async_wait([this, pending](const auto&) {
      if (pending->answered)
        return;
      pending->answered = true;
      pending_reads_.remove(pending);
      RespondWithPage(pending->from, pending->respond);
    });
  }

  void RespondWithPage(std::uint64_t from,
                       const runtime::http_responder& respond) {
    const std::uint64_t start = std::max(from, log_.first_offset);
    respond(JsonReply(
        200, wire::EncodeLogPage({.first_offset = log_.first_offset,
                                  .end_offset = log_.EndOffset(),
                                  .from = start,
                                  .records = log_.Read(start, kPageRecords)})));
  }

  asio::io_context& io_;
  replay::fake_log<std::string> log_;
  bool down_ = false;
  std::int64_t slow_ms_ = 0;
  std::uint32_t lose_answers_ = 0;
  std::set<std::string> cut_;
  std::list<std::shared_ptr<pending_read>> pending_reads_;
  std::vector<std::unique_ptr<runtime::http_server>> servers_;
};

}  // namespace

void RunLog(asio::io_context& io, const std::vector<std::string>& addresses) {
  const log_stand_in log(io, addresses);
  io.run();
}

}  // namespace parsleyhitch::stand_ins
