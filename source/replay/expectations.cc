// Judges a run.

#include "replay/expectations.h"

#include <algorithm>
#include <optional>

#include "wire/json_codec.h"

namespace parsleyhitch::replay {

namespace {

constexpr char kNothing[] = "nothing";

std::string Ms(model::duration value) {
  return std::to_string(value.count()) + " ms";
}

std::string SinceStart(model::timestamp at) {
  return Ms(at - kRunStart);
}

template <typename Enum>
std::string NameOfEnum(Enum value) {
  return wire::detail::EncodeJson(value).template get<std::string>();
}

const call_outcome* FindOutcome(const run_result& result,
                                const std::string& name) {
  const auto found =
      std::ranges::find(result.outcomes, name, &call_outcome::name);
  return found == result.outcomes.end() ? nullptr : &*found;
}

judged_outcome JudgeJobPhase(const scenario& scenario,
                             const run_result& result,
                             const expectation& each) {
  const std::string expected =
      each.subject + " is " + each.value + " within " + Ms(each.within);
  const auto phases = result.phases.find(each.subject);
  const auto job =
      std::ranges::find(scenario.jobs, each.subject, &job_arrival::name);
  if (phases == result.phases.end() || job == scenario.jobs.end())
    return {.expected = expected, .seen = "no such job"};
  std::string seen;
  for (const auto& [phase, at] : phases->second) {
    const model::duration after = at - (kRunStart + job->at);
    if (NameOfEnum(phase) == each.value) {
      const bool held =
          each.within == model::duration::zero() || after <= each.within;
      return {.expected = expected, .held = held, .seen = "after " + Ms(after)};
    }
    seen = "last " + NameOfEnum(phase);
  }
  return {.expected = expected, .seen = seen};
}

judged_outcome JudgeAnswer(const run_result& result, const expectation& each) {
  const std::string expected = each.subject + " is answered " + each.value;
  const call_outcome* outcome = FindOutcome(result, each.subject);
  if (outcome == nullptr)
    return {.expected = expected, .seen = kNothing};
  const std::string kind = NameOfEnum(outcome->answer.kind);
  const std::string ran = NameOfEnum(outcome->answer.ran);
  const bool in_time = each.within == model::duration::zero() ||
                       outcome->answered - outcome->arrived <= each.within;
  return {.expected = expected,
          .held = in_time && (each.value == kind || each.value == ran),
          .seen = kind + ", " + ran + " after " +
                  Ms(outcome->answered - outcome->arrived)};
}

judged_outcome JudgeRuns(const run_result& result, const expectation& each) {
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

judged_outcome JudgeVersion(const run_result& result, const expectation& each) {
  const auto found = result.everywhere.find(each.number);
  const bool held =
      found != result.everywhere.end() && found->second <= kRunStart + each.by;
  return {.expected = "version " + std::to_string(each.number) +
                      " is in force by " + Ms(each.by),
          .held = held,
          .seen = found == result.everywhere.end() ? kNothing
                                                   : SinceStart(found->second)};
}

judged_outcome JudgeQuiet(const run_result& result, const expectation& each) {
  const auto found = result.last_new_work.find(model::worker_id(each.subject));
  const bool never = found == result.last_new_work.end();
  return {.expected = each.subject + " gets no new work after " + Ms(each.by),
          .held = never || found->second <= kRunStart + each.by,
          .seen = never ? kNothing : "last at " + SinceStart(found->second)};
}

judged_outcome JudgeStopped(const run_result& result, const expectation& each) {
  const auto found =
      result.stopped.find(static_cast<std::uint32_t>(each.number));
  const bool stopped = found != result.stopped.end();
  return {.expected = "entry " + std::to_string(each.number) + " stops by " +
                      Ms(each.by),
          .held = stopped && found->second <= kRunStart + each.by,
          .seen = stopped ? SinceStart(found->second) : kNothing};
}

judged_outcome JudgeCount(const run_result& result, const expectation& each) {
  const auto found = result.counters.find(each.subject);
  const std::uint64_t count =
      found == result.counters.end() ? 0 : found->second;
  return {
      .expected = each.subject + " is at least " + std::to_string(each.number),
      .held = count >= each.number,
      .seen = std::to_string(count)};
}

judged_outcome JudgeNoneLate(const scenario& scenario,
                             const run_result& result,
                             const expectation& each) {
  std::uint64_t late = 0;
  std::uint64_t total = 0;
  for (const request_arrival& request : scenario.requests) {
    if (request.target.value() != each.subject)
      continue;
    ++total;
    const call_outcome* outcome = FindOutcome(result, request.name);
    const bool whole = outcome != nullptr &&
                       outcome->answer.kind == model::answer_kind::kAnswered;
    late += whole ? 0 : 1;
  }
  return {.expected = "every request to " + each.subject + " is answered whole",
          .held = late == 0,
          .seen = std::to_string(late) + " of " + std::to_string(total) +
                  " were not"};
}

judged_outcome JudgeOne(const scenario& scenario,
                        const run_result& result,
                        const expectation& each) {
  switch (each.kind) {
    case expected_kind::kJobPhase:
      return JudgeJobPhase(scenario, result, each);
    case expected_kind::kAnswer:
      return JudgeAnswer(result, each);
    case expected_kind::kRuns:
    case expected_kind::kRunsAtMost:
      return JudgeRuns(result, each);
    case expected_kind::kVersion:
      return JudgeVersion(result, each);
    case expected_kind::kQuiet:
      return JudgeQuiet(result, each);
    case expected_kind::kStopped:
      return JudgeStopped(result, each);
    case expected_kind::kCount:
      return JudgeCount(result, each);
    case expected_kind::kNoneLate:
      return JudgeNoneLate(scenario, result, each);
  }
  return {.expected = "", .held = false};
}

}  // namespace

std::vector<judged_outcome> Judge(const scenario& scenario,
                                  const run_result& result) {
  std::vector<judged_outcome> judged;
  for (const expectation& each : scenario.expectations)
    judged.push_back(JudgeOne(scenario, result, each));
  const bool sound = result.breaches.empty();
  judged.push_back({.expected = "no invariant is broken",
                    .held = sound,
                    .seen = sound
                                ? kNothing
                                : result.breaches.front().rule + ": " +
                                      result.breaches.front().what + " at " +
                                      SinceStart(result.breaches.front().at)});
  return judged;
}

}  // namespace parsleyhitch::replay
