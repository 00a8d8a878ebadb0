// The expectations of every trace are met, and the traces of each invariant
// fail when its hook is replaced by the naive one.

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "replay/expectations.h"
#include "replay/scenario_file.h"
#include "replay/simulation.h"

namespace replay = parsleyhitch::replay;

namespace {

struct traces_fixture {
  std::vector<std::filesystem::path> paths;

  // Traces whose names begin with `prefix`.
  explicit traces_fixture(const std::string& prefix) {
    const std::filesystem::path folder =
        std::filesystem::path(PARSLEYHITCH_SOURCE_DIR) / "traces";
    for (const auto& each : std::filesystem::directory_iterator(folder)) {
      if (each.path().filename().string().starts_with(prefix))
        paths.push_back(each.path());
    }
    std::ranges::sort(paths);
    cr_assert_not(paths.empty());
  }

  // Returns the expectations that the run misses, one per line.
  static std::string MissedExpectations(const std::filesystem::path& path,
                                        const std::vector<std::string>& naive) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    std::string missed;
    parsleyhitch::wire::Handle(
        [&] { return replay::ParseScenario(text.str()); },
        [&](const replay::scenario& scenario) {
          const auto result = replay::RunScenario(scenario, {.naive = naive});
          for (const replay::expectation_result& row :
               replay::EvaluateExpectations(scenario, result)) {
            if (!row.held)
              missed += path.filename().string() + ": " + row.expected + " (" +
                        row.seen + ")\n";
          }
          return true;
        },
        [&](const parsleyhitch::model::findings& findings) {
          missed +=
              path.filename().string() + ": " + findings.front().message + "\n";
          return false;
        });
    return missed;
  }

  void ExpectAllHeld() const {
    for (const auto& path : paths) {
      const std::string missed = MissedExpectations(path, {});
      cr_expect(missed.empty(), "%s", missed.c_str());
    }
  }

  void ExpectMissedWithNaive(const std::string& naive) const {
    const bool any = std::ranges::any_of(paths, [&](const auto& path) {
      return !MissedExpectations(path, {naive}).empty();
    });
    cr_expect(any, "with the naive %s every expectation is met", naive.c_str());
  }
};

}  // namespace

Test(traces, guarantees_under_failure_are_reclaimed) {
  traces_fixture("1-").ExpectAllHeld();
}
Test(traces, guarantees_with_naive_admission_are_given_away) {
  traces_fixture("1-").ExpectMissedWithNaive("leaves_guarantees");
}
Test(traces, gangs_under_failure_run_whole_or_not_at_all) {
  traces_fixture("2-").ExpectAllHeld();
}
Test(traces, gangs_with_naive_start_run_in_part) {
  traces_fixture("2-").ExpectMissedWithNaive("may_start");
}
Test(traces, answers_under_failure_are_whole_and_the_callers_own) {
  traces_fixture("3-").ExpectAllHeld();
}
Test(traces, answers_with_naive_matching_are_mixed_up) {
  traces_fixture("3-").ExpectMissedWithNaive("answers_request");
}
Test(traces, refusals_under_failure_are_true) {
  traces_fixture("4-").ExpectAllHeld();
}
Test(traces, refusals_with_naive_wording_are_false) {
  traces_fixture("4-").ExpectMissedWithNaive("refusal_state");
}
Test(traces, non_idempotent_requests_under_failure_run_at_most_once) {
  traces_fixture("5-").ExpectAllHeld();
}
Test(traces, non_idempotent_requests_with_naive_dispatch_run_twice) {
  traces_fixture("5-").ExpectMissedWithNaive("may_run_once");
}
Test(traces, leaving_endpoints_under_failure_get_no_new_work) {
  traces_fixture("6-").ExpectAllHeld();
}
Test(traces, leaving_endpoints_with_the_list_alone_get_new_work) {
  traces_fixture("6-").ExpectMissedWithNaive("is_leaving");
}
Test(traces, planned_stops_under_failure_cut_nothing) {
  traces_fixture("7-").ExpectAllHeld();
}
Test(traces, planned_stops_with_naive_stop_cut_requests) {
  traces_fixture("7-").ExpectMissedWithNaive("may_stop");
}
Test(traces, configuration_under_failure_is_in_force_and_never_reverts) {
  traces_fixture("8-").ExpectAllHeld();
}
Test(traces, configuration_with_last_write_wins_loses_an_operator) {
  traces_fixture("8-").ExpectMissedWithNaive("supersedes");
}
Test(traces, work_under_other_failures_goes_on) {
  traces_fixture("9-").ExpectAllHeld();
}
