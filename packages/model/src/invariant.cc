#include "cranberryplank/model/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

std::atomic<std::uint64_t> g_violations{0};
std::atomic<bool> g_abort_on_violation{false};

}  // namespace

std::uint64_t InvariantViolations() { return g_violations.load(); }

void SetAbortOnInvariantViolation(bool abort_on_violation) {
  g_abort_on_violation.store(abort_on_violation);
}

void ReportInvariantViolation(std::string_view condition, std::string_view file, int line,
                              std::string_view state) {
  ++g_violations;
  fmt::print(stderr,
             "{} level=error event=invariant_violated condition=\"{}\" at={}:{} state=\"{}\"\n",
             LogTimestamp(), condition, file, line, state);
  if (g_abort_on_violation.load()) {
    std::abort();
  }
}

}  // namespace cranberryplank
