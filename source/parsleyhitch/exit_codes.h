// Exit codes of the parsleyhitch command line.

#ifndef PARSLEYHITCH_PARSLEYHITCH_EXIT_CODES_H_
#define PARSLEYHITCH_PARSLEYHITCH_EXIT_CODES_H_

namespace parsleyhitch {

inline constexpr int kExitOk = 0;
// The input has findings, or an expected outcome was not met.
inline constexpr int kExitFindings = 1;
inline constexpr int kExitUsage = 2;
// No entry could be reached.
inline constexpr int kExitUnreachable = 3;
// The entry refused the call; the work was not run.
inline constexpr int kExitNotRun = 4;
// It is unknown whether the work was run.
inline constexpr int kExitOutcomeUnknown = 5;

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_EXIT_CODES_H_
