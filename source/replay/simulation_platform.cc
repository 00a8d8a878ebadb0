// The platform's side of the simulation: log, VM list, network between entries,
// workers and endpoints.

#include <algorithm>
#include <utility>

#include "replay/simulation_state.h"

namespace parsleyhitch::replay::detail {

namespace {

constexpr std::size_t kMaxBatchesPerRead = 256;

bool IsCutFromLog(const simulation& simulation, std::uint32_t entry) {
  return simulation.log_down || simulation.entries[entry].cut_from_log;
}

}  // namespace

void simulation::Perform(std::uint32_t entry,
                         const model::append_batch& effect) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  const std::uint64_t sequence = effect.content.sequence;
  const model::duration latency = Latency();
  const event_maker unanswered =
      [sequence](model::timestamp at) -> model::event {
    return model::append_unanswered{.at = at, .sequence = sequence};
  };
  ScheduleAfter(latency + log_delay, [=, this, content = effect.content] {
    if (IsCutFromLog(*this, entry)) {
      ScheduleAfter(latency,
                    [=, this] { PostEvent(entry, incarnation, unanswered); });
      return;
    }
    const std::uint64_t offset = log.Append(content);
    const auto waiting = std::exchange(pending_reads, {});
    for (const auto& read : waiting)
      AnswerRead(read);
    if (lose_append_answers > 0) {
      --lose_append_answers;
      ScheduleAfter(latency,
                    [=, this] { PostEvent(entry, incarnation, unanswered); });
      return;
    }
    ScheduleAfter(latency, [=, this] {
      PostEvent(entry, incarnation, [=](model::timestamp at) -> model::event {
        return model::append_answered{
            .at = at, .sequence = sequence, .offset = offset};
      });
    });
  });
}

void simulation::AnswerRead(const std::shared_ptr<pending_read>& read) {
  if (read->answered)
    return;
  read->answered = true;
  const bool cut = IsCutFromLog(*this, read->entry);
  const std::uint64_t start = std::max(read->from, log.first_offset);
  std::vector<model::logged_batch> batches;
  if (!cut) {
    std::uint64_t offset = start;
    for (model::batch& batch : log.Read(start, kMaxBatchesPerRead))
      batches.push_back({.offset = offset++, .content = std::move(batch)});
  }
  const std::uint64_t first = log.first_offset;
  const std::uint64_t end = log.EndOffset();
  ScheduleAfter(Latency() + log_delay, [=, this] {
    PostEvent(read->entry, read->incarnation,
              [=](model::timestamp at) -> model::event {
                if (cut)
                  return model::log_unread{.at = at};
                return model::log_read{.at = at,
                                       .first_offset = first,
                                       .end_offset = end,
                                       .batches = batches};
              });
  });
}

void simulation::Perform(std::uint32_t entry, const model::read_log& effect) {
  auto read = std::make_shared<pending_read>(
      pending_read{.entry = entry,
                   .incarnation = entries[entry].incarnation,
                   .from = effect.from});
  const model::duration wait = effect.wait;
  ScheduleAfter(Latency(), [=, this] {
    const bool has_records = read->from < log.EndOffset();
    if (IsCutFromLog(*this, entry) || has_records ||
        wait == model::duration::zero()) {
      AnswerRead(read);
      return;
    }
    pending_reads.push_back(read);
    ScheduleAfter(wait, [=, this] {
      pending_reads.remove(read);
      AnswerRead(read);
    });
  });
}

void simulation::Perform(std::uint32_t entry, const model::read_vm_list&) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  std::vector<model::listed_vm> vms;
  for (const auto& [name, slot] : workers) {
    if (slot.alive)
      vms.push_back({.spec = slot.spec, .leaving = slot.listed_leaving});
  }
  const bool down = vm_list_down;
  // The VM list lags: the response shows the state at the time of the call.
  ScheduleAfter(2 * Latency() + trace.setup.vm_list_lag, [=, this] {
    PostEvent(entry, incarnation, [=](model::timestamp at) -> model::event {
      if (down)
        return model::vm_list_unread{.at = at};
      return model::vm_list_read{.at = at, .vms = vms};
    });
  });
}

