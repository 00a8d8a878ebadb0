// Interference between tasks, under the load that it addresses: workers that
// run several tasks of different images, with estimates that are off by half.

#include "policy/interference.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
using policy::duration;
using policy::timestamp;

namespace {

constexpr duration kListingInterval{250};
constexpr char kVictim[] = "encode";
constexpr char kCulprit[] = "shuffle";
constexpr char kBystander[] = "index";

// A task on a worker, with its true rate.
struct modelled_task {
  policy::shown_task shown;
  double work_ms = 0;
  double done_ms = 0;
};

struct modelled_worker {
  work::worker_id id;
  double speed = 1;
  std::vector<modelled_task> tasks;
};

// Workers that always run a victim, and mostly a culprit and a bystander. Tasks
// take 2 to 6 s, and their estimates are off by up to half.
struct load_fixture {
  std::vector<modelled_worker> workers;
  // How much longer victims take beside culprits.
  double slowdown = 1;
  // Culprits run only on the workers before this one.
  std::size_t culprits_on = 1000;
  bool comparable = true;
  // The share of listings that do not arrive.
  double lost_listings = 0;
  policy::interference learned;
  std::vector<policy::pair_change> changes;
  std::mt19937 random{42};
  std::uint32_t last_job = 0;
  timestamp now = timestamp(duration(1000000));

  explicit load_fixture(std::size_t count) : workers(count) {
    for (std::size_t i = 0; i < count; ++i)
      workers[i].id = work::worker_id("w-" + std::to_string(i));
  }

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }

  modelled_task NewTask(const char* image) {
    const double work_ms = Uniform(2000, 6000);
    const double estimate = work_ms * Uniform(0.6, 1.5);
    return {.shown = {.task = {.job = work::job_id(std::to_string(++last_job))},
                      .attempt = 1,
                      .image = image,
                      .estimate = duration(static_cast<std::int64_t>(estimate)),
                      .comparable = comparable},
            .work_ms = work_ms};
  }

  static bool Runs(const modelled_worker& worker, const std::string& image) {
    return std::ranges::any_of(worker.tasks, [&](const modelled_task& each) {
      return each.shown.image == image;
    });
  }

  void Fill(std::size_t index) {
    modelled_worker& worker = workers[index];
    std::erase_if(worker.tasks, [](const modelled_task& each) {
      return each.done_ms >= each.work_ms;
    });
    if (!Runs(worker, kVictim))
      worker.tasks.push_back(NewTask(kVictim));
    // Half of the time none of the two follows.
    const bool starts = Uniform(0, 1) < 0.1;
    if (starts && index < culprits_on && !Runs(worker, kCulprit))
      worker.tasks.push_back(NewTask(kCulprit));
    if (starts && !Runs(worker, kBystander))
      worker.tasks.push_back(NewTask(kBystander));
  }

  void Work(modelled_worker& worker) {
    const bool slowed = Runs(worker, kCulprit);
    for (modelled_task& each : worker.tasks) {
      const double factor =
          slowed && each.shown.image == kVictim ? slowdown : 1;
      each.done_ms +=
          static_cast<double>(kListingInterval.count()) * worker.speed / factor;
      each.shown.percent = static_cast<std::uint32_t>(
          std::min(each.done_ms / each.work_ms, 1.0) * 100);
    }
  }

  std::vector<policy::shown_task> Listing(const modelled_worker& worker) const {
    std::vector<policy::shown_task> listed;
    for (const modelled_task& each : worker.tasks)
      listed.push_back(each.shown);
    return listed;
  }

  void Run(duration time) {
    const timestamp until = now + time;
    while (now < until) {
      now += kListingInterval;
      for (std::size_t i = 0; i < workers.size(); ++i) {
        Work(workers[i]);
        const bool arrives =
            lost_listings <= 0 || Uniform(0, 1) >= lost_listings;
        if (arrives) {
          learned = policy::ObserveWorker(std::move(learned), workers[i].id,
                                          Listing(workers[i]), now);
        }
        Fill(i);
      }
      Advance();
    }
  }

  void Advance() {
    policy::interference_step step =
        policy::AdvanceInterference(std::move(learned), now);
    learned = std::move(step.next);
    changes.insert(changes.end(), step.changes.begin(), step.changes.end());
  }

  // Nothing runs any more.
  void Idle(duration time) {
    for (const timestamp until = now + time; now < until;) {
      now += duration(1000);
      Advance();
    }
  }

  std::optional<policy::known_pair> Known(const char* slowed,
                                          const char* beside) const {
    const auto found = learned.known.find({.slowed = slowed, .beside = beside});
    if (found == learned.known.end())
      return {};
    return found->second;
  }
};

}  // namespace

Test(interference, of_a_pair_that_runs_slower_is_found_with_its_slowdown) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.Run(duration(60000));
  const auto known = fixture.Known(kVictim, kCulprit);
  cr_assert(known.has_value());
  cr_assert_gt(known->slowdown_permille, 1500U);
  cr_assert_lt(known->slowdown_permille, 2700U);
  cr_assert_gt(known->samples, 1U);
}

// Guards against blame on images that run beside the pair.
Test(interference, of_a_pair_is_not_blamed_on_others) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.Run(duration(120000));
  cr_assert_eq(fixture.learned.known.size(), 1U);
}

// Guards against errors of estimates that are taken for interference.
Test(interference, of_no_pair_is_found_where_only_estimates_are_off) {
  load_fixture fixture(12);
  fixture.Run(duration(300000));
  cr_assert(fixture.changes.empty());
}

