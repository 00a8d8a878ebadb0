// The platform's side of a run: log, VM list, peers' network, workers,
// endpoints.

#include <algorithm>
#include <utility>

#include "replay/stage_state.h"

namespace parsleyhitch::replay::detail {

namespace {

constexpr std::size_t kPageBatches = 256;

bool IsCutFromLog(const stage& stage, std::uint32_t entry) {
  return stage.log_down || stage.entries[entry].cut_from_log;
}

}  // namespace

void stage::Perform(std::uint32_t entry, const model::append_batch& effect) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  const std::uint64_t sequence = effect.content.sequence;
  const model::duration latency = Latency();
  const event_maker lost = [sequence](model::timestamp at) -> model::event {
    return model::append_unanswered{.at = at, .sequence = sequence};
  };
  After(latency + log_delay, [=, this, content = effect.content] {
    if (IsCutFromLog(*this, entry)) {
      After(latency, [=, this] { Post(entry, incarnation, lost); });
      return;
    }
    const std::uint64_t offset = log.Append(content);
    const auto waiting = std::exchange(parked, {});
    for (const auto& read : waiting)
      AnswerRead(read);
    if (lose_append_answers > 0) {
      --lose_append_answers;
      After(latency, [=, this] { Post(entry, incarnation, lost); });
      return;
    }
    After(latency, [=, this] {
      Post(entry, incarnation, [=](model::timestamp at) -> model::event {
        return model::append_answered{
            .at = at, .sequence = sequence, .offset = offset};
      });
    });
  });
}

