// Connects the scheduler's reducer to sockets, timers and signals.

#include "runtime/entry_process.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "report/burn.h"
#include "report/metrics.h"
#include "runtime/client_gate.h"
#include "runtime/client_limits.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/json_log.h"
#include "runtime/monotonic_clock.h"
#include "runtime/peer_socket.h"
#include "runtime/performers.h"
#include "runtime/reducer_loop.h"
#include "scheduler/reduce.h"
#include "wire/api.h"
#include "wire/peer_codec.h"
#include "wire/trace_codec.h"

namespace parsleyhitch::runtime {

namespace {

scheduler::environment EnvironmentOf(const settings::settings& settings) {
  std::vector<model::entry_id> peers;
  for (const settings::peer_address& peer : settings.peers)
    peers.push_back(peer.entry);
  const bool baseline = settings.placement == settings::policy::kBaseline;
  return {.me = settings.entry,
          .peers = std::move(peers),
          .limits = settings.limits,
          .behaviour = baseline ? scheduler::BaselineHooks()
                                : scheduler::DefaultHooks()};
}

using entry_loop = reducer_loop<model::event, scheduler::step>;

// A call that has not been answered yet.
struct pending_call {
  std::uint64_t connection = 0;
  http_responder respond;
};

class entry_process {
 public:
  entry_process(const settings::settings& settings,
                const std::string& recording_path)
      : settings_(settings),
        environment_(EnvironmentOf(settings)),
        gate_(std::make_shared<client_gate>(io_, GateHooks())),
        client_(io_),
        peers_(io_,
               settings.peer_listen,
               PeerLimits({}, DescriptorLimit()),
               PeerHooks()),
        server_(std::in_place,
                io_,
                settings.http_listen,
                gate_,
                intake::listener::kCallers,
                http_handlers{.call =
                                  [this](const wire::http_call& call,
                                         std::uint64_t connection,
                                         http_responder respond) {
                                    ReceiveCall(call, connection,
                                                std::move(respond));
                                  },
                              .closed =
                                  [this](std::uint64_t connection) {
                                    OnConnectionClosed(connection);
                                  }},
                ListenerLimits({}, DescriptorLimit()).callers),
        wake_timer_(io_),
        stop_signals_(io_, SIGTERM, SIGINT),
        effect_context_{
            .settings = settings_,
            .client = client_,
            .peers = peers_,
            .clock = [this] { return clock_.Now(); },
            .post =
                [this](model::event event) { loop_.Post(std::move(event)); },
            .incarnation = static_cast<std::uint64_t>(
                clock_.Now().time_since_epoch().count())},
        loop_(LoopHooks(recording_path)) {
    for (const settings::peer_address& peer : settings.peers)
      peers_.Connect(peer.address);
  }

