// The run itself: time, entries, and what is watched after each event.

#include "replay/stage.h"

#include <algorithm>
#include <utility>

#include "replay/naive.h"
#include "replay/stage_state.h"

namespace parsleyhitch::replay {

namespace detail {

namespace {

constexpr model::duration kSampleInterval{1000};
// More actions than this within one millisecond mean that something spins.
constexpr std::uint64_t kMostAtOnce = 200000;

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
  return std::make_unique<scheduler::environment>(
      scheduler::environment{.me = EntryName(number),
                             .peers = std::move(peers),
                             .limits = setup.limits,
                             .behaviour = WithNaive(hooks, options.naive)});
}

// The largest number of whole free workers in one rack.
std::uint64_t LargestRack(const model::ledger& ledger) {
  std::uint64_t largest = 0;
  for (const auto& [rack, slots] : ledger.racks) {
    std::uint64_t whole = 0;
    for (const model::placement_candidate& slot : slots) {
      const model::worker_status& status = *ledger.workers.Find(slot.worker);
      whole += slot.free == status.spec.accelerators ? 1 : 0;
    }
    largest = std::max(largest, whole);
  }
  return largest;
}

// Phases are read off one entry's ledger: the first that is alive and caught
// up.
std::uint32_t Witness(const std::vector<entry_slot>& entries) {
  for (std::uint32_t number = 0; number < entries.size(); ++number) {
    const entry_slot& slot = entries[number];
    if (slot.alive && !slot.frozen && slot.state.log.caught_up)
      return number;
  }
  return static_cast<std::uint32_t>(entries.size());
}

}  // namespace

stage::stage(const scenario& traced, const run_options& chosen)
    : trace(traced),
      options(chosen),
      watch(traced.setup.limits),
      random(traced.setup.seed) {
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

void stage::At(model::timestamp when, std::function<void()> action) {
  actions.emplace(std::pair(std::max(when, now), next_action++),
                  std::move(action));
}

void stage::After(model::duration wait, std::function<void()> action) {
  At(now + wait, std::move(action));
}

model::duration stage::Latency() {
  if (trace.setup.jitter == model::duration::zero())
    return trace.setup.latency;
  const auto bound = static_cast<std::uint64_t>(trace.setup.jitter.count()) + 1;
  return trace.setup.latency +
         model::duration(static_cast<std::int64_t>(random() % bound));
}

void stage::RunUntil(model::timestamp end) {
  std::uint64_t at_once = 0;
  while (!actions.empty() && actions.begin()->first.first <= end) {
    const auto next = actions.begin();
    at_once = next->first.first == now ? at_once + 1 : 0;
    now = next->first.first;
    if (at_once > kMostAtOnce) {
      watch.SeeSpin(now);
      return;
    }
    const std::function<void()> action = std::move(next->second);
    actions.erase(next);
    action();
  }
  now = end;
}

void stage::StartEntry(std::uint32_t entry) {
  entry_slot& slot = entries.at(entry);
  slot.state = scheduler::entry_state();
  slot.alive = true;
  slot.frozen = false;
  slot.inbox.clear();
  ++slot.incarnation;
  const std::uint64_t incarnation = slot.incarnation;
  const std::uint64_t seed = trace.setup.seed * trace.setup.entries + entry;
  Post(entry, incarnation,
       [incarnation, seed](model::timestamp at) -> model::event {
         return model::entry_started{
             .at = at, .incarnation = incarnation, .seed = seed};
       });
}

void stage::Post(std::uint32_t entry,
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

void stage::Reduce(std::uint32_t entry, const model::event& event) {
  entry_slot& slot = entries.at(entry);
  scheduler::step step =
      scheduler::Reduce(*slot.environment, std::move(slot.state), event);
  slot.state = std::move(step.state);
  for (const model::effect& effect : step.effects)
    std::visit([&](const auto& each) { Perform(entry, each); }, effect);
  Observe(entry);
}

void stage::NotePhase(const model::ledger& ledger, const model::job_id& job) {
  const model::job_status* status = ledger.jobs.Find(job);
  if (status == nullptr)
    return;
  const bool first = phases_by_job[job].emplace(status->phase, now).second;
  if (first && status->phase == model::job_phase::kStopping &&
      status->reason == model::stop_reason::kPreempted) {
    ++result.preemptions;
  }
}

// The first entry to fold a batch shows what became of the jobs in it.
void stage::NotePhases(const model::ledger& ledger) {
  while (phases_upto < ledger.next_offset) {
    const std::uint64_t offset = phases_upto++;
    if (offset < log.first_offset)
      continue;
    for (const model::record& record :
         log.records[offset - log.first_offset].records) {
      if (const auto* placed = std::get_if<model::job_placed>(&record))
        NotePhase(ledger, placed->job);
      if (const auto* preempted = std::get_if<model::job_preempted>(&record))
        NotePhase(ledger, preempted->job);
      if (const auto* cancelled = std::get_if<model::job_cancelled>(&record))
        NotePhase(ledger, cancelled->job);
      if (const auto* reported = std::get_if<model::tasks_reported>(&record)) {
        for (const model::task_report& task : reported->tasks)
          NotePhase(ledger, task.job);
      }
    }
  }
}

void stage::Observe(std::uint32_t entry) {
  const entry_slot& slot = entries.at(entry);
  const model::ledger& ledger = slot.state.ledger;
  NotePhases(ledger);
  const std::string name = slot.environment->me.value();
  const model::manifest* in_force = ledger.in_force.Get();
  if (in_force != nullptr && slot.state.log.caught_up) {
    watch.SeeVersion(name, in_force->version, now);
    const bool everywhere =
        std::ranges::all_of(entries, [&](const entry_slot& each) {
          const model::manifest* other = each.state.ledger.in_force.Get();
          return !each.alive || each.frozen ||
                 (other != nullptr && other->version >= in_force->version);
        });
    if (everywhere)
      result.everywhere.emplace(in_force->version, now);
  }
}

// Once a second: idle capacity, free racks, and what the ledgers say.
void stage::Sample() {
  After(kSampleInterval, [this] { Sample(); });
  const std::uint32_t witness = Witness(entries);
  if (witness == entries.size())
    return;
  const model::ledger& ledger = entries[witness].state.ledger;
  const auto passed = static_cast<std::uint64_t>((now - last_sample).count());
  last_sample = now;
  const std::uint64_t used =
      ledger.accelerators_firm + ledger.accelerators_soft;
  if (!ledger.waiting.empty() && ledger.accelerators_total > used)
    result.idle_while_waiting += (ledger.accelerators_total - used) * passed;
  result.largest_rack_sum += LargestRack(ledger);
  ++result.samples;
  watch.SeeLedger(entries[witness].environment->me.value(), ledger, now);
}

namespace {

void SeeAgreement(stage& stage) {
  for (const entry_slot& left : stage.entries) {
    for (const entry_slot& right : stage.entries) {
      const bool both = left.alive && right.alive && left.state.log.caught_up &&
                        right.state.log.caught_up;
      const bool level =
          left.state.ledger.next_offset == right.state.ledger.next_offset;
      if (both && level && !(left.state.ledger == right.state.ledger)) {
        stage.watch.SeeDisagreement(left.environment->me.value() + " and " +
                                        right.environment->me.value() +
                                        " hold different ledgers",
                                    stage.now);
      }
    }
  }
}

template <typename Lines>
void Schedule(stage& stage, const Lines& lines) {
  for (const auto& line : lines)
    stage.At(kRunStart + line.at, [&stage, &line] { stage.Arrive(line); });
}

}  // namespace

}  // namespace detail

run_result RunScenario(const scenario& scenario, const run_options& options) {
  detail::stage stage(scenario, options);
  for (std::uint32_t entry = 0; entry < scenario.setup.entries; ++entry)
    stage.StartEntry(entry);
  stage.Sample();
  detail::Schedule(stage, scenario.jobs);
  detail::Schedule(stage, scenario.cancels);
  detail::Schedule(stage, scenario.requests);
  detail::Schedule(stage, scenario.manifests);
  for (const fault& fault : scenario.faults)
    stage.At(kRunStart + fault.at, [&stage, &fault] { stage.Inflict(fault); });
  if (!scenario.setup.manifest.workspaces.empty()) {
    // Operators publish once the fleet is registered.
    constexpr model::duration kFleetIsUp{2000};
    stage.At(kRunStart + kFleetIsUp, [&stage, &scenario] {
      stage.Arrive(manifest_arrival{.name = "setup",
                                    .proposed = scenario.setup.manifest});
    });
  }
  stage.RunUntil(kRunStart + scenario.setup.until);
  detail::SeeAgreement(stage);
  for (const auto& [name, job] : stage.jobs_by_name)
    stage.result.phases[name] = stage.phases_by_job[job];
  stage.watch.Finish(stage.now);
  stage.result.breaches = std::vector<breach>(stage.watch.breaches());
  return std::move(stage.result);
}

}  // namespace parsleyhitch::replay
