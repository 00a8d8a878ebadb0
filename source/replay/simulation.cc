// The core of the simulation: clock, entries, and what is observed after each
// event.

#include "replay/simulation.h"

#include <algorithm>
#include <utility>

#include "replay/naive.h"
#include "replay/simulation_state.h"

namespace parsleyhitch::replay {

namespace detail {

namespace {

constexpr model::duration kSampleInterval{1000};
// More actions than this within one simulated millisecond indicate a livelock.
constexpr std::uint64_t kMaxActionsPerInstant = 200000;

model::entry_id EntryName(std::uint32_t number) {
  return model::entry_id("entry-" + std::to_string(number));
}

std::unique_ptr<scheduler::environment> MakeEnvironment(
    const setup& setup,
    std::uint32_t number,
    const run_options& options) {
  std::vector<model::entry_id> peers;
  for (std::uint32_t each = 0; each < setup.entries; ++each) {
    if (each != number)
      peers.push_back(EntryName(each));
  }
  const scheduler::hooks hooks = options.policy == policy_choice::kBaseline
                                     ? scheduler::BaselineHooks()
                                     : scheduler::DefaultHooks();
  return std::make_unique<scheduler::environment>(scheduler::environment{
      .me = EntryName(number),
      .peers = std::move(peers),
      .limits = setup.limits,
      .behaviour = ApplyNaiveHooks(hooks, options.naive)});
}

// The largest number of entirely free workers in one rack.
std::uint64_t LargestFreeRack(const model::ledger& ledger) {
  std::uint64_t largest = 0;
  for (const auto& [rack, candidates] : ledger.racks) {
    std::uint64_t free_workers = 0;
    for (const model::placement_candidate& each : candidates) {
      const model::worker_status& status = *ledger.workers.Find(each.worker);
      free_workers += each.free == status.spec.accelerators ? 1 : 0;
    }
    largest = std::max(largest, free_workers);
  }
  return largest;
}

// Returns the first entry that is alive and caught up with the log; samples are
// taken from its ledger. Returns the number of entries if there is none.
std::uint32_t FindObservedEntry(const std::vector<entry_slot>& entries) {
  for (std::uint32_t number = 0; number < entries.size(); ++number) {
    const entry_slot& slot = entries[number];
    if (slot.alive && !slot.frozen && slot.state.log.caught_up)
      return number;
  }
  return static_cast<std::uint32_t>(entries.size());
}

}  // namespace

simulation::simulation(const scenario& selected_trace,
                       const run_options& selected_options)
    : trace(selected_trace),
      options(selected_options),
      run_monitor(selected_trace.setup.limits),
      random(selected_trace.setup.seed) {
  entries.resize(trace.setup.entries);
  for (std::uint32_t number = 0; number < trace.setup.entries; ++number)
    entries[number].environment = MakeEnvironment(trace.setup, number, options);
  for (const worker_group& group : trace.setup.workers) {
    for (std::uint32_t i = 0; i < group.count; ++i) {
      const model::worker_id name(group.prefix + "-" + std::to_string(i));
      const std::string rack =
          group.prefix + "-rack-" + std::to_string(i / group.workers_per_rack);
      worker_slot slot{.spec = {.worker = name,
                                .address = name.value(),
                                .failure_domain = group.failure_domain,
                                .rack = model::rack_id(rack),
                                .accelerators = group.accelerators,
                                .slots = group.slots}};
      slot.worker.accelerators = group.accelerators;
      workers.emplace(name, std::move(slot));
    }
  }
}

void simulation::ScheduleAt(model::timestamp when,
                            std::function<void()> action) {
  actions.emplace(std::pair(std::max(when, now), next_action_number++),
                  std::move(action));
}

void simulation::ScheduleAfter(model::duration wait,
                               std::function<void()> action) {
  ScheduleAt(now + wait, std::move(action));
}

model::duration simulation::Latency() {
  if (trace.setup.jitter == model::duration::zero())
    return trace.setup.latency;
  const auto bound = static_cast<std::uint64_t>(trace.setup.jitter.count()) + 1;
  return trace.setup.latency +
         model::duration(static_cast<std::int64_t>(random() % bound));
}

void simulation::RunUntil(model::timestamp end) {
  std::uint64_t actions_this_instant = 0;
  while (!actions.empty() && actions.begin()->first.first <= end) {
    const auto next = actions.begin();
    actions_this_instant =
        next->first.first == now ? actions_this_instant + 1 : 0;
    now = next->first.first;
    if (actions_this_instant > kMaxActionsPerInstant) {
      run_monitor.ReportLivelock(now);
      return;
    }
    const std::function<void()> action = std::move(next->second);
    actions.erase(next);
    action();
  }
  now = end;
}

void simulation::StartEntry(std::uint32_t entry) {
  entry_slot& slot = entries.at(entry);
  slot.state = scheduler::entry_state();
  slot.alive = true;
  slot.frozen = false;
  slot.inbox.clear();
  ++slot.incarnation;
  const std::uint64_t incarnation = slot.incarnation;
  const std::uint64_t seed = trace.setup.seed * trace.setup.entries + entry;
  PostEvent(entry, incarnation,
            [incarnation, seed](model::timestamp at) -> model::event {
              return model::entry_started{
                  .at = at, .incarnation = incarnation, .seed = seed};
            });
}

void simulation::PostEvent(std::uint32_t entry,
                           std::uint64_t incarnation,
                           const event_maker& make) {
  entry_slot& slot = entries.at(entry);
  if (!slot.alive || slot.incarnation != incarnation)
    return;
  if (slot.frozen) {
    slot.inbox.push_back(make);
    return;
  }
  Reduce(entry, make(now));
}

void simulation::Reduce(std::uint32_t entry, const model::event& event) {
  entry_slot& slot = entries.at(entry);
  scheduler::step step =
      scheduler::Reduce(*slot.environment, std::move(slot.state), event);
  slot.state = std::move(step.state);
  for (const model::effect& effect : step.effects)
    std::visit([&](const auto& each) { Perform(entry, each); }, effect);
  ObserveEntry(entry);
}

void simulation::RecordJobPhase(const model::ledger& ledger,
                                const model::job_id& job) {
  const model::job_status* status = ledger.jobs.Find(job);
  if (status == nullptr)
    return;
  const bool first = phases_by_job[job].emplace(status->phase, now).second;
  if (first && status->phase == model::job_phase::kStopping &&
      status->reason == model::stop_reason::kPreempted) {
    ++result.preemptions;
  }
}

// Records the phases of the jobs named in batches that no entry had applied
// before. Called after every event, so the ledger passed is the first one to
// include those batches.
void simulation::RecordJobPhases(const model::ledger& ledger) {
  while (next_phase_offset < ledger.next_offset) {
    const std::uint64_t offset = next_phase_offset++;
    if (offset < log.first_offset)
      continue;
    for (const model::record& record :
         log.records[offset - log.first_offset].records) {
      if (const auto* placed = std::get_if<model::job_placed>(&record))
        RecordJobPhase(ledger, placed->job);
      if (const auto* preempted = std::get_if<model::job_preempted>(&record))
        RecordJobPhase(ledger, preempted->job);
      if (const auto* cancelled = std::get_if<model::job_cancelled>(&record))
        RecordJobPhase(ledger, cancelled->job);
      if (const auto* reported = std::get_if<model::tasks_reported>(&record)) {
        for (const model::task_report& task : reported->tasks)
          RecordJobPhase(ledger, task.job);
      }
    }
  }
}

void simulation::ObserveEntry(std::uint32_t entry) {
  const entry_slot& slot = entries.at(entry);
  const model::ledger& ledger = slot.state.ledger;
  RecordJobPhases(ledger);
  const std::string name = slot.environment->me.value();
  const model::manifest* in_force = ledger.in_force.Get();
  if (in_force != nullptr && slot.state.log.caught_up) {
    run_monitor.RecordVersion(name, in_force->version, now);
    const bool in_force_everywhere =
        std::ranges::all_of(entries, [&](const entry_slot& each) {
          const model::manifest* other = each.state.ledger.in_force.Get();
          return !each.alive || each.frozen ||
                 (other != nullptr && other->version >= in_force->version);
        });
    if (in_force_everywhere)
      result.in_force_everywhere.emplace(in_force->version, now);
  }
}

// Once a second, samples idle capacity and free racks, and checks the ledger of
// one entry.
void simulation::TakeSample() {
  ScheduleAfter(kSampleInterval, [this] { TakeSample(); });
  const std::uint32_t observed = FindObservedEntry(entries);
  if (observed == entries.size())
    return;
  const model::ledger& ledger = entries[observed].state.ledger;
  const auto elapsed = static_cast<std::uint64_t>((now - last_sample).count());
  last_sample = now;
  const std::uint64_t used =
      ledger.accelerators_firm + ledger.accelerators_soft;
  if (!ledger.waiting.empty() && ledger.accelerators_total > used)
    result.idle_while_waiting += (ledger.accelerators_total - used) * elapsed;
  result.largest_rack_sum += LargestFreeRack(ledger);
  ++result.samples;
  run_monitor.CheckLedger(entries[observed].environment->me.value(), ledger,
                          now);
}

namespace {

void CheckLedgersAgree(simulation& simulation) {
  for (const entry_slot& left : simulation.entries) {
    for (const entry_slot& right : simulation.entries) {
      const bool both_caught_up = left.alive && right.alive &&
                                  left.state.log.caught_up &&
                                  right.state.log.caught_up;
      const bool same_offset =
          left.state.ledger.next_offset == right.state.ledger.next_offset;
      if (both_caught_up && same_offset &&
          !(left.state.ledger == right.state.ledger)) {
        simulation.run_monitor.ReportDivergence(
            left.environment->me.value() + " and " +
                right.environment->me.value() + " hold different ledgers",
            simulation.now);
      }
    }
  }
}

template <typename Arrivals>
void ScheduleArrivals(simulation& simulation, const Arrivals& arrivals) {
  for (const auto& arrival : arrivals)
    simulation.ScheduleAt(kRunStart + arrival.at, [&simulation, &arrival] {
      simulation.HandleArrival(arrival);
    });
}

}  // namespace

}  // namespace detail

run_result RunScenario(const scenario& scenario, const run_options& options) {
  detail::simulation simulation(scenario, options);
  for (std::uint32_t entry = 0; entry < scenario.setup.entries; ++entry)
    simulation.StartEntry(entry);
  simulation.TakeSample();
  detail::ScheduleArrivals(simulation, scenario.jobs);
  detail::ScheduleArrivals(simulation, scenario.cancels);
  detail::ScheduleArrivals(simulation, scenario.requests);
  detail::ScheduleArrivals(simulation, scenario.manifests);
  for (const fault& fault : scenario.faults)
    simulation.ScheduleAt(kRunStart + fault.at, [&simulation, &fault] {
      simulation.InjectFault(fault);
    });
  if (!scenario.setup.manifest.workspaces.empty()) {
    // Leaves time for the workers to be registered first.
    constexpr model::duration kManifestDelay{2000};
    simulation.ScheduleAt(kRunStart + kManifestDelay, [&simulation, &scenario] {
      simulation.HandleArrival(manifest_arrival{
          .name = "setup", .proposed = scenario.setup.manifest});
    });
  }
  simulation.RunUntil(kRunStart + scenario.setup.until);
  detail::CheckLedgersAgree(simulation);
  for (const auto& [name, job] : simulation.job_by_name)
    simulation.result.phases[name] = simulation.phases_by_job[job];
  simulation.run_monitor.Finish(simulation.now);
  simulation.result.breaches =
      std::vector<breach>(simulation.run_monitor.breaches());
  return std::move(simulation.result);
}

}  // namespace parsleyhitch::replay
