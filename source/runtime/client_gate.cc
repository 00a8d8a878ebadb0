// A timer ends waits while there are connections.

#include "runtime/client_gate.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <utility>

#include "intake/reduce.h"

namespace parsleyhitch::runtime {

namespace detail {

namespace {

// How late a wait may end.
constexpr std::chrono::milliseconds kTickInterval{250};

}  // namespace

struct gate_state {
  gate_state(asio::io_context& io, gate_hooks behaviour)
      : hooks(std::move(behaviour)), timer(io) {}

  const gate_hooks hooks;
  asio::steady_timer timer;
  bool ticking = false;
  bool stopped = false;
  // Keyed by server; what has it listen anew.
  std::map<std::uint32_t, std::function<void()>> servers;
  intake::state intake;
  std::map<intake::connection_id, connection_hooks> connections;
};

namespace {

void Perform(gate_state& state, const intake::refuse_request& effect) {
  const auto found = state.connections.find(effect.connection);
  if (found != state.connections.end())
    found->second.refuse(effect);
}

void Perform(gate_state& state, const intake::close_connection& effect) {
  const auto found = state.connections.extract(effect.connection);
  if (!found.empty())
    found.mapped().close();
}

void Perform(gate_state& state, const intake::reopen_listener& effect) {
  const auto found = state.servers.find(effect.server);
  if (found != state.servers.end())
    found->second();
}

void Perform(gate_state& state, const work::count_metric& effect) {
  state.hooks.count(effect);
}

void Perform(gate_state& state, const work::write_log& effect) {
  state.hooks.log(effect);
}

void Reduce(gate_state& state, const intake::event& event) {
  if (state.stopped)
    return;
  intake::step step =
      intake::Reduce(state.hooks.limits(), std::move(state.intake), event);
  state.intake = std::move(step.after);
  for (const intake::effect& effect : step.outcome)
    std::visit([&](const auto& each) { Perform(state, each); }, effect);
}

void Tick(const std::shared_ptr<gate_state>& state) {
  state->ticking = !state->intake.connections.empty();
  if (!state->ticking)
    return;
  state->timer.expires_after(kTickInterval);
  state->timer.async_wait(
      [weak = std::weak_ptr<gate_state>(state)](const asio::error_code& error) {
        const auto state = weak.lock();
        if (error || !state)
          return;
        Reduce(*state, intake::time_passed{.at = state->hooks.clock()});
        Tick(state);
      });
}

}  // namespace

}  // namespace detail

client_gate::client_gate(asio::io_context& io, gate_hooks hooks)
    : state_(std::make_shared<detail::gate_state>(io, std::move(hooks))) {}

client_gate::~client_gate() = default;

std::uint32_t client_gate::AddServer(std::function<void()> reopen) {
  const auto number = static_cast<std::uint32_t>(state_->servers.size());
  state_->servers.emplace(number, std::move(reopen));
  return number;
}

void client_gate::Open(const intake::connection_id& connection,
                       intake::listener accepted_by,
                       const std::string& address,
                       connection_hooks hooks) {
  state_->connections[connection] = std::move(hooks);
  detail::Reduce(*state_, intake::connection_opened{.at = Now(),
                                                    .connection = connection,
                                                    .accepted_by = accepted_by,
                                                    .address = address});
  if (!state_->ticking)
    detail::Tick(state_);
}

void client_gate::Post(const intake::event& event) {
  if (const auto* closed = std::get_if<intake::connection_closed>(&event))
    state_->connections.erase(closed->connection);
  detail::Reduce(*state_, event);
}

void client_gate::Stop() {
  state_->stopped = true;
}

model::timestamp client_gate::Now() const {
  return state_->stopped ? model::timestamp() : state_->hooks.clock();
}

}  // namespace parsleyhitch::runtime
