#include "cranberryplank/bundle/bundle_application.h"

#include <fmt/format.h>

#include "cranberryplank/bundle/bundle_checker.h"

namespace cranberryplank {

std::optional<Fleet> BundleApplication::Apply(const Bundle& bundle, const Fleet& fleet) {
  BundleChecker checker;
  if (!checker.CheckConfiguration(bundle)) {
    m_last_reason = checker.last_reason();
    return std::nullopt;
  }
  for (const auto& [id, vm] : fleet.vms) {
    if (!bundle.pools.contains(vm.pool)) {
      m_last_reason = fmt::format("pool {} is removed but still has VM {}", vm.pool, id);
      return std::nullopt;
    }
    if (!vm.target_pool.empty() && !bundle.pools.contains(vm.target_pool)) {
      m_last_reason = fmt::format("pool {} is removed but VM {} moves to it", vm.target_pool, id);
      return std::nullopt;
    }
  }
  for (const auto& [digest, key] : fleet.keys) {
    if (!bundle.teams.contains(key.team)) {
      // A later team of that name would otherwise inherit the keys.
      m_last_reason = fmt::format("team {} is removed but still has keys", key.team);
      return std::nullopt;
    }
  }
  Fleet changed = fleet;
  changed.teams = bundle.teams;
  changed.pools = bundle.pools;
  changed.queues = bundle.queues;
  changed.bundle = bundle.text;
  return changed;
}

}  // namespace cranberryplank