  void Run() {
    stop_signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error)
        loop_.Post(model::drain_requested{.at = clock_.Now()});
    });
    const std::uint64_t seed = std::random_device()();
    loop_.Post(model::entry_started{.at = clock_.Now(),
                                    .incarnation = effect_context_.incarnation,
                                    .seed = seed});
    io_.run();
    gate_->Stop();
  }

 private:
  entry_loop::hooks LoopHooks(const std::string& recording_path) {
    entry_loop::hooks hooks;
    hooks.reduce = [this](scheduler::entry_state state,
                          const model::event& event) {
      return scheduler::Reduce(environment_, std::move(state), event);
    };
    hooks.perform = [this](const model::effect& effect) {
      std::visit([this](const auto& each) { Execute(each); }, effect);
    };
    if (recording_path.empty())
      return hooks;
    recording_.open(recording_path);
    recording_ << wire::EncodeRecordingHead(
                      {.entry = environment_.me,
                       .peers = environment_.peers,
                       .baseline =
                           settings_.placement == settings::policy::kBaseline,
                       .limits = environment_.limits})
               << "\n";
    hooks.observe = [this](const model::event& event,
                           const model::effects& effects) {
      recording_ << wire::EncodeRecordedStep(
                        {.event = event, .effects = effects})
                 << "\n";
    };
    return hooks;
  }

  gate_hooks GateHooks() {
    return {
        .limits =
            [this] {
              return intake::limits{.max_body_bytes = settings_.max_body_bytes};
            },
        .clock = [this] { return clock_.Now(); },
        .count =
            [this](const work::count_metric& each) {
              Execute(model::count_metric{.name = each.name,
                                          .increment = each.increment});
            },
        .log = [](const work::write_log& each) { WriteJsonLog(each); }};
  }

  peer_listener_hooks PeerHooks() {
    return {
        .message = [this](const std::string& each) { ReceiveFromPeer(each); },
        .count =
            [this](const work::count_metric& each) {
              Execute(model::count_metric{.name = each.name,
                                          .increment = each.increment});
            },
        .log = [](const work::write_log& each) { WriteJsonLog(each); }};
  }

  // Effects that leave the process.
  template <typename Effect>
  void Execute(const Effect& effect) {
    Perform(effect_context_, effect);
  }

  void Execute(const model::answer_caller& effect) {
    const auto found = pending_calls_.find(effect.call);
    if (found == pending_calls_.end())
      return;
    const pending_call pending = std::move(found->second);
    pending_calls_.erase(found);
    calls_by_connection_.erase(pending.connection);
    pending.respond(wire::ReplyTo(effect.content));
  }

  void Execute(const model::wake_at& effect) {
    const auto wait = effect.at - clock_.Now();
    wake_timer_.expires_after(std::max(wait, model::duration::zero()));
    wake_timer_.async_wait([this](const asio::error_code& error) {
      if (!error)
        loop_.Post(model::wake_due{.at = clock_.Now()});
    });
  }

  void Execute(const model::write_log_line& effect) { WriteJsonLog(effect); }

  void Execute(const model::observe_request& effect) {
    metrics_ = Add(std::move(metrics_), effect);
    burn_ = report::Observe(std::move(burn_), Objectives(),
                            {.service = effect.target,
                             .at = clock_.Now(),
                             .latency = effect.latency,
                             .whole_answer = effect.whole_answer});
  }

  void Execute(const model::count_metric& effect) {
    metrics_ = Add(std::move(metrics_), effect);
  }

  void Execute(const model::stop_process&) {
    wake_timer_.cancel();
    stop_signals_.cancel();
    server_->NotifyWhenWritten(
        [this] { asio::post(io_, [this] { io_.stop(); }); });
  }

  std::vector<model::objective> Objectives() const {
    const model::manifest* in_force = loop_.state().ledger.in_force.Get();
    return in_force == nullptr ? std::vector<model::objective>()
                               : in_force->objectives;
  }

  void ReceiveFromPeer(const std::string& bytes) {
    auto message =
        wire::ValueOf([&] { return wire::DecodePeerMessage(bytes); });
    if (!message) {
      Execute(model::count_metric{.name = "peer_messages_damaged_total"});
      return;
    }
    loop_.Post(
        model::peer_heard{.at = clock_.Now(), .message = std::move(*message)});
  }

  void ReceiveCall(const wire::http_call& call,
                   std::uint64_t connection,
                   http_responder respond) {
    const model::call_number number = ++last_call_;
    const model::timestamp at = clock_.Now();
    wire::Handle([&] { return wire::ParseCall(call, at, number); },
                 [&](const wire::api_request& request) {
                   HandleRequest(request, connection, number, respond);
                   return true;
                 },
                 [&](const model::findings& findings) {
                   respond(wire::ReplyToFindings(findings));
                   return false;
                 });
  }

  void HandleRequest(const wire::api_request& request,
                     std::uint64_t connection,
                     model::call_number number,
                     const http_responder& respond) {
    if (const auto* page = std::get_if<wire::page>(&request)) {
      respond(BuildPage(*page));
      return;
    }
    pending_calls_[number] = {.connection = connection, .respond = respond};
    calls_by_connection_[connection] = number;
    loop_.Post(std::get<model::event>(request));
  }

  wire::http_reply BuildPage(wire::page page) const {
    if (page == wire::page::kMetrics) {
      return {.status = 200,
              .content_type = "text/plain; version=0.0.4",
              .body = report::Exposition(metrics_)};
    }
    if (page == wire::page::kBurn) {
      return {.status = 200,
              .content_type = "application/json",
              .body = report::EncodeBurn(
                  report::BurnReport(burn_, Objectives(), clock_.Now()))};
    }
    // Not ready while draining, so that the load balancer removes the entry.
    const scheduler::entry_state& state = loop_.state();
    const bool ready = state.log.caught_up && !state.drain.draining;
    return {.status = ready ? 200U : 503U,
            .content_type = "text/plain",
            .body = ready ? "ready\n" : "not ready\n"};
  }

  void OnConnectionClosed(std::uint64_t connection) {
    const auto found = calls_by_connection_.find(connection);
    if (found == calls_by_connection_.end())
      return;
    const model::call_number call = found->second;
    calls_by_connection_.erase(found);
    pending_calls_.erase(call);
    loop_.Post(model::caller_gone{.at = clock_.Now(), .call = call});
  }

  const settings::settings& settings_;
  const scheduler::environment environment_;
  const monotonic_clock clock_;
  asio::io_context io_{1};
  const std::shared_ptr<client_gate> gate_;
  http_client client_;
  peer_socket peers_;
  std::optional<http_server> server_;
  asio::steady_timer wake_timer_;
  asio::signal_set stop_signals_;
  std::ofstream recording_;
  report::metrics metrics_;
  report::burn_counts burn_;
  model::call_number last_call_ = 0;
  std::map<model::call_number, pending_call> pending_calls_;
  std::map<std::uint64_t, model::call_number> calls_by_connection_;
  const effect_context effect_context_;
  entry_loop loop_;
};

}  // namespace

void RunEntry(const settings::settings& settings,
              const std::string& recording_path) {
  entry_process(settings, recording_path).Run();
}

}  // namespace parsleyhitch::runtime
