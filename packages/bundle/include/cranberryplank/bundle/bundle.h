#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/queue.h"
#include "cranberryplank/model/team.h"

namespace cranberryplank {

using Parameters = std::map<std::string, std::string, std::less<>>;

/// Step of a runbook, given as a command of the old system.
struct RunbookStep {
  std::string command;  ///< Command of the old system.
  Parameters parameters;
};

/// Named list of steps.
struct Runbook {
  std::string name;
  std::vector<RunbookStep> steps;
};

/// Decision that a command of the old system is no longer needed.
struct Retirement {
  std::string reason;
  std::string approver;
  std::string signature;  ///< Ed25519, in hexadecimal, over the command and the reason.
};

/// Mapping of a command of the old system to an action of this system, or its retirement.
struct CommandMapping {
  std::string command;
  std::string action;     ///< Empty if retired.
  Parameters parameters;  ///< Of the action. `$name` is replaced by the step's parameter `name`.
  std::optional<Retirement> retirement;
};

/// Approval of a whole bundle.
struct Approval {
  std::string approver;
  std::string signature;  ///< Ed25519, in hexadecimal.
};

/// Operators' bundle of configuration, runbooks and mappings of the old system's commands.
struct Bundle {
  std::uint64_t version = 0;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Queue, std::less<>> queues;
  std::map<std::string, Runbook, std::less<>> runbooks;
  std::vector<std::string> inventory;                           ///< All commands of the old system.
  std::map<std::string, CommandMapping, std::less<>> mappings;  ///< By command.
  std::vector<Approval> approvals;
  std::string canonical;  ///< Encoding that is signed; has everything but the approvals.
  std::string text;       ///< The original document.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_H_
