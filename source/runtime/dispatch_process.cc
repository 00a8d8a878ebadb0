// Connects the dispatcher's reducer to sockets, timers and signals.

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
#include <type_traits>
#include <utility>

#include "dispatch/reduce.h"
#include "platform/catalog_codec.h"
#include "platform/client_codec.h"
#include "platform/store_calls.h"
#include "platform/worker_calls.h"
#include "report/metrics.h"
#include "report/time_account.h"
#include "runtime/client_gate.h"
#include "runtime/client_limits.h"
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

constexpr double kMilliCpusPerCpu = 1000.0;
// Interval at which the settings file is read again without a SIGHUP.
constexpr std::chrono::seconds kSettingsPollInterval{3};
// Interval at which a busy process logs what it spends its time on.
constexpr std::chrono::seconds kTimeReportInterval{1};

work::platform_bounds BoundsOf(const settings::dispatch_settings& settings) {
  constexpr double kPermille = 1000.0;
  return {.task_stop = settings.task_stop,
          .checkpoint_interval = std::chrono::ceil<work::duration>(
              std::chrono::duration<double>(settings.checkpoint_interval_s)),
          .checkpoint_restore = settings.checkpoint_restore,
          .remote_permille =
              static_cast<std::uint32_t>(settings.remote_slowdown * kPermille),
          .reclaim = settings.reclaim_bound};
}

dispatch::environment EnvironmentOf(
    const settings::dispatch_settings& settings) {
  dispatch::hooks behaviour =
      dispatch::DefaultHooks(BoundsOf(settings), settings.policies);
  behaviour.record_bytes = platform::EncodedBytes;
  return {.self = settings.entry,
          .peer_address = settings.peers_listen,
          .cpu_millis =
              static_cast<std::uint32_t>(settings.cpu_share * kMilliCpusPerCpu),
          .longest_lease = settings.longest_lease,
          .bounds = BoundsOf(settings),
          .job_state_kept = std::chrono::ceil<work::duration>(
              std::chrono::duration<double>(settings.job_state_kept_s)),
          .max_record_bytes = settings.max_record_bytes,
          .max_append_bytes = settings.max_append_bytes,
          .limits = settings.limits,
          .policies = settings.policies,
          .behaviour = std::move(behaviour)};
}

