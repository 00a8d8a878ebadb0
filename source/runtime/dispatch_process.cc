// Wires the dispatcher to the world.

#include "runtime/dispatch_process.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "dispatch/reduce.h"
#include "platform/catalog_codec.h"
#include "platform/client_codec.h"
#include "platform/store_calls.h"
#include "platform/worker_calls.h"
#include "report/metrics.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/json_log.h"
#include "runtime/monotonic_clock.h"
#include "runtime/peer_socket.h"
#include "runtime/reducer_loop.h"
#include "wire/work_codec.h"

namespace parsleyhitch::runtime {

namespace {

using dispatch_loop = reducer_loop<work::event, dispatch::step>;

constexpr double kMillis = 1000.0;
// How often the settings file is looked at without a signal.
constexpr std::chrono::seconds kSettingsInterval{3};
// Probes and scrapes have no bodies.
constexpr std::uint32_t kMaxProbeBytes = 1024;

dispatch::environment EnvironmentOf(
    const settings::dispatch_settings& settings) {
  return {
      .self = settings.entry,
      .peer_address = settings.peers_listen,
      .cpu_millis = static_cast<std::uint32_t>(settings.cpu_share * kMillis),
      .longest_lease = settings.longest_lease,
      .limits = settings.limits,
      .behaviour = dispatch::DefaultHooks()};
}

void LogSkipped(const model::findings& skipped) {
  for (const model::finding& each : skipped) {
    WriteJsonLog(
        work::write_log{.level = work::log_level::kWarning,
                        .decision = "unreadable",
                        .subject = each.place,
                        .fields = {{.name = "why", .value = each.message}}});
  }
}

class dispatch_process {
 public:
  dispatch_process(const settings::dispatch_settings& settings,
                   settings_source reread)
      : settings_(std::make_unique<settings::dispatch_settings>(settings)),
        reread_(std::move(reread)),
        environment_(
            std::make_unique<dispatch::environment>(EnvironmentOf(settings))),
        client_(io_),
        peers_(io_,
               settings.peers_listen,
               [this](const std::string& bytes) { ReceiveFromPeer(bytes); }),
        callers_(std::in_place,
                 io_,
                 settings.callers_listen,
                 settings.max_body_bytes,
                 CallerHandlers()),
        probes_(std::in_place,
                io_,
                settings.probes_listen,
                kMaxProbeBytes,
                ProbeHandlers()),
        scrapes_(std::in_place,
                 io_,
                 settings.metrics_listen,
                 kMaxProbeBytes,
                 ScrapeHandlers()),
        wake_(io_),
        settings_timer_(io_),
        stop_signals_(io_, SIGTERM, SIGINT),
        reload_signal_(io_, SIGHUP),
        loop_(LoopHooks()) {}

  void Run() {
    WaitForStop();
    WaitForReload();
    WatchSettings();
    const model::timestamp now = clock_.Now();
    loop_.Post(work::entry_started{.at = now,
                                   .incarnation = static_cast<std::uint64_t>(
                                       now.time_since_epoch().count()),
                                   .seed = std::random_device()()});
    io_.run();
  }

 private:
  dispatch_loop::hooks LoopHooks() {
    return {.reduce =
                [this](dispatch::state state, const work::event& event) {
                  return dispatch::Reduce(*environment_, std::move(state),
                                          event);
                },
            .perform =
                [this](const work::effect& effect) {
                  std::visit([this](const auto& each) { Do(each); }, effect);
                },
            .observe = {}};
  }

  http_handlers CallerHandlers() {
    return {
        .call =
            [this](const wire::http_call& call, std::uint64_t connection,
                   http_responder respond) {
              ReceiveCall(call, connection, std::move(respond));
            },
        .closed = [this](std::uint64_t connection) { LoseCaller(connection); }};
  }

  http_handlers ProbeHandlers() {
    return {.call =
                [this](const wire::http_call&, std::uint64_t,
                       const http_responder& respond) {
                  const bool ready = dispatch::IsReady(loop_.state());
                  respond({.status = ready ? 200U : 503U,
                           .content_type = "text/plain",
                           .body = ready ? "ready\n" : "not ready\n"});
                },
            .closed = [](std::uint64_t) {}};
  }

  http_handlers ScrapeHandlers() {
    return {.call =
                [this](const wire::http_call&, std::uint64_t,
                       const http_responder& respond) {
                  respond({.status = 200,
                           .content_type = "text/plain; version=0.0.4",
                           .body = report::Exposition(metrics_)});
                },
            .closed = [](std::uint64_t) {}};
  }

  // Effects on the store and on workers are calls whose outcome is an event.
  template <typename Effect>
  void Call(const wire::http_request& request, const Effect& effect) {
    client_.Send(request, [this, effect](const wire::http_outcome& outcome) {
      platform::decoded_event decoded =
          platform::DecodeOutcome(effect, outcome, clock_.Now());
      LogSkipped(decoded.skipped);
      loop_.Post(decoded.event);
    });
  }

  void Do(const work::append_records& effect) {
    Call(platform::RequestFor(settings_->store_address, effect), effect);
  }
  void Do(const work::read_feed& effect) {
    Call(platform::RequestFor(settings_->store_address, effect), effect);
  }
  void Do(const work::read_newest& effect) {
    Call(platform::RequestFor(settings_->store_address, effect), effect);
  }
  void Do(const work::start_run& effect) {
    Call(platform::RequestFor(effect), effect);
  }
  void Do(const work::stop_run& effect) {
    Call(platform::RequestFor(effect), effect);
  }
  void Do(const work::hold_worker& effect) {
    Call(platform::RequestFor(effect), effect);
  }

