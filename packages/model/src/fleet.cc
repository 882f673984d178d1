#include "cranberryplank/model/fleet.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryplank/model/vm_json.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::string_view kVmPartPrefix = "vms/";

std::uint32_t HashRack(std::string_view rack) {
  // FNV-1a, because the shard of a rack must be the same in every process and release.
  std::uint32_t hash = 2166136261U;
  for (const char byte : rack) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
  }
  return hash;
}

VmState DecodeVmState(const std::string& name) {
  for (const VmState state : {VmState::kServing, VmState::kDraining, VmState::kEmpty}) {
    if (name == ToString(state)) {
      return state;
    }
  }
  throw std::invalid_argument(fmt::format("unknown VM state '{}'", name));
}

Vm DecodeVm(const json& value) {
  Vm vm;
  value.at("id").get_to(vm.id);
  value.at("host").get_to(vm.host);
  value.at("port").get_to(vm.port);
  value.at("zone").get_to(vm.zone);
  value.at("rack").get_to(vm.rack);
  value.at("pool").get_to(vm.pool);
  vm.state = DecodeVmState(value.at("state").get<std::string>());
  value.at("target_pool").get_to(vm.target_pool);
  vm.move_id = value.value("move_id", "");
  vm.boot_id = value.value("boot_id", "");
  value.at("slots").get_to(vm.slots);
  value.at("cores").get_to(vm.cores);
  value.at("memory_gb").get_to(vm.memory_gb);
  value.at("accelerators").get_to(vm.accelerators);
  return vm;
}

json EncodeTeam(const Team& team) {
  return json{{"name", team.name},
              {"share_weight", team.contract.share_weight},
              {"upper_limit", team.contract.upper_limit}};
}

Team DecodeTeam(const json& value) {
  Team team;
  value.at("name").get_to(team.name);
  value.at("share_weight").get_to(team.contract.share_weight);
  value.at("upper_limit").get_to(team.contract.upper_limit);
  return team;
}

json EncodeKey(const KeyGrant& key) { return json{{"digest", key.digest.hex}, {"team", key.team}}; }

KeyGrant DecodeKey(const json& value) {
  return KeyGrant{Digest{value.at("digest").get<std::string>()},
                  value.at("team").get<std::string>()};
}

json EncodePool(const Pool& pool) {
  return json{{"name", pool.name},
              {"spare", pool.spare},
              {"budget_per_pool", pool.budget.per_pool},
              {"budget_per_rack", pool.budget.per_rack},
              {"budget_per_zone", pool.budget.per_zone}};
}

Pool DecodePool(const json& value) {
  Pool pool;
  value.at("name").get_to(pool.name);
  value.at("spare").get_to(pool.spare);
  value.at("budget_per_pool").get_to(pool.budget.per_pool);
  value.at("budget_per_rack").get_to(pool.budget.per_rack);
  value.at("budget_per_zone").get_to(pool.budget.per_zone);
  return pool;
}

json EncodeQueue(const Queue& queue) {
  return json{{"name", queue.name},
              {"pool", queue.pool},
              {"teams", queue.teams},
              {"open_to_all", queue.open_to_all},
              {"open_team", queue.open_team},
              {"max_run_ms", queue.max_run.count()},
              {"max_waiting", queue.max_waiting}};
}

Queue DecodeQueue(const json& value) {
  Queue queue;
  value.at("name").get_to(queue.name);
  value.at("pool").get_to(queue.pool);
  value.at("teams").get_to(queue.teams);
  value.at("open_to_all").get_to(queue.open_to_all);
  value.at("open_team").get_to(queue.open_team);
  queue.max_run = Duration(value.at("max_run_ms").get<Duration::rep>());
  value.at("max_waiting").get_to(queue.max_waiting);
  return queue;
}

json EncodeChanges(const std::vector<ChangeRecord>& changes) {
  json list = json::array();
  for (const ChangeRecord& change : changes) {
    list.push_back(json{{"nonce", change.nonce},
                        {"fingerprint", change.fingerprint},
                        {"revision", change.revision}});
  }
  return list;
}

std::vector<ChangeRecord> DecodeChanges(const json& list) {
  std::vector<ChangeRecord> changes;
  for (const json& value : list) {
    ChangeRecord change;
    value.at("nonce").get_to(change.nonce);
    value.at("fingerprint").get_to(change.fingerprint);
    value.at("revision").get_to(change.revision);
    changes.push_back(std::move(change));
  }
  return changes;
}

json EncodeCandidate(const BundleCandidate& candidate) {
  return json::array({json{{"version", candidate.version},
                           {"digest", candidate.digest.hex},
                           {"revision", candidate.revision},
                           {"activated", candidate.activated}}});
}

