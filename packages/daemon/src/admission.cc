#include "cranberryplank/daemon/admission.h"

#include <fmt/format.h>

#include <algorithm>

namespace cranberryplank {

std::optional<std::string> AdmissionCheck::TeamOfKey(const Fleet& fleet,
                                                     std::string_view key_digest,
                                                     Refusal* refusal) const {
  if (key_digest.empty()) {
    *refusal = Refusal{401, "no key"};
    return std::nullopt;
  }
  const auto grant = fleet.keys.find(key_digest);
  if (grant == fleet.keys.end()) {
    *refusal = Refusal{401, "unknown or withdrawn key"};
    return std::nullopt;
  }
  if (m_is_denied(grant->second.digest)) {
    *refusal = Refusal{401, "withdrawn key"};
    return std::nullopt;
  }
  if (!fleet.teams.contains(grant->second.team)) {
    *refusal = Refusal{403, "the key's team does not exist"};
    return std::nullopt;
  }
  return grant->second.team;
}

std::optional<Refusal> AdmissionCheck::Check(const Fleet& fleet, std::string_view queue_name,
                                             std::string_view key_digest, std::string* team) const {
  const auto queue = fleet.queues.find(queue_name);
  if (queue == fleet.queues.end()) {
    return Refusal{404, "unknown queue"};
  }
  if (key_digest.empty() && queue->second.open_to_all) {
    *team = queue->second.open_team;
    return std::nullopt;
  }
  Refusal refusal;
  const auto key_team = TeamOfKey(fleet, key_digest, &refusal);
  if (!key_team) {
    return refusal;
  }
  const auto& teams = queue->second.teams;
  if (!queue->second.open_to_all &&
      std::find(teams.begin(), teams.end(), *key_team) == teams.end()) {
    return Refusal{403, fmt::format("team {} may not use queue {}", *key_team, queue_name)};
  }
  *team = *key_team;
  return std::nullopt;
}

}  // namespace cranberryplank
