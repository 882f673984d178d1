#ifndef CRANBERRYPLANK_MODEL_INVARIANT_H_
#define CRANBERRYPLANK_MODEL_INVARIANT_H_

#include <fmt/format.h>

#include <cstdint>
#include <string_view>

namespace cranberryplank {

/// Returns the number of invariant violations detected by this process.
std::uint64_t InvariantViolations();

/// Sets whether a violation aborts the process. Enabled in tests and test runs.
void SetAbortOnInvariantViolation(bool abort_on_violation);

/// Logs and counts a violation. Called by CP_INVARIANT only.
void ReportInvariantViolation(std::string_view condition, std::string_view file, int line,
                              std::string_view state);

}  // namespace cranberryplank

/// Checks an invariant of the system. The remaining arguments are an fmt format string and its
/// arguments, which describe the state to log.
#define CP_INVARIANT(condition, ...)                                             \
  do {                                                                           \
    if (!(condition)) {                                                          \
      ::cranberryplank::ReportInvariantViolation(#condition, __FILE__, __LINE__, \
                                                 fmt::format(__VA_ARGS__));      \
    }                                                                            \
  } while (false)

#endif  // CRANBERRYPLANK_MODEL_INVARIANT_H_
