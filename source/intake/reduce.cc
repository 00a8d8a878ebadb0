// Connections whose request was passed on are not closed here: their callers
// wait for an answer. The exception are those that do not take the answer.

#include "intake/reduce.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleyhitch::intake {

namespace {

constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kTimedOut = 408;
constexpr std::uint32_t kBodyTooLarge = 413;
constexpr std::uint32_t kHeadTooLarge = 431;
constexpr std::uint32_t kUnavailable = 503;

// How long a refused client may take to read the refusal and close.
constexpr duration kRefusedTimeout{1000};

// A client that takes no byte of its answer for this long does not read it.
constexpr duration kStalledReply{1000};

// Copies of a request that is being handled: RESTinio's, whose string may have
// twice the size, and the decoded call's.
constexpr std::uint64_t kPassedCopies = 3;
// A field as two strings with their allocations, in RESTinio's list and in the
// decoded call.
constexpr std::uint64_t kFieldBytes = 300;

// Victims are closed until this share of the budget is in use, so that not
// every read of a client searches for one.
constexpr std::uint64_t kRelievedParts = 7;
constexpr std::uint64_t kBudgetParts = 8;

struct context {
  const limits& in_force;
  timestamp now;
  state after;
  effects outcome;
};

void Hold(context& ctx, connection& holder, std::uint64_t bytes) {
  ctx.after.held_bytes += bytes - holder.held_bytes;
  holder.held_bytes = bytes;
}

void Report(context& ctx,
            const connection_id& id,
            const std::string& metric,
            const std::string& address) {
  ctx.outcome.emplace_back(work::count_metric{.name = metric});
  ctx.outcome.emplace_back(work::write_log{
      .level = work::log_level::kWarning,
      .decision = "client_refused",
      .subject = address,
      .fields = {{.name = "why", .value = metric},
                 {.name = "server", .value = std::to_string(id.server)},
                 {.name = "connections",
                  .value = std::to_string(ctx.after.connections.size())},
                 {.name = "held_bytes",
                  .value = std::to_string(ctx.after.held_bytes)}}});
}

void Close(context& ctx, const connection_id& id) {
  const auto found = ctx.after.connections.find(id);
  ctx.after.held_bytes -= found->second.held_bytes;
  ctx.after.connections.erase(found);
  ctx.outcome.emplace_back(close_connection{.connection = id});
}

void Refuse(context& ctx,
            const connection_id& id,
            std::uint32_t status,
            const std::string& reason,
            const std::string& metric) {
  connection& refused = ctx.after.connections.at(id);
  Report(ctx, id, metric, refused.address);
  refused.at_phase = phase::kRefused;
  refused.since = ctx.now;
  Hold(ctx, refused, kConnectionBytes + refused.reply_bytes);
  ctx.outcome.emplace_back(
      refuse_request{.connection = id, .status = status, .reason = reason});
}

void CloseAndReport(context& ctx,
                    const connection_id& id,
                    const std::string& metric) {
  Report(ctx, id, metric, ctx.after.connections.at(id).address);
  Close(ctx, id);
}

bool MayClose(const context& ctx, const connection& candidate) {
  if (candidate.unwritten_replies != 0)
    return ctx.now - candidate.progress_at > kStalledReply;
  return candidate.at_phase != phase::kPassed;
}

// What a connection holds times how long it has: callers that send their
// requests at once cost little by this measure.
std::uint64_t CostOf(const context& ctx, const connection& candidate) {
  const auto held_for =
      std::max<std::int64_t>((ctx.now - candidate.held_since).count() + 1, 1);
  return candidate.held_bytes * static_cast<std::uint64_t>(held_for);
}

// Closes the connections with the highest cost until the budget is kept. The
// request of `reader` is served if it is the only one that holds memory.
void KeepBudget(context& ctx, const connection_id& reader) {
  const std::uint64_t budget = ctx.in_force.memory_bytes;
  if (ctx.after.held_bytes <= budget)
    return;
  std::vector<std::pair<std::uint64_t, connection_id>> candidates;
  for (const auto& [id, each] : ctx.after.connections) {
    if (MayClose(ctx, each))
      candidates.emplace_back(CostOf(ctx, each), id);
  }
  std::ranges::sort(candidates, std::greater<>());
  for (const auto& [cost, id] : candidates) {
    if (ctx.after.held_bytes <= budget / kBudgetParts * kRelievedParts)
      return;
    const bool alone = ctx.after.connections.size() == 1;
    if (id == reader && alone)
      continue;
    CloseAndReport(ctx, id, "connections_closed_for_memory");
  }
}

std::uint32_t MaxConnections(const limits& in_force, listener accepted_by) {
  switch (accepted_by) {
    case listener::kCallers:
      return in_force.max_caller_connections;
    case listener::kProbes:
    case listener::kScrapers:
      return in_force.max_operator_connections;
    case listener::kPeers:
      break;
  }
  return in_force.max_peer_connections;
}

// Closes the connection that has made no progress for longest, of those that
// `counts` selects, if there are more than `most`.
template <typename Counts>
void KeepCount(context& ctx,
               std::uint32_t most,
               const std::string& metric,
               Counts counts) {
  if (ctx.after.connections.size() <= most)
    return;
  std::uint32_t count = 0;
  const std::pair<const connection_id, connection>* longest = nullptr;
  for (const auto& each : ctx.after.connections) {
    if (!counts(each.second))
      continue;
    ++count;
    if (MayClose(ctx, each.second) &&
        (longest == nullptr ||
         each.second.progress_at < longest->second.progress_at))
      longest = &each;
  }
  if (count > most && longest != nullptr)
    CloseAndReport(ctx, connection_id(longest->first), metric);
}

void Apply(context& ctx, const connection_opened& event) {
  ctx.after.connections[event.connection] = {.accepted_by = event.accepted_by,
                                             .address = event.address,
                                             .since = ctx.now,
                                             .progress_at = ctx.now,
                                             .held_since = ctx.now,
                                             .held_bytes = kConnectionBytes};
  ctx.after.held_bytes += kConnectionBytes;
  ++ctx.after.listeners[event.connection.server].accepted;
  KeepCount(ctx, MaxConnections(ctx.in_force, event.accepted_by),
            "connections_closed_too_many", [&](const connection& each) {
              return each.accepted_by == event.accepted_by;
            });
  if (ctx.in_force.max_connections_per_address != 0) {
    KeepCount(
        ctx, ctx.in_force.max_connections_per_address,
        "connections_closed_too_many_of_address",
        [&](const connection& each) { return each.address == event.address; });
  }
  KeepBudget(ctx, event.connection);
}

bool RefuseIfOverLimit(context& ctx, const request_read& event) {
  const connection_id& id = event.connection;
  if (event.progress.phase == reading::kMalformed) {
    Refuse(ctx, id, kBadRequest, "not run: the request is malformed",
           "requests_refused_malformed");
    return true;
  }
  if (event.progress.head_bytes >
      ctx.in_force.max_header_bytes + kHeadAllowance) {
    Refuse(ctx, id, kHeadTooLarge, "not run: the head is too large",
           "requests_refused_head_too_large");
    return true;
  }
  if (event.progress.body_bytes > ctx.in_force.max_body_bytes) {
    Refuse(ctx, id, kBodyTooLarge, "not run: the body is too large",
           "requests_refused_body_too_large");
    return true;
  }
  return false;
}

phase PhaseOf(reading phase) {
  switch (phase) {
    case reading::kEmpty:
      return phase::kIdle;
    case reading::kHead:
      return phase::kHead;
    case reading::kBody:
      return phase::kBody;
    case reading::kComplete:
    case reading::kMalformed:
      break;
  }
  return phase::kPassed;
}

void Apply(context& ctx, const request_read& event) {
  const auto found = ctx.after.connections.find(event.connection);
  if (found == ctx.after.connections.end() ||
      found->second.at_phase == phase::kRefused ||
      RefuseIfOverLimit(ctx, event))
    return;
  const read_progress& progress = event.progress;
  connection& reader = found->second;
  const bool complete = progress.phase == reading::kComplete;
  const phase reached = PhaseOf(progress.phase);
  if (reader.at_phase == phase::kIdle && reached != phase::kIdle)
    reader.since = reader.held_since = ctx.now;
  // Empty lines are no progress.
  if (reached != phase::kIdle)
    reader.progress_at = ctx.now;
  const std::uint64_t handling =
      complete
          ? progress.held_bytes * kPassedCopies + progress.fields * kFieldBytes
          : progress.held_bytes;
  Hold(ctx, reader, kConnectionBytes + reader.reply_bytes + handling);
  if (!complete)
    reader.at_phase = reached;
  KeepBudget(ctx, event.connection);
  const auto kept = ctx.after.connections.find(event.connection);
  if (!complete || kept == ctx.after.connections.end())
    return;
  const bool alone = kept->second.held_bytes == ctx.after.held_bytes;
  if (ctx.after.held_bytes > ctx.in_force.memory_bytes && !alone) {
    Refuse(ctx, event.connection, kUnavailable, "not run; try again later",
           "requests_refused_for_memory");
    return;
  }
  kept->second.at_phase = phase::kPassed;
}

void Apply(context& ctx, const request_awaited& event) {
  const auto found = ctx.after.connections.find(event.connection);
  if (found == ctx.after.connections.end() ||
      found->second.at_phase != phase::kPassed)
    return;
  connection& reader = found->second;
  reader.at_phase = phase::kIdle;
  reader.since = reader.progress_at = reader.held_since = ctx.now;
  Hold(ctx, reader, kConnectionBytes + reader.reply_bytes);
}

void Apply(context& ctx, const reply_ready& event) {
  const auto found = ctx.after.connections.find(event.connection);
  if (found == ctx.after.connections.end())
    return;
  connection& client = found->second;
  ++client.unwritten_replies;
  client.reply_bytes += event.bytes;
  client.progress_at = ctx.now;
  Hold(ctx, client, client.held_bytes + event.bytes);
}

void Apply(context& ctx, const reply_progressed& event) {
  const auto found = ctx.after.connections.find(event.connection);
  if (found != ctx.after.connections.end())
    found->second.progress_at = ctx.now;
}

void Apply(context& ctx, const reply_written& event) {
  const auto found = ctx.after.connections.find(event.connection);
  if (found == ctx.after.connections.end())
    return;
  connection& client = found->second;
  client.progress_at = ctx.now;
  // A client may send its next head before it has taken the reply.
  if (client.at_phase == phase::kIdle)
    client.since = ctx.now;
  if (--client.unwritten_replies != 0)
    return;
  Hold(ctx, client, client.held_bytes - std::exchange(client.reply_bytes, 0));
}

void Apply(context& ctx, const connection_closed& event) {
  const auto found = ctx.after.connections.find(event.connection);
  if (found == ctx.after.connections.end())
    return;
  ctx.after.held_bytes -= found->second.held_bytes;
  ctx.after.connections.erase(found);
}

// A client that has not taken its replies is no one that has to send.
void EndWait(context& ctx, const connection_id& id, const connection& each) {
  const limits& in_force = ctx.in_force;
  if (each.unwritten_replies != 0)
    return;
  switch (each.at_phase) {
    case phase::kIdle:
      if (ctx.now - each.since > in_force.idle_timeout) {
        // Not reported: callers that keep connections open do this.
        ctx.outcome.emplace_back(
            work::count_metric{.name = "connections_closed_idle"});
        Close(ctx, id);
      }
      break;
    case phase::kHead:
      if (ctx.now - each.since > in_force.header_timeout)
        Refuse(ctx, id, kTimedOut, "not run: the head took too long",
               "requests_refused_head_too_slow");
      break;
    case phase::kBody:
      if (ctx.now - each.progress_at > in_force.idle_timeout)
        Refuse(ctx, id, kTimedOut, "not run: the body took too long",
               "requests_refused_body_too_slow");
      break;
    case phase::kRefused:
      if (ctx.now - each.since > kRefusedTimeout)
        Close(ctx, id);
      break;
    case phase::kPassed:
      break;
  }
}

void Apply(context& ctx, const time_passed&) {
  for (auto next = ctx.after.connections.begin();
       next != ctx.after.connections.end();) {
    const auto each = next++;
    EndWait(ctx, connection_id(each->first), each->second);
  }
}

// A server that accepts none of the connections that wait from one check to the
// next has failed to accept one, after which it never tries again. To listen
// anew resets those that wait.
void Apply(context& ctx, const listener_checked& event) {
  listening& checked = ctx.after.listeners[event.server];
  const listening before = std::exchange(
      checked, listening{.accepted = 0, .waiting = event.waiting});
  const bool stuck = event.waiting && before.waiting && before.accepted == 0;
  if (!stuck || !event.descriptor_free)
    return;
  checked.waiting = false;
  ctx.outcome.emplace_back(work::count_metric{.name = "listeners_reopened"});
  ctx.outcome.emplace_back(
      work::write_log{.level = work::log_level::kWarning,
                      .decision = "listener_reopened",
                      .subject = std::to_string(event.server)});
  ctx.outcome.emplace_back(reopen_listener{.server = event.server});
}

}  // namespace

step Reduce(const limits& limits, state state, const event& event) {
  context ctx{
      .in_force = limits,
      .now = std::visit([](const auto& each) { return each.at; }, event),
      .after = std::move(state),
      .outcome = {}};
  std::visit([&](const auto& each) { Apply(ctx, each); }, event);
  return {.after = std::move(ctx.after), .outcome = std::move(ctx.outcome)};
}

}  // namespace parsleyhitch::intake
