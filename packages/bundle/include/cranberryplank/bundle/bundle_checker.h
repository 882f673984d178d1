#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_CHECKER_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_CHECKER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/bundle/bundle.h"

namespace cranberryplank {

/// Coverage of the old system's commands; each list is sorted by name.
struct Coverage {
  std::vector<std::string> used;      ///< Used by runbooks.
  std::vector<std::string> mapped;    ///< Mapped to an action.
  std::vector<std::string> retired;   ///< Retired with reason and signature.
  std::vector<std::string> unmapped;  ///< In the inventory, neither mapped nor retired.
  std::vector<std::string> unknown;   ///< Used or mapped, but not in the inventory.
};

/// Runbook step resolved to an action of this system.
struct ActionCall {
  std::string action;  ///< Empty if the command is retired.
  Parameters parameters;
  std::string retirement_reason;
};

/// Checks the content of a bundle, except signatures.
class BundleChecker {
 public:
  /// Returns whether the commands, runbooks and configuration allow the bundle to be activated.
  bool Check(const Bundle& bundle);

  /// Returns whether queues, limits and weights are valid.
  bool CheckConfiguration(const Bundle& bundle);

  /// Resolves a runbook step of a checked bundle to its action.
  std::optional<ActionCall> Resolve(const Bundle& bundle, const RunbookStep& step);

  static Coverage ComputeCoverage(const Bundle& bundle);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  bool Refuse(std::string reason);
  bool CheckMapping(const CommandMapping& mapping);
  bool CheckQueue(const Bundle& bundle, const Queue& queue);
  bool CheckRunbook(const Bundle& bundle, const Runbook& runbook);

  std::string m_last_reason;
};

/// Returns whether `name` is a valid name of a team, pool, queue or VM: 1 to 64 characters of a-z,
/// 0-9, '-', '_' and '.'.
bool IsValidName(std::string_view name);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_CHECKER_H_
