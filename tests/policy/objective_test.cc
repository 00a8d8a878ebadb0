// Objectives of jobs whose steps depend on each other.

#include "policy/objective.h"

#include <criterion/criterion.h>

namespace policy = parsleyhitch::policy;
namespace work = parsleyhitch::work;
using policy::duration;

namespace {

const std::vector<work::step_spec> kDiamond{
    {.tasks = 1, .estimate = duration(1000)},
    {.tasks = 1, .estimate = duration(5000), .after = {0}},
    {.tasks = 1, .estimate = duration(2000), .after = {0}},
    {.tasks = 1, .estimate = duration(1000), .after = {1, 2}}};

}  // namespace

// Guards against steps that count as late because earlier ones ran first.
Test(earliest_start, of_a_step_is_after_the_longest_way_to_it) {
  cr_assert_eq(policy::EarliestStarts(kDiamond),
               (std::vector<duration>{duration(0), duration(1000),
                                      duration(1000), duration(6000)}));
}

Test(critical_path, of_steps_that_join_is_the_longest_way) {
  cr_assert_eq(policy::CriticalPath(kDiamond), duration(7000));
}

Test(slack, of_an_objective_is_what_it_allows_beyond_the_critical_path) {
  cr_assert_eq(
      policy::ObjectiveSlack({.stretch_permille = 3000,
                              .target_latency = duration(500),
                              .request = {.spec = "", .steps = kDiamond}}),
      duration(14500));
}

Test(slack, of_an_objective_below_the_critical_path_is_its_latency) {
  cr_assert_eq(
      policy::ObjectiveSlack({.stretch_permille = 500,
                              .target_latency = duration(500),
                              .request = {.spec = "", .steps = kDiamond}}),
      duration(500));
}
