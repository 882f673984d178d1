#include "cranberryplank/bundle/bundle_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "cranberryplank/bundle/action.h"

namespace cranberryplank {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr char kStepParameterMark = '$';

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::vector<std::string> ToList(const std::set<std::string>& names) {
  return {names.begin(), names.end()};
}

}  // namespace

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

bool BundleChecker::Refuse(std::string reason) {
  m_last_reason = std::move(reason);
  return false;
}

bool BundleChecker::Check(const Bundle& bundle) {
  if (bundle.version == 0) {
    return Refuse("version must be above 0");
  }
  if (std::set<std::string>(bundle.inventory.begin(), bundle.inventory.end()).size() !=
      bundle.inventory.size()) {
    return Refuse("a command is listed twice in the inventory");
  }
  const Coverage coverage = ComputeCoverage(bundle);
  if (!coverage.unknown.empty()) {
    return Refuse(fmt::format("command '{}' is not in the inventory", coverage.unknown.front()));
  }
  if (!coverage.unmapped.empty()) {
    return Refuse(
        fmt::format("command '{}' is neither mapped nor retired", coverage.unmapped.front()));
  }
  return std::all_of(bundle.mappings.begin(), bundle.mappings.end(),
                     [this](const auto& entry) { return CheckMapping(entry.second); }) &&
         std::all_of(bundle.runbooks.begin(), bundle.runbooks.end(),
                     [&](const auto& entry) { return CheckRunbook(bundle, entry.second); }) &&
         CheckConfiguration(bundle);
}

bool BundleChecker::CheckMapping(const CommandMapping& mapping) {
  if (mapping.retirement) {
    return !mapping.retirement->reason.empty() ||
           Refuse(fmt::format("command '{}' is retired without a reason", mapping.command));
  }
  const Action* action = FindAction(mapping.action);
  if (action == nullptr) {
    return Refuse(fmt::format("command '{}' is mapped to the unknown action '{}'", mapping.command,
                              mapping.action));
  }
  for (const std::string_view parameter : action->required) {
    if (!mapping.parameters.contains(parameter)) {
      return Refuse(fmt::format("mapping of command '{}' does not set '{}' of action '{}'",
                                mapping.command, parameter, mapping.action));
    }
  }
  for (const auto& [parameter, value] : mapping.parameters) {
    if (!action->AcceptsParameter(parameter)) {
      return Refuse(fmt::format("mapping of command '{}': action '{}' takes no '{}'",
                                mapping.command, mapping.action, parameter));
    }
  }
  return true;
}

bool BundleChecker::CheckRunbook(const Bundle& bundle, const Runbook& runbook) {
  for (std::size_t i = 0; i < runbook.steps.size(); ++i) {
    if (!Resolve(bundle, runbook.steps[i])) {
      return Refuse(fmt::format("runbook '{}', step {}: {}", runbook.name, i + 1, m_last_reason));
    }
  }
  return true;
}

std::optional<ActionCall> BundleChecker::Resolve(const Bundle& bundle, const RunbookStep& step) {
  const auto found = bundle.mappings.find(step.command);
  if (found == bundle.mappings.end()) {
    m_last_reason = fmt::format("command '{}' is not mapped", step.command);
    return std::nullopt;
  }
  const CommandMapping& mapping = found->second;
  if (mapping.retirement) {
    return ActionCall{"", {}, mapping.retirement->reason};
  }
  ActionCall call{mapping.action, {}, ""};
  std::set<std::string> used;
  for (const auto& [parameter, value] : mapping.parameters) {
    if (!value.starts_with(kStepParameterMark)) {
      call.parameters[parameter] = value;
      continue;
    }
    const std::string source = value.substr(1);
    const auto given = step.parameters.find(source);
    if (given == step.parameters.end()) {
      const Action* action = FindAction(mapping.action);
      const bool required =
          action == nullptr || std::find(action->required.begin(), action->required.end(),
                                         parameter) != action->required.end();
      if (required) {
        m_last_reason = fmt::format("command '{}' lacks its parameter '{}'", step.command, source);
        return std::nullopt;
      }
      continue;
    }
    used.insert(source);
    call.parameters[parameter] = given->second;
  }
  for (const auto& [parameter, value] : step.parameters) {
    if (!used.contains(parameter)) {
      m_last_reason = fmt::format("parameter '{}' of command '{}' has no effect in action '{}'",
                                  parameter, step.command, mapping.action);
      return std::nullopt;
    }
  }
  return call;
}

Coverage BundleChecker::ComputeCoverage(const Bundle& bundle) {
  const std::set<std::string> inventory(bundle.inventory.begin(), bundle.inventory.end());
  std::set<std::string> used;
  std::set<std::string> mapped;
  std::set<std::string> retired;
  std::set<std::string> unmapped;
  std::set<std::string> unknown;
  for (const auto& [name, runbook] : bundle.runbooks) {
    for (const RunbookStep& step : runbook.steps) {
      (inventory.contains(step.command) ? used : unknown).insert(step.command);
    }
  }
  for (const auto& [command, mapping] : bundle.mappings) {
    (mapping.retirement ? retired : mapped).insert(command);
    if (!inventory.contains(command)) {
      unknown.insert(command);
    }
  }
  for (const std::string& command : inventory) {
    if (!bundle.mappings.contains(command)) {
      unmapped.insert(command);
    }
  }
  return {ToList(used), ToList(mapped), ToList(retired), ToList(unmapped), ToList(unknown)};
}

bool BundleChecker::CheckConfiguration(const Bundle& bundle) {
  for (const auto& [name, team] : bundle.teams) {
    if (!IsValidName(name)) {
      return Refuse(fmt::format("'{}' is not a valid team name", name));
    }
    if (!std::isfinite(team.contract.share_weight) || team.contract.share_weight <= 0) {
      return Refuse(fmt::format("team {}: share weight must be above 0", name));
    }
    if (team.contract.upper_limit < 1) {
      return Refuse(fmt::format("team {}: upper limit must be above 0", name));
    }
  }
  for (const auto& [name, pool] : bundle.pools) {
    if (!IsValidName(name)) {
      return Refuse(fmt::format("'{}' is not a valid pool name", name));
    }
    if (pool.budget.per_pool < 1 || pool.budget.per_rack < 1 || pool.budget.per_zone < 1) {
      return Refuse(fmt::format("pool {}: availability budgets must be above 0", name));
    }
  }
  return std::all_of(bundle.queues.begin(), bundle.queues.end(),
                     [&](const auto& entry) { return CheckQueue(bundle, entry.second); });
}

bool BundleChecker::CheckQueue(const Bundle& bundle, const Queue& queue) {
  if (!IsValidName(queue.name)) {
    return Refuse(fmt::format("'{}' is not a valid queue name", queue.name));
  }
  if (!bundle.pools.contains(queue.pool)) {
    return Refuse(fmt::format("queue {} names the unknown pool '{}'", queue.name, queue.pool));
  }
  for (const std::string& team : queue.teams) {
    if (!bundle.teams.contains(team)) {
      return Refuse(fmt::format("queue {} names the unknown team '{}'", queue.name, team));
    }
  }
  if ((queue.open_to_all || !queue.open_team.empty()) && !bundle.teams.contains(queue.open_team)) {
    return Refuse(
        fmt::format("queue {} charges the unknown team '{}'", queue.name, queue.open_team));
  }
  if (queue.max_run.count() < 1 || queue.max_waiting < 1) {
    return Refuse(fmt::format("queue {}: limits must be above 0", queue.name));
  }
  return true;
}

}  // namespace cranberryplank
