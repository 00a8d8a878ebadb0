// Evaluates expectations. A `within` of zero means no time limit.

#include "replay/expectations.h"

#include <algorithm>
#include <optional>

#include "wire/json_codec.h"

namespace parsleyhitch::replay {

namespace {

constexpr char kNothing[] = "nothing";

std::string FormatMs(model::duration value) {
  return std::to_string(value.count()) + " ms";
}

std::string FormatSinceStart(model::timestamp at) {
  return FormatMs(at - kRunStart);
}

template <typename Enum>
std::string EnumName(Enum value) {
  return wire::detail::EncodeJson(value).template get<std::string>();
}

const call_outcome* FindOutcome(const run_result& result,
                                const std::string& name) {
  const auto found =
      std::ranges::find(result.outcomes, name, &call_outcome::name);
  return found == result.outcomes.end() ? nullptr : &*found;
}

expectation_result EvaluateJobPhase(const scenario& scenario,
                                    const run_result& result,
                                    const expectation& each) {
  const std::string expected =
      each.subject + " is " + each.value + " within " + FormatMs(each.within);
  const auto phases = result.phases.find(each.subject);
  const auto job =
      std::ranges::find(scenario.jobs, each.subject, &job_arrival::name);
  if (phases == result.phases.end() || job == scenario.jobs.end())
    return {.expected = expected, .seen = "no such job"};
  std::string seen;
  for (const auto& [phase, at] : phases->second) {
    const model::duration after = at - (kRunStart + job->at);
    if (EnumName(phase) == each.value) {
      const bool held =
          each.within == model::duration::zero() || after <= each.within;
      return {.expected = expected,
              .held = held,
              .seen = "after " + FormatMs(after)};
    }
    seen = "last " + EnumName(phase);
  }
  return {.expected = expected, .seen = seen};
}

expectation_result EvaluateAnswer(const run_result& result,
                                  const expectation& each) {
  const std::string expected = each.subject + " is answered " + each.value;
  const call_outcome* outcome = FindOutcome(result, each.subject);
  if (outcome == nullptr)
    return {.expected = expected, .seen = kNothing};
  const std::string kind = EnumName(outcome->answer.kind);
  const std::string ran = EnumName(outcome->answer.ran);
  const bool in_time = each.within == model::duration::zero() ||
                       outcome->answered - outcome->arrived <= each.within;
  return {.expected = expected,
          .held = in_time && (each.value == kind || each.value == ran),
          .seen = kind + ", " + ran + " after " +
                  FormatMs(outcome->answered - outcome->arrived)};
}

expectation_result EvaluateRuns(const run_result& result,
                                const expectation& each) {
  const auto found = result.runs_by_key.find(each.subject);
  const std::uint64_t runs =
      found == result.runs_by_key.end() ? 0 : found->second;
  const bool exact = each.kind == expected_kind::kRuns;
  return {.expected = "key " + each.subject + " runs " +
                      (exact ? "" : "at most ") + std::to_string(each.number) +
                      " times",
          .held = exact ? runs == each.number : runs <= each.number,
          .seen = std::to_string(runs)};
}

expectation_result EvaluateVersion(const run_result& result,
                                   const expectation& each) {
  const auto found = result.in_force_everywhere.find(each.number);
  const bool held = found != result.in_force_everywhere.end() &&
                    found->second <= kRunStart + each.by;
  return {.expected = "version " + std::to_string(each.number) +
                      " is in force by " + FormatMs(each.by),
          .held = held,
          .seen = found == result.in_force_everywhere.end()
                      ? kNothing
                      : FormatSinceStart(found->second)};
}

expectation_result EvaluateQuiet(const run_result& result,
                                 const expectation& each) {
  const auto found = result.last_new_work.find(model::worker_id(each.subject));
  const bool never = found == result.last_new_work.end();
  return {
      .expected = each.subject + " gets no new work after " + FormatMs(each.by),
      .held = never || found->second <= kRunStart + each.by,
      .seen = never ? kNothing : "last at " + FormatSinceStart(found->second)};
}

expectation_result EvaluateStopped(const run_result& result,
                                   const expectation& each) {
  const auto found =
      result.stopped.find(static_cast<std::uint32_t>(each.number));
  const bool stopped = found != result.stopped.end();
  return {.expected = "entry " + std::to_string(each.number) + " stops by " +
                      FormatMs(each.by),
          .held = stopped && found->second <= kRunStart + each.by,
          .seen = stopped ? FormatSinceStart(found->second) : kNothing};
}

expectation_result EvaluateCount(const run_result& result,
                                 const expectation& each) {
  const auto found = result.counters.find(each.subject);
  const std::uint64_t count =
      found == result.counters.end() ? 0 : found->second;
  return {
      .expected = each.subject + " is at least " + std::to_string(each.number),
      .held = count >= each.number,
      .seen = std::to_string(count)};
}

expectation_result EvaluateNoneLate(const scenario& scenario,
                                    const run_result& result,
                                    const expectation& each) {
  std::uint64_t missed = 0;
  std::uint64_t total = 0;
  for (const request_arrival& request : scenario.requests) {
    if (request.target.value() != each.subject)
      continue;
    ++total;
    const call_outcome* outcome = FindOutcome(result, request.name);
    const bool answered = outcome != nullptr &&
                          outcome->answer.kind == model::answer_kind::kAnswered;
    missed += answered ? 0 : 1;
  }
  return {.expected = "every request to " + each.subject + " is answered whole",
          .held = missed == 0,
          .seen = std::to_string(missed) + " of " + std::to_string(total) +
                  " were not"};
}

expectation_result EvaluateExpectation(const scenario& scenario,
                                       const run_result& result,
                                       const expectation& each) {
  switch (each.kind) {
    case expected_kind::kJobPhase:
      return EvaluateJobPhase(scenario, result, each);
    case expected_kind::kAnswer:
      return EvaluateAnswer(result, each);
    case expected_kind::kRuns:
    case expected_kind::kRunsAtMost:
      return EvaluateRuns(result, each);
    case expected_kind::kVersion:
      return EvaluateVersion(result, each);
    case expected_kind::kQuiet:
      return EvaluateQuiet(result, each);
    case expected_kind::kStopped:
      return EvaluateStopped(result, each);
    case expected_kind::kCount:
      return EvaluateCount(result, each);
    case expected_kind::kNoneLate:
      return EvaluateNoneLate(scenario, result, each);
  }
  return {.expected = "", .held = false};
}

}  // namespace

std::vector<expectation_result> EvaluateExpectations(const scenario& scenario,
                                                     const run_result& result) {
  std::vector<expectation_result> results;
  for (const expectation& each : scenario.expectations)
    results.push_back(EvaluateExpectation(scenario, result, each));
  const bool unbroken = result.breaches.empty();
  results.push_back(
      {.expected = "no invariant is broken",
       .held = unbroken,
       .seen = unbroken ? kNothing
                        : result.breaches.front().rule + ": " +
                              result.breaches.front().description + " at " +
                              FormatSinceStart(result.breaches.front().at)});
  return results;
}

}  // namespace parsleyhitch::replay