// Guards against slow workers that are taken for interference because the other
// image runs just there.
Test(interference, of_an_image_that_runs_on_slow_workers_only_is_not_found) {
  load_fixture fixture(12);
  fixture.culprits_on = 4;
  for (std::size_t i = 0; i < fixture.culprits_on; ++i)
    fixture.workers[i].speed = 0.5;
  fixture.Run(duration(300000));
  cr_assert(fixture.changes.empty());
}

Test(interference, on_uneven_workers_is_found) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  for (std::size_t i = 0; i < 12; ++i)
    fixture.workers[i].speed = 0.55 + 0.06 * static_cast<double>(i);
  fixture.Run(duration(60000));
  cr_assert(fixture.Known(kVictim, kCulprit).has_value());
  cr_assert_eq(fixture.learned.known.size(), 1U);
}

// Guards against a pair that is known by what two workers show.
Test(interference, on_two_workers_is_not_found) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.culprits_on = 2;
  fixture.Run(duration(120000));
  cr_assert(fixture.changes.empty());
}

// Guards against tasks that are slow away from their data and are taken for
// interference.
Test(interference, of_tasks_that_are_not_comparable_is_not_learned) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.comparable = false;
  fixture.Run(duration(60000));
  cr_assert(fixture.learned.pairs.empty());
}

Test(interference, is_found_if_half_of_the_listings_are_lost) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.lost_listings = 0.5;
  fixture.Run(duration(60000));
  cr_assert(fixture.Known(kVictim, kCulprit).has_value());
}

Test(interference, of_no_pair_is_found_by_listings_that_are_lost) {
  load_fixture fixture(12);
  fixture.lost_listings = 0.5;
  fixture.Run(duration(300000));
  cr_assert(fixture.changes.empty());
}

// Guards against progress that is measured from the attempt before.
Test(interference, of_a_task_that_is_started_again_is_measured_anew) {
  const timestamp start(duration(1000000));
  const work::worker_id worker("w");
  const auto task = [](std::uint64_t attempt, std::uint32_t percent) {
    return policy::shown_task{.attempt = attempt,
                              .image = "a",
                              .estimate = duration(10000),
                              .percent = percent};
  };
  policy::interference learned =
      policy::ObserveWorker({}, worker, {task(1, 10)}, start);
  learned = policy::ObserveWorker(std::move(learned), worker, {task(2, 90)},
                                  start + duration(3000));
  cr_assert(learned.images.empty());
  cr_assert_eq(learned.watched.at(worker).tasks.begin()->second.first_percent,
               90U);
}

Test(interference, of_a_pair_that_no_longer_runs_is_forgotten) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.Run(duration(60000));
  fixture.Idle(duration(600000));
  cr_assert(fixture.learned.known.empty());
  cr_assert(fixture.learned.pairs.empty());
  cr_assert(fixture.learned.watched.empty());
  cr_assert_eq(fixture.changes.size(), 2U);
  cr_assert_not(fixture.changes.back().found);
}

Test(interference, of_a_pair_that_has_ended_is_gone_while_both_run_on) {
  load_fixture fixture(12);
  fixture.slowdown = 2;
  fixture.Run(duration(60000));
  fixture.slowdown = 1;
  fixture.Run(duration(300000));
  cr_assert(fixture.learned.known.empty());
}

// Guards against memory that grows with the images that callers name.
Test(interference, of_callers_that_name_ever_new_images_is_bounded) {
  policy::interference learned;
  timestamp now(duration(1000000));
  for (std::uint32_t round = 0; round < 3000; ++round) {
    const std::string name = std::to_string(round / 10);
    const auto task = [&](const char* prefix) {
      const std::string image = prefix + name;
      return policy::shown_task{.task = {.job = work::job_id(image)},
                                .image = image,
                                .estimate = duration(2000),
                                .percent = 1 + round % 10 * 9};
    };
    now += duration(200);
    for (std::uint32_t i = 0; i < 40; ++i) {
      learned = policy::ObserveWorker(
          std::move(learned), work::worker_id(std::to_string(i)),
          {task("a"), task("b"), task("c"), task("d")}, now);
    }
    learned = policy::AdvanceInterference(std::move(learned), now).next;
    cr_assert_leq(learned.pairs.size(), 512U);
    cr_assert_leq(learned.images.size(), 280U);
    for (const auto& [pair, samples] : learned.pairs)
      cr_assert_leq(samples.by_worker.size(), 24U);
  }
}

Test(interference, cost_counts_what_both_sides_lose_once_for_each_image) {
  policy::interference learned;
  learned.known[{.slowed = "a", .beside = "b"}] = {.slowdown_permille = 1500};
  learned.known[{.slowed = "b", .beside = "a"}] = {.slowdown_permille = 1200};
  learned.known[{.slowed = "c", .beside = "c"}] = {.slowdown_permille = 1300};
  cr_assert_eq(policy::CostBeside(learned, "a", {"b", "b", "d"}), 1700U);
  cr_assert_eq(policy::CostBeside(learned, "c", {"c", "a"}), 1300U);
  cr_assert_eq(policy::CostBeside(learned, "d", {"a", "b"}), 1000U);
  cr_assert(policy::HasKnownPair(learned, "b"));
  cr_assert_not(policy::HasKnownPair(learned, "d"));
}

Test(interference, listing_shortly_after_another_is_not_due) {
  const timestamp now(duration(1000000));
  const work::worker_id worker("w");
  const policy::interference learned = policy::ObserveWorker(
      {}, worker, {{.image = "a", .estimate = duration(1000), .percent = 5}},
      now);
  cr_assert_not(policy::IsListingDue(learned, worker, now + duration(100)));
  cr_assert(policy::IsListingDue(learned, worker, now + duration(500)));
  cr_assert(policy::IsListingDue(learned, work::worker_id("v"), now));
}