void stage::AnswerRead(const std::shared_ptr<parked_read>& read) {
  if (read->answered)
    return;
  read->answered = true;
  const bool cut = IsCutFromLog(*this, read->entry);
  const std::uint64_t start = std::max(read->from, log.first_offset);
  std::vector<model::logged_batch> batches;
  if (!cut) {
    std::uint64_t offset = start;
    for (model::batch& batch : log.Read(start, kPageBatches))
      batches.push_back({.offset = offset++, .content = std::move(batch)});
  }
  const std::uint64_t first = log.first_offset;
  const std::uint64_t end = log.EndOffset();
  After(Latency() + log_delay, [=, this] {
    Post(read->entry, read->incarnation,
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

void stage::Perform(std::uint32_t entry, const model::read_log& effect) {
  auto read = std::make_shared<parked_read>(
      parked_read{.entry = entry,
                  .incarnation = entries[entry].incarnation,
                  .from = effect.from});
  const model::duration wait = effect.wait;
  After(Latency(), [=, this] {
    const bool has_records = read->from < log.EndOffset();
    if (IsCutFromLog(*this, entry) || has_records ||
        wait == model::duration::zero()) {
      AnswerRead(read);
      return;
    }
    parked.push_back(read);
    After(wait, [=, this] {
      parked.remove(read);
      AnswerRead(read);
    });
  });
}

void stage::Perform(std::uint32_t entry, const model::read_vm_list&) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  std::vector<model::listed_vm> vms;
  for (const auto& [name, slot] : workers) {
    if (slot.alive)
      vms.push_back({.spec = slot.spec, .leaving = slot.listed_leaving});
  }
  const bool down = vm_list_down;
  // The list lags: it tells how things stood when the answer set out.
  After(2 * Latency() + trace.setup.vm_list_lag, [=, this] {
    Post(entry, incarnation, [=](model::timestamp at) -> model::event {
      if (down)
        return model::vm_list_unread{.at = at};
      return model::vm_list_read{.at = at, .vms = vms};
    });
  });
}

void stage::Perform(std::uint32_t entry, const model::send_to_peer& effect) {
  const auto found = std::ranges::find_if(entries, [&](const entry_slot& slot) {
    return slot.environment->me == effect.to;
  });
  const auto peer = static_cast<std::uint32_t>(found - entries.begin());
  if (entries[entry].cut_from_peers || entries[peer].cut_from_peers)
    return;
  const std::uint64_t incarnation = entries[peer].incarnation;
  const model::peer_message message = effect.message;
  After(Latency(), [=, this] {
    Post(peer, incarnation, [=](model::timestamp at) -> model::event {
      return model::peer_heard{.at = at, .message = message};
    });
  });
}

model::duration stage::RemainingOf(const model::job_id& job) const {
  const auto name = names_by_job.find(job);
  if (name == names_by_job.end())
    return model::duration(1);
  const model::duration whole = run_times.at(name->second);
  const auto saved = work_saved.find(job);
  return saved == work_saved.end()
             ? whole
             : std::max(whole - saved->second, model::duration(1));
}

// Takes note of what a worker's tasks did since the last look.
void stage::SeeWorker(worker_slot& slot) {
  const auto& journal = slot.worker.journal;
  for (; slot.journal_seen < journal.size(); ++slot.journal_seen) {
    const task_entry& entry = journal[slot.journal_seen];
    watch.SeeTask(slot.spec.worker, entry);
    if (entry.state == model::task_state::kHeld)
      result.last_new_work[slot.spec.worker] = entry.at;
    const auto since = running_since.find(entry.job);
    if (entry.state == model::task_state::kRunning) {
      running_since[entry.job] = entry.at;
    } else if (entry.state == model::task_state::kStopped &&
               since != running_since.end()) {
      const model::duration ran = entry.at - since->second;
      if (entry.checkpointed)
        work_saved[entry.job] += ran;
      else
        result.work_lost += static_cast<std::uint64_t>(ran.count()) *
                            sizes[names_by_job[entry.job]];
      running_since.erase(since);
    }
  }
}

void stage::SyncWorker(std::uint32_t entry,
                       const model::call_worker& effect,
                       bool answers) {
  worker_slot& slot = workers.at(effect.worker);
  const std::uint64_t incarnation = entries[entry].incarnation;
  for (const model::task_instruction& order : effect.sync.tasks) {
    const model::placement* placed =
        entries[entry].state.ledger.placements.Find(order.job);
    if (placed != nullptr && placed->token == order.token)
      watch.SeeGang(order.job, order.token, placed->members.size());
  }
  fake_sync done =
      Sync(std::move(slot.worker), effect.sync, now,
           [this](const model::job_id& job) { return RemainingOf(job); });
  slot.worker = std::move(done.worker);
  SeeWorker(slot);
  if (slot.lose_answers > 0) {
    --slot.lose_answers;
    answers = false;
  }
  if (!answers)
    return;
  After(Latency(), [=, this, report = done.report] {
    Post(entry, incarnation, [=](model::timestamp at) -> model::event {
      return model::worker_answered{.at = at,
                                    .worker = effect.worker,
                                    .call = effect.call,
                                    .report = report};
    });
  });
}

void stage::Perform(std::uint32_t entry, const model::call_worker& effect) {
  const std::uint64_t incarnation = entries[entry].incarnation;
  After(Latency(), [=, this] {
    worker_slot& slot = workers.at(effect.worker);
    if (slot.alive && !slot.frozen) {
      SyncWorker(entry, effect, true);
    } else if (slot.frozen) {
      // The sync lies in the worker's socket until it thaws.
      slot.inbox.push_back([=, this] { SyncWorker(entry, effect, false); });
    }
  });
  // An answer that came first makes this one stale.
  After(effect.timeout, [=, this] {
    Post(entry, incarnation, [=](model::timestamp at) -> model::event {
      return model::worker_unanswered{
          .at = at, .worker = effect.worker, .call = effect.call};
    });
  });
}

namespace {

struct endpoint_run {
  std::uint32_t entry = 0;
  std::uint64_t incarnation = 0;
  model::call_number call = 0;
  std::uint32_t attempt = 0;
};

void Unanswered(stage& stage,
                const endpoint_run& run,
                model::duration wait,
                bool sent) {
  stage.After(wait, [&stage, run, sent] {
    stage.Post(
        run.entry, run.incarnation, [=](model::timestamp at) -> model::event {
          return model::endpoint_unanswered{
              .at = at, .call = run.call, .attempt = run.attempt, .sent = sent};
        });
  });
}

void Answered(stage& stage,
              const endpoint_run& run,
              model::duration wait,
              std::uint32_t attempt,
              const std::string& body,
              bool leaving) {
  constexpr std::uint32_t kOk = 200;
  constexpr std::uint32_t kUnavailable = 503;
  stage.After(wait, [&stage, run, attempt, body, leaving] {
    stage.Post(run.entry, run.incarnation,
               [=](model::timestamp at) -> model::event {
                 return model::endpoint_answered{
                     .at = at,
                     .call = run.call,
                     .attempt = attempt,
                     .status = leaving ? kUnavailable : kOk,
                     .leaving = leaving,
                     .body = body};
               });
  });
}

}  // namespace

void stage::Perform(std::uint32_t entry, const model::call_endpoint& effect) {
  const endpoint_run run{.entry = entry,
                         .incarnation = entries[entry].incarnation,
                         .call = effect.call,
                         .attempt = effect.attempt};
  const model::duration latency = Latency();
  const auto traced = entries[entry].open_calls.find(effect.call);
  if (traced == entries[entry].open_calls.end())
    return;
  const std::size_t index = traced->second;
  After(latency, [=, this] {
    const traced_call& call = calls.at(index);
    worker_slot& slot = workers.at(model::worker_id(effect.address));
    if (!slot.alive) {
      Unanswered(*this, run, latency, false);
      return;
    }
    if (slot.frozen) {
      // Taken by the socket; run when the endpoint thaws.
      slot.inbox.push_back(
          [=, this] { watch.SeeRun(call.name, call.key, now); });
      Unanswered(*this, run, effect.timeout, true);
      return;
    }
    if (slot.worker.leaving) {
      Answered(*this, run, latency, run.attempt, "", true);
      return;
    }
    watch.SeeRun(call.name, call.key, now);
    ++result.runs_by_key[call.key];
    result.last_new_work[slot.spec.worker] = now;
    const std::string body = "served " + effect.body;
    switch (slot.endpoint) {
      case endpoint_mode::kSilent:
        Unanswered(*this, run, effect.timeout, true);
        return;
      case endpoint_mode::kCrossed:
        // Another attempt's answer, then its own.
        Answered(*this, run, latency, run.attempt + 1, "served another", false);
        Answered(*this, run, 2 * latency + call.takes, run.attempt, body,
                 false);
        return;
      case endpoint_mode::kLate:
        Unanswered(*this, run, effect.timeout, true);
        Answered(*this, run, effect.timeout + latency, run.attempt, body,
                 false);
        return;
      case endpoint_mode::kWell:
        if (call.takes > effect.timeout)
          Unanswered(*this, run, effect.timeout, true);
        else
          Answered(*this, run, latency + call.takes, run.attempt, body, false);
        return;
    }
  });
}

}  // namespace parsleyhitch::replay::detail