void simulation::Perform(std::uint32_t entry,
                         const model::send_to_peer& effect) {
  const auto found = std::ranges::find_if(entries, [&](const entry_slot& slot) {
    return slot.environment->me == effect.to;
  });
  const auto peer = static_cast<std::uint32_t>(found - entries.begin());
  if (entries[entry].cut_from_peers || entries[peer].cut_from_peers)
    return;
  const std::uint64_t incarnation = entries[peer].incarnation;
  const model::peer_message message = effect.message;
  ScheduleAfter(Latency(), [=, this] {
    PostEvent(peer, incarnation, [=](model::timestamp at) -> model::event {
      return model::peer_heard{.at = at, .message = message};
    });
  });
}

model::duration simulation::RemainingRunTime(const model::job_id& job) const {
  const auto name = name_by_job.find(job);
  if (name == name_by_job.end())
    return model::duration(1);
  const model::duration run_time = run_times.at(name->second);
  const auto saved = checkpointed_work.find(job);
  return saved == checkpointed_work.end()
             ? run_time
             : std::max(run_time - saved->second, model::duration(1));
}

// Processes the worker's task changes recorded since the previous call.
void simulation::RecordTaskChanges(worker_slot& slot) {
  const auto& journal = slot.worker.journal;
  for (; slot.journal_position < journal.size(); ++slot.journal_position) {
    const task_change& change = journal[slot.journal_position];
    run_monitor.RecordTaskChange(slot.spec.worker, change);
    if (change.state == model::task_state::kHeld)
      result.last_new_work[slot.spec.worker] = change.at;
    const auto since = running_since.find(change.job);
    if (change.state == model::task_state::kRunning) {
      running_since[change.job] = change.at;
    } else if (change.state == model::task_state::kStopped &&
               since != running_since.end()) {
      const model::duration ran = change.at - since->second;
      if (change.checkpointed)
        checkpointed_work[change.job] += ran;
      else
        result.work_lost += static_cast<std::uint64_t>(ran.count()) *
                            accelerators_by_name[name_by_job[change.job]];
      running_since.erase(since);
    }
  }
}

void simulation::SyncWorker(std::uint32_t entry,
                            const model::call_worker& effect,
                            bool send_answer) {
  worker_slot& slot = workers.at(effect.worker);
  const std::uint64_t incarnation = entries[entry].incarnation;
  for (const model::task_instruction& instruction : effect.sync.tasks) {
    const model::placement* placed =
        entries[entry].state.ledger.placements.Find(instruction.job);
    if (placed != nullptr && placed->token == instruction.token)
      run_monitor.RecordGang(instruction.job, instruction.token,
                             placed->members.size());
  }
  fake_sync_result done =
      Sync(std::move(slot.worker), effect.sync, now,
           [this](const model::job_id& job) { return RemainingRunTime(job); });
  slot.worker = std::move(done.worker);
  RecordTaskChanges(slot);
  if (slot.lose_answers > 0) {
    --slot.lose_answers;
    send_answer = false;
  }
  if (!send_answer)
    return;
  ScheduleAfter(Latency(), [=, this, report = done.report] {
    PostEvent(entry, incarnation, [=](model::timestamp at) -> model::event {
      return model::worker_answered{.at = at,
                                    .worker = effect.worker,
                                    .call = effect.call,
                                    .report = report};
    });
  });
}

void simulation::Perform(std::uint32_t entry,
                         const model::call_worker& effect) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  ScheduleAfter(Latency(), [=, this] {
    worker_slot& slot = workers.at(effect.worker);
    if (slot.alive && !slot.frozen) {
      SyncWorker(entry, effect, true);
    } else if (slot.frozen) {
      // The sync stays in the worker's socket buffer until the worker thaws,
      // and its answer is not delivered.
      slot.inbox.push_back([=, this] { SyncWorker(entry, effect, false); });
    }
  });
  // The entry ignores the timeout if the answer came first.
  ScheduleAfter(effect.timeout, [=, this] {
    PostEvent(entry, incarnation, [=](model::timestamp at) -> model::event {
      return model::worker_unanswered{
          .at = at, .worker = effect.worker, .call = effect.call};
    });
  });
}

