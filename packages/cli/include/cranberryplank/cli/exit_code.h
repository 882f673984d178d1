#ifndef CRANBERRYPLANK_CLI_EXIT_CODE_H_
#define CRANBERRYPLANK_CLI_EXIT_CODE_H_

namespace cranberryplank {

/// Exit codes of the command line.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,     ///< No complete answer; the outcome of a change may be unknown.
  kNotYetInEffect = 4,  ///< Accepted, but not in effect when the wait timed out.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_EXIT_CODE_H_
