// The callers' side of the simulation, and the faults that the trace injects.

#include <algorithm>
#include <utility>

#include "replay/simulation_state.h"

namespace parsleyhitch::replay::detail {

namespace {

constexpr model::duration kCallDeadline{10000};

// Interval of the load balancer's health checks: a draining entry leaves the
// rotation this long after its drain began.
constexpr model::duration kHealthCheckInterval{500};

bool IsInRotation(const simulation& simulation, const entry_slot& slot) {
  const scheduler::drain_state& drain = slot.state.drain;
  return slot.alive && !(drain.draining &&
                         simulation.now - drain.since >= kHealthCheckInterval);
}

// Returns the entry to which the load balancer sends a call: the named one, or
// the next one in rotation. Returns the number of entries if there is none.
std::uint32_t SelectEntry(const simulation& simulation, std::uint32_t entry) {
  const auto count = static_cast<std::uint32_t>(simulation.entries.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint32_t candidate = (entry + i) % count;
    if (IsInRotation(simulation, simulation.entries[candidate]))
      return candidate;
  }
  return count;
}

// Registers a call at the entry and returns its number there.
model::call_number OpenCall(simulation& simulation,
                            std::uint32_t entry,
                            trace_call call) {
  entry_slot& slot = simulation.entries[entry];
  simulation.calls.push_back(std::move(call));
  slot.open_calls[++slot.last_call] = simulation.calls.size() - 1;
  return slot.last_call;
}

}  // namespace

void simulation::Perform(std::uint32_t entry,
                         const model::answer_caller& effect) {
  entry_slot& slot = entries[entry];
  const auto found = slot.open_calls.find(effect.call);
  if (found == slot.open_calls.end())
    return;
  const trace_call& call = calls.at(found->second);
  slot.open_calls.erase(found);
  run_monitor.RecordAnswer(call.name, call.body, effect.content, now);
  if (call.is_job && effect.content.job && !job_by_name.contains(call.name)) {
    job_by_name[call.name] = effect.content.job->job;
    name_by_job[effect.content.job->job] = call.name;
  }
  result.outcomes.push_back({.name = call.name,
                             .arrived = call.arrived,
                             .answered = now,
                             .answer = effect.content});
}

void simulation::Perform(std::uint32_t entry, const model::wake_at& effect) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  const std::uint64_t wake_number = ++entries[entry].wake_number;
  ScheduleAt(effect.at, [=, this] {
    if (entries[entry].wake_number != wake_number)
      return;
    PostEvent(entry, incarnation, [](model::timestamp at) -> model::event {
      return model::wake_due{.at = at};
    });
  });
}

void simulation::Perform(std::uint32_t, const model::write_log_line&) {}

void simulation::Perform(std::uint32_t, const model::observe_request&) {}

void simulation::Perform(std::uint32_t, const model::count_metric& effect) {
  result.counters[effect.name] += effect.increment;
}

void simulation::Perform(std::uint32_t entry, const model::stop_process&) {
  entry_slot& slot = entries[entry];
  for (const auto& [number, index] : slot.open_calls)
    run_monitor.RecordInterruption(
        calls.at(index).name + " was interrupted by a planned stop", now);
  slot.open_calls.clear();
  slot.alive = false;
  result.stopped[entry] = now;
}

void simulation::HandleArrival(const job_arrival& arrival) {
  const std::uint32_t entry = SelectEntry(*this, arrival.entry);
  if (entry == entries.size())
    return;
  run_times[arrival.name] = arrival.runs;
  accelerators_by_name[arrival.name] =
      std::uint64_t{arrival.spec.capacity.gang_size} *
      arrival.spec.capacity.accelerators;
  const model::call_number call = OpenCall(
      *this, entry, {.name = arrival.name, .arrived = now, .is_job = true});
  PostEvent(entry, entries[entry].incarnation,
            [=](model::timestamp at) -> model::event {
              return model::job_requested{.at = at,
                                          .call = call,
                                          .spec = arrival.spec,
                                          .deadline = at + kCallDeadline};
            });
}

void simulation::HandleArrival(const job_cancel& arrival) {
  const std::uint32_t entry = SelectEntry(*this, arrival.entry);
  const auto job = job_by_name.find(arrival.name);
  if (entry == entries.size() || job == job_by_name.end())
    return;
  const model::call_number call = OpenCall(
      *this, entry, {.name = "cancel " + arrival.name, .arrived = now});
  const model::job_id id = job->second;
  PostEvent(
      entry, entries[entry].incarnation,
      [=](model::timestamp at) -> model::event {
        return model::job_cancel_requested{
            .at = at, .call = call, .job = id, .deadline = at + kCallDeadline};
      });
}

void simulation::HandleArrival(const request_arrival& arrival) {
  const std::uint32_t entry = SelectEntry(*this, arrival.entry);
  if (entry == entries.size())
    return;
  const model::call_number call = OpenCall(*this, entry,
                                           {.name = arrival.name,
                                            .body = arrival.body,
                                            .key = arrival.key.value(),
                                            .takes = arrival.takes,
                                            .arrived = now});
  // The deadline is set by the caller, so time during which the entry is frozen
  // counts.
  const model::timestamp deadline = arrival.within == model::duration::zero()
                                        ? model::timestamp()
                                        : now + arrival.within;
  PostEvent(entry, entries[entry].incarnation,
            [=](model::timestamp at) -> model::event {
              return model::request_received{.at = at,
                                             .call = call,
                                             .target = arrival.target,
                                             .owner = arrival.owner,
                                             .idempotent = arrival.idempotent,
                                             .key = arrival.key,
                                             .deadline = deadline,
                                             .body = arrival.body};
            });
}