std::optional<BundleCandidate> DecodeCandidate(const json& list) {
  if (list.empty()) {
    return std::nullopt;
  }
  const json& value = list.at(0);
  BundleCandidate candidate;
  value.at("version").get_to(candidate.version);
  value.at("digest").get_to(candidate.digest.hex);
  value.at("revision").get_to(candidate.revision);
  value.at("activated").get_to(candidate.activated);
  return candidate;
}

template <typename Map, typename Encode>
std::string EncodeAll(const Map& items, Encode encode) {
  json list = json::array();
  for (const auto& [name, item] : items) {
    list.push_back(encode(item));
  }
  return list.dump();
}

void DecodeVms(std::string_view part, const json& list, Fleet* fleet) {
  std::erase_if(fleet->vms,
                [&](const auto& entry) { return VmPartName(entry.second.rack) == part; });
  for (const json& value : list) {
    Vm vm = DecodeVm(value);
    if (VmPartName(vm.rack) != part) {
      throw std::invalid_argument(fmt::format("VM {} belongs to another part", vm.id));
    }
    const std::string id = vm.id;
    if (!fleet->vms.emplace(id, std::move(vm)).second) {
      throw std::invalid_argument(fmt::format("VM {} is listed twice", id));
    }
  }
}

void DecodeList(std::string_view part, const json& list, Fleet* fleet) {
  if (part == kTeamsPart) {
    fleet->teams.clear();
    for (const json& value : list) {
      Team team = DecodeTeam(value);
      fleet->teams[team.name] = team;
    }
  } else if (part == kKeysPart) {
    fleet->keys.clear();
    for (const json& value : list) {
      KeyGrant key = DecodeKey(value);
      fleet->keys[key.digest.hex] = key;
    }
  } else if (part == kPoolsPart) {
    fleet->pools.clear();
    for (const json& value : list) {
      Pool pool = DecodePool(value);
      fleet->pools[pool.name] = pool;
    }
  } else if (part == kQueuesPart) {
    fleet->queues.clear();
    for (const json& value : list) {
      Queue queue = DecodeQueue(value);
      fleet->queues[queue.name] = queue;
    }
  } else if (part == kChangesPart) {
    fleet->changes = DecodeChanges(list);
  } else if (part == kCandidatePart) {
    fleet->candidate = DecodeCandidate(list);
  } else if (part.starts_with(kVmPartPrefix)) {
    DecodeVms(part, list, fleet);
  } else {
    throw std::invalid_argument("unknown part");
  }
}

}  // namespace

json EncodeVm(const Vm& vm) {
  return json{{"id", vm.id},
              {"host", vm.host},
              {"port", vm.port},
              {"zone", vm.zone},
              {"rack", vm.rack},
              {"pool", vm.pool},
              {"state", ToString(vm.state)},
              {"target_pool", vm.target_pool},
              {"move_id", vm.move_id},
              {"boot_id", vm.boot_id},
              {"slots", vm.slots},
              {"cores", vm.cores},
              {"memory_gb", vm.memory_gb},
              {"accelerators", vm.accelerators}};
}

std::string VmPartName(std::string_view rack) {
  return fmt::format("{}{:02}", kVmPartPrefix, HashRack(rack) % kVmShards);
}

std::map<std::string, std::string> EncodeFleet(const Fleet& fleet) {
  std::map<std::string, std::string> parts;
  parts.emplace(kTeamsPart, EncodeAll(fleet.teams, EncodeTeam));
  parts.emplace(kKeysPart, EncodeAll(fleet.keys, EncodeKey));
  parts.emplace(kPoolsPart, EncodeAll(fleet.pools, EncodePool));
  parts.emplace(kQueuesPart, EncodeAll(fleet.queues, EncodeQueue));
  parts.emplace(kChangesPart, EncodeChanges(fleet.changes).dump());
  if (!fleet.bundle.empty()) {
    parts.emplace(kBundlePart, fleet.bundle);
  }
  if (fleet.candidate) {
    parts.emplace(kCandidatePart, EncodeCandidate(*fleet.candidate).dump());
  }
  std::map<std::string, std::map<std::string, Vm>> shards;
  for (const auto& [id, vm] : fleet.vms) {
    shards[VmPartName(vm.rack)][id] = vm;
  }
  for (const auto& [name, vms] : shards) {
    parts.emplace(name, EncodeAll(vms, EncodeVm));
  }
  return parts;
}

bool DecodePart(std::string_view name, std::string_view text, Fleet* fleet,
                std::string* last_reason) {
  if (name == kBundlePart) {
    fleet->bundle = text;
    return true;
  }
  try {
    DecodeList(name, json::parse(text), fleet);
    return true;
  } catch (const std::exception& error) {
    *last_reason = fmt::format("part {} is not valid: {}", name, error.what());
    return false;
  }
}

}  // namespace cranberryplank