namespace {

// One attempt of an entry to call an endpoint.
struct attempt_id {
  std::uint32_t entry = 0;
  std::uint64_t incarnation = 0;
  model::call_number call = 0;
  std::uint32_t attempt = 0;
};

void PostUnanswered(simulation& simulation,
                    const attempt_id& id,
                    model::duration wait,
                    bool sent) {
  simulation.ScheduleAfter(wait, [&simulation, id, sent] {
    simulation.PostEvent(
        id.entry, id.incarnation, [=](model::timestamp at) -> model::event {
          return model::endpoint_unanswered{
              .at = at, .call = id.call, .attempt = id.attempt, .sent = sent};
        });
  });
}

void PostAnswer(simulation& simulation,
                const attempt_id& id,
                model::duration wait,
                std::uint32_t attempt,
                const std::string& body,
                bool leaving) {
  constexpr std::uint32_t kOk = 200;
  constexpr std::uint32_t kUnavailable = 503;
  simulation.ScheduleAfter(wait, [&simulation, id, attempt, body, leaving] {
    simulation.PostEvent(id.entry, id.incarnation,
                         [=](model::timestamp at) -> model::event {
                           return model::endpoint_answered{
                               .at = at,
                               .call = id.call,
                               .attempt = attempt,
                               .status = leaving ? kUnavailable : kOk,
                               .leaving = leaving,
                               .body = body};
                         });
  });
}

}  // namespace

void simulation::Perform(std::uint32_t entry,
                         const model::call_endpoint& effect) {
  const attempt_id id{.entry = entry,
                      .incarnation = entries[entry].incarnation,
                      .call = effect.call,
                      .attempt = effect.attempt};
  const model::duration latency = Latency();
  const auto open_call = entries[entry].open_calls.find(effect.call);
  if (open_call == entries[entry].open_calls.end())
    return;
  const std::size_t index = open_call->second;
  ScheduleAfter(latency, [=, this] {
    const trace_call& call = calls.at(index);
    worker_slot& slot = workers.at(model::worker_id(effect.address));
    if (!slot.alive) {
      PostUnanswered(*this, id, latency, false);
      return;
    }
    if (slot.frozen) {
      // Accepted by the socket; runs when the endpoint thaws.
      slot.inbox.push_back([=, this] {
        run_monitor.RecordRequestRun(call.name, call.key, now);
      });
      PostUnanswered(*this, id, effect.timeout, true);
      return;
    }
    if (slot.worker.leaving) {
      PostAnswer(*this, id, latency, id.attempt, "", true);
      return;
    }
    run_monitor.RecordRequestRun(call.name, call.key, now);
    ++result.runs_by_key[call.key];
    result.last_new_work[slot.spec.worker] = now;
    const std::string body = "served " + effect.body;
    switch (slot.endpoint) {
      case endpoint_mode::kSilent:
        PostUnanswered(*this, id, effect.timeout, true);
        return;
      case endpoint_mode::kMismatched:
        // First the answer of a different attempt, then the right one.
        PostAnswer(*this, id, latency, id.attempt + 1, "served another", false);
        PostAnswer(*this, id, 2 * latency + call.takes, id.attempt, body,
                   false);
        return;
      case endpoint_mode::kLate:
        PostUnanswered(*this, id, effect.timeout, true);
        PostAnswer(*this, id, effect.timeout + latency, id.attempt, body,
                   false);
        return;
      case endpoint_mode::kHealthy:
        if (call.takes > effect.timeout)
          PostUnanswered(*this, id, effect.timeout, true);
        else
          PostAnswer(*this, id, latency + call.takes, id.attempt, body, false);
        return;
    }
  });
}

}  // namespace parsleyhitch::replay::detail