  void Do(const work::send_to_peer& effect) {
    const bool sent =
        peers_.Send(effect.address, wire::EncodeMessage(effect.message));
    if (!sent)
      Do(work::count_metric{.name = "peer_messages_dropped"});
  }

  void Do(const work::answer_client& effect) {
    const auto found = callers_by_call_.find(effect.call);
    if (found == callers_by_call_.end())
      return;
    const open_caller caller = std::move(found->second);
    callers_by_call_.erase(found);
    calls_by_connection_.erase(caller.connection);
    caller.respond(platform::ReplyTo(effect.content));
  }

  void Do(const work::wake_at& effect) {
    const auto wait = effect.at - clock_.Now();
    wake_.expires_after(std::max(wait, model::duration::zero()));
    wake_.async_wait([this](const asio::error_code& error) {
      if (!error)
        loop_.Post(work::wake_due{.at = clock_.Now()});
    });
  }

  void Do(const work::write_log& effect) { WriteJsonLog(effect); }
  void Do(const work::count_metric& effect) {
    metrics_ = report::Add(std::move(metrics_), effect);
  }
  void Do(const work::observe_latency& effect) {
    metrics_ = report::Add(std::move(metrics_), effect);
  }

  void Do(const work::stop_process&) {
    wake_.cancel();
    settings_timer_.cancel();
    stop_signals_.cancel();
    reload_signal_.cancel();
    callers_->WhenWritten([this] { asio::post(io_, [this] { io_.stop(); }); });
  }

  void ReceiveFromPeer(const std::string& bytes) {
    auto message = wire::ValueOf([&] { return wire::DecodeMessage(bytes); });
    if (!message) {
      Do(work::count_metric{.name = "peer_messages_damaged"});
      return;
    }
    if (const auto* offer =
            std::get_if<work::catalog_offered>(&message->content))
      ReceiveCatalog(offer->content);
    loop_.Post(
        work::peer_heard{.at = clock_.Now(), .message = std::move(*message)});
  }

  void ReceiveCatalog(const std::string& content) {
    wire::Handle([&] { return platform::DecodeCatalog(content); },
                 [this](work::published_catalog published) {
                   loop_.Post(work::catalog_relayed{
                       .at = clock_.Now(), .content = std::move(published)});
                   return true;
                 },
                 [](const model::findings& faults) {
                   LogSkipped(faults);
                   return false;
                 });
  }

  void ReceiveCall(const wire::http_call& call,
                   std::uint64_t connection,
                   http_responder respond) {
    const auto decoded = platform::DecodeCall(call);
    if (!decoded) {
      respond({.status = 405, .content_type = "text/plain"});
      return;
    }
    const work::call_number number = ++last_call_;
    callers_by_call_[number] = {.connection = connection,
                                .respond = std::move(respond)};
    calls_by_connection_[connection] = number;
    loop_.Post(work::client_called{
        .at = clock_.Now(), .call = number, .content = *decoded});
  }

  void LoseCaller(std::uint64_t connection) {
    const auto found = calls_by_connection_.find(connection);
    if (found == calls_by_connection_.end())
      return;
    const work::call_number call = found->second;
    calls_by_connection_.erase(found);
    callers_by_call_.erase(call);
    loop_.Post(work::client_gone{.at = clock_.Now(), .call = call});
  }

  void WaitForStop() {
    stop_signals_.async_wait([this](const asio::error_code& error, int) {
      if (error)
        return;
      callers_->CloseAfterReplies();
      const auto grace = std::chrono::duration_cast<model::duration>(
          std::chrono::duration<double>(settings_->shutdown_grace_s));
      loop_.Post(work::shutdown_requested{.at = clock_.Now(), .grace = grace});
    });
  }

  void WaitForReload() {
    reload_signal_.async_wait([this](const asio::error_code& error, int) {
      if (error)
        return;
      Reload("signal");
      WaitForReload();
    });
  }

  void WatchSettings() {
    settings_timer_.expires_after(kSettingsInterval);
    settings_timer_.async_wait([this](const asio::error_code& error) {
      if (error)
        return;
      Reload("timer");
      WatchSettings();
    });
  }

  // Limits take effect at once; addresses hold until the process starts anew.
  void Reload(const std::string& cause) {
    auto read = reread_();
    if (!read || *read == *settings_)
      return;
    WriteJsonLog(
        work::write_log{.decision = "settings_reloaded",
                        .subject = settings_->entry.value(),
                        .fields = {{.name = "cause", .value = cause}}});
    settings_ = std::make_unique<settings::dispatch_settings>(*read);
    environment_ =
        std::make_unique<dispatch::environment>(EnvironmentOf(*settings_));
  }

  struct open_caller {
    std::uint64_t connection = 0;
    http_responder respond;
  };

  std::unique_ptr<const settings::dispatch_settings> settings_;
  const settings_source reread_;
  std::unique_ptr<const dispatch::environment> environment_;
  const monotonic_clock clock_;
  asio::io_context io_{1};
  http_client client_;
  peer_socket peers_;
  std::optional<http_server> callers_;
  std::optional<http_server> probes_;
  std::optional<http_server> scrapes_;
  asio::steady_timer wake_;
  asio::steady_timer settings_timer_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signal_;
  report::metrics metrics_;
  work::call_number last_call_ = 0;
  std::map<work::call_number, open_caller> callers_by_call_;
  std::map<std::uint64_t, work::call_number> calls_by_connection_;
  dispatch_loop loop_;
};

}  // namespace

void RunDispatcher(const settings::dispatch_settings& settings,
                   const settings_source& reread) {
  dispatch_process(settings, reread).Run();
}

}  // namespace parsleyhitch::runtime