void simulation::HandleArrival(const manifest_arrival& arrival) {
  const std::uint32_t entry = SelectEntry(*this, arrival.entry);
  if (entry == entries.size())
    return;
  const model::call_number call =
      OpenCall(*this, entry, {.name = arrival.name, .arrived = now});
  PostEvent(entry, entries[entry].incarnation,
            [=](model::timestamp at) -> model::event {
              return model::manifest_offered{.at = at,
                                             .call = call,
                                             .proposed = arrival.proposed,
                                             .deadline = at + kCallDeadline};
            });
}

void simulation::InjectWorkerFault(const fault& fault, worker_slot& slot) {
  switch (fault.kind) {
    case fault_kind::kKillWorker:
      slot.worker = Advance(std::move(slot.worker), now);
      // An empty sync stops all its tasks.
      slot.worker =
          Sync(std::move(slot.worker), {.as_of = slot.worker.highest_as_of},
               now, [](const auto&) { return model::duration(0); })
              .worker;
      RecordTaskChanges(slot);
      slot.alive = false;
      return;
    case fault_kind::kStartWorker:
      slot.alive = true;
      slot.worker.highest_as_of = 0;
      return;
    case fault_kind::kFreezeWorker:
      slot.frozen = true;
      return;
    case fault_kind::kThawWorker: {
      slot.frozen = false;
      const auto inbox = std::exchange(slot.inbox, {});
      for (const auto& action : inbox)
        action();
      return;
    }
    case fault_kind::kLoseWorkerAnswers:
      slot.lose_answers = fault.number;
      return;
    case fault_kind::kFailTasks:
      slot.worker.fails_tasks = true;
      return;
    case fault_kind::kMendTasks:
      slot.worker.fails_tasks = false;
      return;
    case fault_kind::kIgnoreCheckpoints:
      slot.worker.ignores_checkpoints = true;
      return;
    case fault_kind::kLeaveListed:
      slot.listed_leaving = true;
      return;
    case fault_kind::kLeaveTold:
      slot.worker.leaving = true;
      return;
    case fault_kind::kEndpointSilent:
      slot.endpoint = endpoint_mode::kSilent;
      return;
    case fault_kind::kEndpointCrossed:
      slot.endpoint = endpoint_mode::kMismatched;
      return;
    case fault_kind::kEndpointLate:
      slot.endpoint = endpoint_mode::kLate;
      return;
    case fault_kind::kEndpointWell:
      slot.endpoint = endpoint_mode::kHealthy;
      return;
    default:
      return;
  }
}

void simulation::InjectFault(const fault& fault) {
  if (!fault.worker.empty()) {
    const bool is_prefix = fault.worker.ends_with('*');
    const std::string prefix = fault.worker.substr(0, fault.worker.size() - 1);
    for (auto& [name, slot] : workers) {
      const bool matches = is_prefix ? name.value().starts_with(prefix)
                                     : name.value() == fault.worker;
      if (matches)
        InjectWorkerFault(fault, slot);
    }
    return;
  }
  entry_slot& slot = entries.at(fault.entry);
  switch (fault.kind) {
    case fault_kind::kKillEntry:
      slot.alive = false;
      slot.open_calls.clear();
      return;
    case fault_kind::kStartEntry:
      StartEntry(fault.entry);
      return;
    case fault_kind::kFreezeEntry:
      slot.frozen = true;
      return;
    case fault_kind::kThawEntry: {
      slot.frozen = false;
      const std::uint64_t incarnation = slot.incarnation;
      const auto inbox = std::exchange(slot.inbox, {});
      for (const event_maker& make : inbox)
        PostEvent(fault.entry, incarnation, make);
      return;
    }
    case fault_kind::kDrainEntry:
      PostEvent(fault.entry, slot.incarnation,
                [](model::timestamp at) -> model::event {
                  return model::drain_requested{.at = at};
                });
      return;
    case fault_kind::kCutEntryFromLog:
    case fault_kind::kJoinEntryToLog: {
      slot.cut_from_log = fault.kind == fault_kind::kCutEntryFromLog;
      const auto waiting = pending_reads;
      for (const auto& read : waiting) {
        if (read->entry == fault.entry)
          AnswerRead(read);
      }
      return;
    }
    case fault_kind::kCutEntryFromPeers:
      slot.cut_from_peers = true;
      return;
    case fault_kind::kJoinEntryToPeers:
      slot.cut_from_peers = false;
      return;
    case fault_kind::kLogDown: {
      log_down = true;
      const auto waiting = std::exchange(pending_reads, {});
      for (const auto& read : waiting)
        AnswerRead(read);
      return;
    }
    case fault_kind::kLogUp:
      log_down = false;
      return;
    case fault_kind::kLogSlow:
      log_delay = model::duration(static_cast<std::int64_t>(fault.number));
      return;
    case fault_kind::kLoseAppendAnswers:
      lose_append_answers = fault.number;
      return;
    case fault_kind::kTrimLog:
      log.Trim(fault.number);
      return;
    case fault_kind::kVmListDown:
      vm_list_down = true;
      return;
    case fault_kind::kVmListUp:
      vm_list_down = false;
      return;
    default:
      return;
  }
}

}  // namespace parsleyhitch::replay::detail
