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

/// One step of a runbook, in the words of the old system.
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

/// What becomes of a command of the old system: an action of this system, or retirement.
struct CommandMapping {
  std::string command;
  std::string action;     ///< Empty if retired.
  Parameters parameters;  ///< Of the action. `$name` takes the value from the step.
  std::optional<Retirement> retirement;
};

/// Approval of a whole bundle.
struct Approval {
  std::string approver;
  std::string signature;  ///< Ed25519, in hexadecimal.
};

/// The operators' bundle: configuration, runbooks and what became of the old system's commands.
struct Bundle {
  std::uint64_t version = 0;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Queue, std::less<>> queues;
  std::map<std::string, Runbook, std::less<>> runbooks;
  std::vector<std::string> inventory;                           ///< All commands of the old system.
  std::map<std::string, CommandMapping, std::less<>> mappings;  ///< By command.
  std::vector<Approval> approvals;
  std::string canonical;  ///< Signed encoding: everything but the approvals.
  std::string text;       ///< The document as it was read.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_H_
