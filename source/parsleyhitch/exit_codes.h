// Exit codes of the operators' command.

#ifndef PARSLEYHITCH_PARSLEYHITCH_EXIT_CODES_H_
#define PARSLEYHITCH_PARSLEYHITCH_EXIT_CODES_H_

namespace parsleyhitch {

inline constexpr int kExitOk = 0;
// The input has findings, or a stated outcome was missed.
inline constexpr int kExitFindings = 1;
inline constexpr int kExitUsage = 2;
// No entry could be reached.
inline constexpr int kExitUnreachable = 3;
// Refused, and the work was not run.
inline constexpr int kExitNotRun = 4;
// Whether the work was run is not known.
inline constexpr int kExitOutcomeUnknown = 5;

}  // namespace parsleyhitch

#endif  // PARSLEYHITCH_PARSLEYHITCH_EXIT_CODES_H_
