#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_CHECKER_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_CHECKER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/bundle/bundle.h"

namespace cranberryplank {

/// How the commands of the old system are covered; each list is in order of name.
struct Coverage {
  std::vector<std::string> used;      ///< By runbooks.
  std::vector<std::string> mapped;    ///< To an action.
  std::vector<std::string> retired;   ///< With reason and signature.
  std::vector<std::string> unmapped;  ///< In the inventory, neither mapped nor retired.
  std::vector<std::string> unknown;   ///< Used or mapped, but not in the inventory.
};

/// Runbook step turned into an action of this system.
struct ActionCall {
  std::string action;  ///< Empty if the command is retired.
  Parameters parameters;
  std::string retirement_reason;
};

/// Checks what a bundle says, apart from signatures.
class BundleChecker {
 public:
  /// Tells whether the bundle can be activated: commands, runbooks and configuration.
  bool Check(const Bundle& bundle);

  /// Tells whether queues, limits and weights are usable.
  bool CheckConfiguration(const Bundle& bundle);

  /// Turns a step of a checked bundle's runbook into its action.
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

/// Whether `name` can be the name of a team, pool, queue or VM: 1 to 64 characters of a-z, 0-9,
/// '-', '_' and '.'.
bool IsValidName(std::string_view name);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_CHECKER_H_