void LogFindings(const model::findings& findings) {
  for (const model::finding& each : findings) {
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
                   settings_reader read_settings)
      : settings_(std::make_unique<settings::dispatch_settings>(settings)),
        read_settings_(std::move(read_settings)),
        environment_(
            std::make_unique<dispatch::environment>(EnvironmentOf(settings))),
        listener_limits_(ListenerLimits(settings, descriptor_limit_)),
        gate_(std::make_shared<client_gate>(io_, GateHooks())),
        client_(io_),
        peers_(io_,
               settings.peers_listen,
               PeerLimits(settings, descriptor_limit_),
               PeerHooks()),
        caller_server_(std::in_place,
                       io_,
                       settings.callers_listen,
                       gate_,
                       intake::listener::kCallers,
                       CallerHandlers(),
                       listener_limits_.callers),
        probe_server_(std::in_place,
                      io_,
                      settings.probes_listen,
                      gate_,
                      intake::listener::kProbes,
                      ProbeHandlers(),
                      listener_limits_.operators),
        metrics_server_(std::in_place,
                        io_,
                        settings.metrics_listen,
                        gate_,
                        intake::listener::kScrapers,
                        MetricsHandlers(),
                        listener_limits_.operators),
        wake_timer_(io_),
        settings_timer_(io_),
        stop_signals_(io_, SIGTERM, SIGINT),
        reload_signal_(io_, SIGHUP),
        loop_(LoopHooks()) {}

  void Run() {
    WaitForStopSignal();
    WaitForReloadSignal();
    PollSettings();
    const model::timestamp now = clock_.Now();
    loop_.Post(work::entry_started{.at = now,
                                   .incarnation = static_cast<std::uint64_t>(
                                       now.time_since_epoch().count()),
                                   .seed = std::random_device()()});
    io_.run();
    gate_->Stop();
  }

 private:
  dispatch_loop::hooks LoopHooks() {
    return {
        .reduce =
            [this](dispatch::state state, const work::event& event) {
              return Timed(report::PartOf(event), [&] {
                return dispatch::Reduce(*environment_, std::move(state), event);
              });
            },
        .perform =
            [this](const work::effect& effect) {
              Timed(report::PartOf(effect), [&] {
                std::visit([this](const auto& each) { Execute(each); }, effect);
              });
            },
        .observe = {}};
  }

  // Does a part of the work and accounts for the time that it takes.
  template <typename Work>
  std::invoke_result_t<Work> Timed(const std::string& part, Work work) {
    const time_of_part timed(*this, part);
    return work();
  }

  // Logs what the time since the last report was spent on, if the process was
  // busy for a tenth of it or more.
  void ReportTimeIfDue(std::chrono::steady_clock::time_point now) {
    constexpr int kBusyShare = 10;
    constexpr std::chrono::milliseconds kLeastTime{1};
    const auto since = now - time_reported_at_;
    if (since < kTimeReportInterval)
      return;
    if (report::Total(time_spent_) * kBusyShare >= since) {
      WriteJsonLog(
          work::write_log{.decision = "time_spent",
                          .subject = settings_->entry.value(),
                          .fields = report::FieldsOf(time_spent_, kLeastTime)});
    }
    time_spent_ = {};
    time_reported_at_ = now;
  }

  intake::limits LimitsOfClients() const {
    const work::published_catalog* published = loop_.state().in_force.Get();
    return ClientLimits(*settings_,
                        published == nullptr ? work::client_limits()
                                             : published->content.limits,
                        descriptor_limit_);
  }

  // Logs the limits of clients that differ from those logged before.
  void ReportLimitsOfClients() {
    const intake::limits limits = LimitsOfClients();
    if (reported_limits_ && *reported_limits_ == limits)
      return;
    reported_limits_.emplace(limits);
    const auto field = [](const char* name, std::uint64_t value) {
      return work::log_field{.name = name, .value = std::to_string(value)};
    };
    const auto time = [](const char* name, model::duration value) {
      return work::log_field{.name = name,
                             .value = std::to_string(value.count())};
    };
    Execute(work::write_log{
        .decision = "client_limits_in_force",
        .subject = settings_->entry.value(),
        .fields = {
            field("max_header_bytes", limits.max_header_bytes),
            field("max_body_bytes", limits.max_body_bytes),
            time("header_timeout_ms", limits.header_timeout),
            time("idle_timeout_ms", limits.idle_timeout),
            field("memory_bytes", limits.memory_bytes),
            field("max_client_connections", limits.max_caller_connections)}});
  }

  gate_hooks GateHooks() {
    return {.limits = [this] { return LimitsOfClients(); },
            .clock = [this] { return clock_.Now(); },
            .count = [this](const work::count_metric& each) { Execute(each); },
            .log = [this](const work::write_log& each) { Execute(each); }};
  }

  peer_listener_hooks PeerHooks() {
    return {
        .message = [this](const std::string& each) { ReceiveFromPeer(each); },
        .count = [this](const work::count_metric& each) { Execute(each); },
        .log = [this](const work::write_log& each) { Execute(each); }};
  }

  http_handlers CallerHandlers() {
    return {.call =
                [this](const wire::http_call& call, std::uint64_t connection,
                       http_responder respond) {
                  ReceiveCall(call, connection, std::move(respond));
                },
            .closed =
                [this](std::uint64_t connection) {
                  OnConnectionClosed(connection);
                }};
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

  http_handlers MetricsHandlers() {
    return {.call =
                [this](const wire::http_call&, std::uint64_t,
                       const http_responder& respond) {
                  respond({.status = 200,
                           .content_type = "text/plain; version=0.0.4",
                           .body = report::Exposition(metrics_)});
                },
            .closed = [](std::uint64_t) {}};
  }

  // Sends the request and posts its outcome as an event.
  template <typename Effect>
  void SendRequest(const wire::http_request& request, const Effect& effect) {
    client_.Send(request, [this, effect](const wire::http_outcome& outcome) {
      platform::decoded_event decoded =
          Timed("decode", [&] { return Decode(effect, outcome); });
      LogFindings(decoded.findings);
      loop_.Post(decoded.event);
    });
  }

  // An answer that can't be decoded counts as none.
  template <typename Effect>
  platform::decoded_event Decode(const Effect& effect,
                                 const wire::http_outcome& outcome) {
    try {
      return platform::DecodeOutcome(effect, outcome, clock_.Now());
    } catch (const std::exception& error) {
      LogFindings(model::OneFinding("answer", error.what()));
      return platform::DecodeOutcome(
          effect, wire::http_outcome(wire::http_failure{.sent = true}),
          clock_.Now());
    }
  }

  void Execute(const work::append_records& effect) {
    SendRequest(platform::RequestFor(settings_->store_address, effect), effect);
  }
  void Execute(const work::read_feed& effect) {
    SendRequest(platform::RequestFor(settings_->store_address, effect), effect);
  }
  void Execute(const work::read_newest& effect) {
    SendRequest(platform::RequestFor(settings_->store_address, effect), effect);
  }
  void Execute(const work::start_run& effect) { SendOrder(effect); }
  void Execute(const work::stop_run& effect) { SendOrder(effect); }
  void Execute(const work::hold_worker& effect) { SendOrder(effect); }

  // Sends an order unless this process was paused beyond its validity.
  template <typename Effect>
  void SendOrder(const Effect& effect) {
    const model::timestamp now = clock_.Now();
    if (now <= effect.target.valid_until) {
      SendRequest(platform::RequestFor(effect), effect);
      return;
    }
    Execute(work::write_log{
        .level = work::log_level::kWarning,
        .decision = "order_expired",
        .subject = effect.target.worker.value(),
        .fields = {{.name = "late_ms",
                    .value = std::to_string(
                        (now - effect.target.valid_until).count())}}});
    loop_.Post(
        platform::DecodeOutcome(effect, wire::http_failure{.sent = false}, now)
            .event);
  }

  void Execute(const work::send_to_peer& effect) {
    const bool sent =
        peers_.Send(effect.address, wire::EncodeMessage(effect.message));
    if (!sent)
      Execute(work::count_metric{.name = "peer_messages_dropped"});
  }

  void Execute(const work::answer_client& effect) {
    const auto found = pending_calls_.find(effect.call);
    if (found == pending_calls_.end())
      return;
    const pending_call pending = std::move(found->second);
    pending_calls_.erase(found);
    calls_by_connection_.erase(pending.connection);
    pending.respond(platform::ReplyTo(effect.content));
  }

  void Execute(const work::wake_at& effect) {
    const auto wait = effect.at - clock_.Now();
    wake_timer_.expires_after(std::max(wait, model::duration::zero()));
    wake_timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        loop_.Post(work::wake_due{.at = clock_.Now()});
    });
  }

  void Execute(const work::write_log& effect) { WriteJsonLog(effect); }
  void Execute(const work::count_metric& effect) {
    metrics_ = report::Add(std::move(metrics_), effect);
  }
  void Execute(const work::set_gauge& effect) {
    metrics_ = report::Add(std::move(metrics_), effect);
  }
  void Execute(const work::observe_latency& effect) {
    metrics_ = report::Add(std::move(metrics_), effect);
  }

  void Execute(const work::stop_process&) {
    wake_timer_.cancel();
    settings_timer_.cancel();
    stop_signals_.cancel();
    reload_signal_.cancel();
    caller_server_->NotifyWhenWritten(
        [this] { asio::post(io_, [this] { io_.stop(); }); });
  }

  void ReceiveFromPeer(const std::string& bytes) {
    auto message = wire::ValueOf([&] { return wire::DecodeMessage(bytes); });
    if (!message) {
      Execute(work::count_metric{.name = "peer_messages_damaged"});
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
                 [](const model::findings& findings) {
                   LogFindings(findings);
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
    pending_calls_[number] = {.connection = connection,
                              .respond = std::move(respond)};
    calls_by_connection_[connection] = number;
    loop_.Post(work::client_called{
        .at = clock_.Now(), .call = number, .content = *decoded});
  }

  void OnConnectionClosed(std::uint64_t connection) {
    const auto found = calls_by_connection_.find(connection);
    if (found == calls_by_connection_.end())
      return;
    const work::call_number call = found->second;
    calls_by_connection_.erase(found);
    pending_calls_.erase(call);
    loop_.Post(work::client_gone{.at = clock_.Now(), .call = call});
  }

  void WaitForStopSignal() {
    stop_signals_.async_wait([this](const asio::error_code& error, int) {
      if (error)
        return;
      caller_server_->CloseAfterReplies();
      const auto grace = std::chrono::duration_cast<model::duration>(
          std::chrono::duration<double>(settings_->shutdown_grace_s));
      loop_.Post(work::shutdown_requested{.at = clock_.Now(), .grace = grace});
    });
  }

  void WaitForReloadSignal() {
    reload_signal_.async_wait([this](const asio::error_code& error, int) {
      if (error)
        return;
      Reload("signal");
      WaitForReloadSignal();
    });
  }

  void PollSettings() {
    settings_timer_.expires_after(kSettingsPollInterval);
    settings_timer_.async_wait([this](const asio::error_code& error) {
      if (error)
        return;
      Reload("timer");
      ReportLimitsOfClients();
      PollSettings();
    });
  }

  // Limits take effect immediately; listening addresses only after a restart.
  void Reload(const std::string& cause) {
    auto updated = read_settings_();
    if (!updated || *updated == *settings_)
      return;
    WriteJsonLog(
        work::write_log{.decision = "settings_reloaded",
                        .subject = settings_->entry.value(),
                        .fields = {{.name = "cause", .value = cause}}});
    settings_ = std::make_unique<settings::dispatch_settings>(*updated);
    environment_ =
        std::make_unique<dispatch::environment>(EnvironmentOf(*settings_));
  }

  // Accounts for the time until the end of its scope.
  class time_of_part {
   public:
    time_of_part(dispatch_process& process, const std::string& part)
        : process_(process), part_(part) {}
    ~time_of_part() {
      const auto now = std::chrono::steady_clock::now();
      process_.time_spent_ = report::Add(std::move(process_.time_spent_), part_,
                                         now - started_at_);
      process_.ReportTimeIfDue(now);
    }
    time_of_part(const time_of_part&) = delete;
    time_of_part& operator=(const time_of_part&) = delete;

   private:
    dispatch_process& process_;
    const std::string part_;
    const std::chrono::steady_clock::time_point started_at_ =
        std::chrono::steady_clock::now();
  };

  struct pending_call {
    std::uint64_t connection = 0;
    http_responder respond;
  };

  std::unique_ptr<const settings::dispatch_settings> settings_;
  const settings_reader read_settings_;
  std::unique_ptr<const dispatch::environment> environment_;
  const monotonic_clock clock_;
  const std::uint64_t descriptor_limit_ = DescriptorLimit();
  const listener_limits listener_limits_;
  std::optional<intake::limits> reported_limits_;
  asio::io_context io_{1};
  const std::shared_ptr<client_gate> gate_;
  http_client client_;
  peer_socket peers_;
  std::optional<http_server> caller_server_;
  std::optional<http_server> probe_server_;
  std::optional<http_server> metrics_server_;
  asio::steady_timer wake_timer_;
  asio::steady_timer settings_timer_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signal_;
  report::metrics metrics_;
  // Since the last report.
  report::time_account time_spent_;
  std::chrono::steady_clock::time_point time_reported_at_ =
      std::chrono::steady_clock::now();
  work::call_number last_call_ = 0;
  std::map<work::call_number, pending_call> pending_calls_;
  std::map<std::uint64_t, work::call_number> calls_by_connection_;
  dispatch_loop loop_;
};

}  // namespace

void RunDispatcher(const settings::dispatch_settings& settings,
                   const settings_reader& read_settings) {
  dispatch_process(settings, read_settings).Run();
}

}  // namespace parsleyhitch::runtime
