// The callers' side of a run, and the faults that the trace inflicts.

#include <algorithm>
#include <utility>

#include "replay/stage_state.h"

namespace parsleyhitch::replay::detail {

namespace {

constexpr model::duration kCallDeadline{10000};

// The balancer checks each entry's health so often.
constexpr model::duration kHealthCheck{500};

bool IsInRotation(const stage& stage, const entry_slot& slot) {
  const scheduler::drain_state& drain = slot.state.drain;
  return slot.alive &&
         !(drain.draining && stage.now - drain.since >= kHealthCheck);
}

// The entry that the balancer sends a call to: the one named, or the next in
// rotation.
std::uint32_t Reach(const stage& stage, std::uint32_t entry) {
  const auto count = static_cast<std::uint32_t>(stage.entries.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint32_t candidate = (entry + i) % count;
    if (IsInRotation(stage, stage.entries[candidate]))
      return candidate;
  }
  return count;
}

// Opens a call; nothing is alive to take it when the result is the last index.
model::call_number OpenCall(stage& stage,
                            std::uint32_t entry,
                            traced_call call) {
  entry_slot& slot = stage.entries[entry];
  stage.calls.push_back(std::move(call));
  slot.open_calls[++slot.last_call] = stage.calls.size() - 1;
  return slot.last_call;
}

}  // namespace

void stage::Perform(std::uint32_t entry, const model::answer_caller& effect) {
  entry_slot& slot = entries[entry];
  const auto found = slot.open_calls.find(effect.call);
  if (found == slot.open_calls.end())
    return;
  const traced_call& call = calls.at(found->second);
  slot.open_calls.erase(found);
  watch.SeeAnswer(call.name, call.body, effect.content, now);
  if (call.is_job && effect.content.job && !jobs_by_name.contains(call.name)) {
    jobs_by_name[call.name] = effect.content.job->job;
    names_by_job[effect.content.job->job] = call.name;
  }
  result.outcomes.push_back({.name = call.name,
                             .arrived = call.arrived,
                             .answered = now,
                             .answer = effect.content});
}

void stage::Perform(std::uint32_t entry, const model::wake_at& effect) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  const std::uint64_t wake = ++entries[entry].wake;
  At(effect.at, [=, this] {
    if (entries[entry].wake != wake)
      return;
    Post(entry, incarnation, [](model::timestamp at) -> model::event {
      return model::wake_due{.at = at};
    });
  });
}

void stage::Perform(std::uint32_t, const model::write_log_line&) {}

void stage::Perform(std::uint32_t, const model::observe_request&) {}

void stage::Perform(std::uint32_t, const model::count_metric& effect) {
  result.counters[effect.name] += effect.increment;
}

void stage::Perform(std::uint32_t entry, const model::stop_process&) {
  entry_slot& slot = entries[entry];
  for (const auto& [number, index] : slot.open_calls)
    watch.SeeCut(calls.at(index).name + " was cut by a planned stop", now);
  slot.open_calls.clear();
  slot.alive = false;
  result.stopped[entry] = now;
}

void stage::Arrive(const job_arrival& arrival) {
  const std::uint32_t entry = Reach(*this, arrival.entry);
  if (entry == entries.size())
    return;
  run_times[arrival.name] = arrival.runs;
  sizes[arrival.name] = std::uint64_t{arrival.spec.capacity.gang_size} *
                        arrival.spec.capacity.accelerators;
  const model::call_number call = OpenCall(
      *this, entry, {.name = arrival.name, .arrived = now, .is_job = true});
  Post(entry, entries[entry].incarnation,
       [=](model::timestamp at) -> model::event {
         return model::job_requested{.at = at,
                                     .call = call,
                                     .spec = arrival.spec,
                                     .deadline = at + kCallDeadline};
       });
}

void stage::Arrive(const job_cancel& arrival) {
  const std::uint32_t entry = Reach(*this, arrival.entry);
  const auto job = jobs_by_name.find(arrival.name);
  if (entry == entries.size() || job == jobs_by_name.end())
    return;
  const model::call_number call = OpenCall(
      *this, entry, {.name = "cancel " + arrival.name, .arrived = now});
  const model::job_id id = job->second;
  Post(entry, entries[entry].incarnation,
       [=](model::timestamp at) -> model::event {
         return model::job_cancel_requested{
             .at = at, .call = call, .job = id, .deadline = at + kCallDeadline};
       });
}

