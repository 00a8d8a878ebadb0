// Wires the reducer to the world.

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

// One call that waits for its answer.
struct open_responder {
  std::uint64_t connection = 0;
  http_responder respond;
};

class entry_process {
 public:
  entry_process(const settings::settings& settings,
                const std::string& record_path)
      : settings_(settings),
        environment_(EnvironmentOf(settings)),
        client_(io_),
        peers_(io_,
               settings.peer_listen,
               [this](const std::string& bytes) { ReceiveFromPeer(bytes); }),
        server_(std::in_place,
                io_,
                settings.http_listen,
                settings.max_body_bytes,
                http_handlers{.call =
                                  [this](const wire::http_call& call,
                                         std::uint64_t connection,
                                         http_responder respond) {
                                    ReceiveCall(call, connection,
                                                std::move(respond));
                                  },
                              .closed =
                                  [this](std::uint64_t connection) {
                                    LoseCaller(connection);
                                  }}),
        wake_(io_),
        signals_(io_, SIGTERM, SIGINT),
        tools_{.settings = settings_,
               .client = client_,
               .peers = peers_,
               .clock = [this] { return clock_.Now(); },
               .post =
                   [this](model::event event) { loop_.Post(std::move(event)); },
               .incarnation = static_cast<std::uint64_t>(
                   clock_.Now().time_since_epoch().count())},
        loop_(MakeHooks(record_path)) {
    for (const settings::peer_address& peer : settings.peers)
      peers_.Connect(peer.address);
  }

  void Run() {
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error)
        loop_.Post(model::drain_requested{.at = clock_.Now()});
    });
    const std::uint64_t seed = std::random_device()();
    loop_.Post(model::entry_started{
        .at = clock_.Now(), .incarnation = tools_.incarnation, .seed = seed});
    io_.run();
  }

 private:
  entry_loop::hooks MakeHooks(const std::string& record_path) {
    entry_loop::hooks hooks;
    hooks.reduce = [this](scheduler::entry_state state,
                          const model::event& event) {
      return scheduler::Reduce(environment_, std::move(state), event);
    };
    hooks.perform = [this](const model::effect& effect) {
      std::visit([this](const auto& each) { Do(each); }, effect);
    };
    if (record_path.empty())
      return hooks;
    record_.open(record_path);
    record_ << wire::EncodeRecordingHead(
                   {.entry = environment_.me,
                    .peers = environment_.peers,
                    .baseline =
                        settings_.placement == settings::policy::kBaseline,
                    .limits = environment_.limits})
            << "\n";
    hooks.observe = [this](const model::event& event,
                           const model::effects& effects) {
      record_ << wire::EncodeRecordedStep({.event = event, .effects = effects})
              << "\n";
    };
    return hooks;
  }

  // Effects on other processes.
  template <typename Effect>
  void Do(const Effect& effect) {
    Perform(tools_, effect);
  }

  void Do(const model::answer_caller& effect) {
    const auto found = responders_.find(effect.call);
    if (found == responders_.end())
      return;
    const open_responder responder = std::move(found->second);
    responders_.erase(found);
    calls_by_connection_.erase(responder.connection);
    responder.respond(wire::ReplyTo(effect.content));
  }

  void Do(const model::wake_at& effect) {
    const auto wait = effect.at - clock_.Now();
    wake_.expires_after(std::max(wait, model::duration::zero()));
    wake_.async_wait([this](const asio::error_code& error) {
      if (!error)
        loop_.Post(model::wake_due{.at = clock_.Now()});
    });
  }

  void Do(const model::write_log_line& effect) { WriteJsonLog(effect); }

  void Do(const model::observe_request& effect) {
    metrics_ = Add(std::move(metrics_), effect);
    burn_ = report::Observe(std::move(burn_), Objectives(),
                            {.service = effect.target,
                             .at = clock_.Now(),
                             .latency = effect.latency,
                             .whole_answer = effect.whole_answer});
  }

  void Do(const model::count_metric& effect) {
    metrics_ = Add(std::move(metrics_), effect);
  }

  void Do(const model::stop_process&) {
    wake_.cancel();
    signals_.cancel();
    server_->WhenWritten([this] { asio::post(io_, [this] { io_.stop(); }); });
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
      Do(model::count_metric{.name = "peer_messages_damaged_total"});
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
                   Serve(request, connection, number, respond);
                   return true;
                 },
                 [&](const model::findings& faults) {
                   respond(wire::ReplyToFaults(faults));
                   return false;
                 });
  }

  void Serve(const wire::api_request& request,
             std::uint64_t connection,
             model::call_number number,
             const http_responder& respond) {
    if (const auto* page = std::get_if<wire::page>(&request)) {
      respond(PageOf(*page));
      return;
    }
    responders_[number] = {.connection = connection, .respond = respond};
    calls_by_connection_[connection] = number;
    loop_.Post(std::get<model::event>(request));
  }

  wire::http_reply PageOf(wire::page page) const {
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
    // A draining entry is taken out by the balancer.
    const scheduler::entry_state& state = loop_.state();
    const bool serves = state.log.caught_up && !state.drain.draining;
    return {.status = serves ? 200U : 503U,
            .content_type = "text/plain",
            .body = serves ? "ready\n" : "not ready\n"};
  }

  void LoseCaller(std::uint64_t connection) {
    const auto found = calls_by_connection_.find(connection);
    if (found == calls_by_connection_.end())
      return;
    const model::call_number call = found->second;
    calls_by_connection_.erase(found);
    responders_.erase(call);
    loop_.Post(model::caller_gone{.at = clock_.Now(), .call = call});
  }

  const settings::settings& settings_;
  const scheduler::environment environment_;
  const monotonic_clock clock_;
  asio::io_context io_{1};
  http_client client_;
  peer_socket peers_;
  std::optional<http_server> server_;
  asio::steady_timer wake_;
  asio::signal_set signals_;
  std::ofstream record_;
  report::metrics metrics_;
  report::burn_counts burn_;
  model::call_number last_call_ = 0;
  std::map<model::call_number, open_responder> responders_;
  std::map<std::uint64_t, model::call_number> calls_by_connection_;
  const performer_tools tools_;
  entry_loop loop_;
};

}  // namespace

void RunEntry(const settings::settings& settings,
              const std::string& record_path) {
  entry_process(settings, record_path).Run();
}

}  // namespace parsleyhitch::runtime