void stage::Arrive(const request_arrival& arrival) {
  const std::uint32_t entry = Reach(*this, arrival.entry);
  if (entry == entries.size())
    return;
  const model::call_number call = OpenCall(*this, entry,
                                           {.name = arrival.name,
                                            .body = arrival.body,
                                            .key = arrival.key.value(),
                                            .takes = arrival.takes,
                                            .arrived = now});
  // The deadline is the caller's: time that the entry is frozen counts.
  const model::timestamp deadline = arrival.within == model::duration::zero()
                                        ? model::timestamp()
                                        : now + arrival.within;
  Post(entry, entries[entry].incarnation,
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

void stage::Arrive(const manifest_arrival& arrival) {
  const std::uint32_t entry = Reach(*this, arrival.entry);
  if (entry == entries.size())
    return;
  const model::call_number call =
      OpenCall(*this, entry, {.name = arrival.name, .arrived = now});
  Post(entry, entries[entry].incarnation,
       [=](model::timestamp at) -> model::event {
         return model::manifest_offered{.at = at,
                                        .call = call,
                                        .proposed = arrival.proposed,
                                        .deadline = at + kCallDeadline};
       });
}

void stage::InflictOnWorker(const fault& fault, worker_slot& worker) {
  switch (fault.kind) {
    case fault_kind::kKillWorker:
      worker.worker = Advance(std::move(worker.worker), now);
      // Its tasks die with it.
      worker.worker =
          Sync(std::move(worker.worker), {.as_of = worker.worker.highest_as_of},
               now, [](const auto&) { return model::duration(0); })
              .worker;
      SeeWorker(worker);
      worker.alive = false;
      return;
    case fault_kind::kStartWorker:
      worker.alive = true;
      worker.worker.highest_as_of = 0;
      return;
    case fault_kind::kFreezeWorker:
      worker.frozen = true;
      return;
    case fault_kind::kThawWorker: {
      worker.frozen = false;
      const auto inbox = std::exchange(worker.inbox, {});
      for (const auto& action : inbox)
        action();
      return;
    }
    case fault_kind::kLoseWorkerAnswers:
      worker.lose_answers = fault.number;
      return;
    case fault_kind::kFailTasks:
      worker.worker.fails_tasks = true;
      return;
    case fault_kind::kMendTasks:
      worker.worker.fails_tasks = false;
      return;
    case fault_kind::kIgnoreCheckpoints:
      worker.worker.ignores_checkpoints = true;
      return;
    case fault_kind::kLeaveListed:
      worker.listed_leaving = true;
      return;
    case fault_kind::kLeaveTold:
      worker.worker.leaving = true;
      return;
    case fault_kind::kEndpointSilent:
      worker.endpoint = endpoint_mode::kSilent;
      return;
    case fault_kind::kEndpointCrossed:
      worker.endpoint = endpoint_mode::kCrossed;
      return;
    case fault_kind::kEndpointLate:
      worker.endpoint = endpoint_mode::kLate;
      return;
    case fault_kind::kEndpointWell:
      worker.endpoint = endpoint_mode::kWell;
      return;
    default:
      return;
  }
}

void stage::Inflict(const fault& fault) {
  if (!fault.worker.empty()) {
    const bool several = fault.worker.ends_with('*');
    const std::string prefix = fault.worker.substr(0, fault.worker.size() - 1);
    for (auto& [name, slot] : workers) {
      const bool hit = several ? name.value().starts_with(prefix)
                               : name.value() == fault.worker;
      if (hit)
        InflictOnWorker(fault, slot);
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
        Post(fault.entry, incarnation, make);
      return;
    }
    case fault_kind::kDrainEntry:
      Post(fault.entry, slot.incarnation,
           [](model::timestamp at) -> model::event {
             return model::drain_requested{.at = at};
           });
      return;
    case fault_kind::kCutEntryFromLog:
    case fault_kind::kJoinEntryToLog: {
      slot.cut_from_log = fault.kind == fault_kind::kCutEntryFromLog;
      const auto waiting = parked;
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
      const auto waiting = std::exchange(parked, {});
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
