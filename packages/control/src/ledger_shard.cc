#include "cranberryplank/control/ledger_shard.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "cranberryplank/control/acting_daemon.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

LedgerTeam DecodeTeam(const json& value, const std::vector<std::string>& holders) {
  LedgerTeam team;
  value.at(0).get_to(team.limit);
  const json& counts = value.at(1);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    team.SetHeld(holders.at(i), counts.at(i).get<int>());
  }
  return team;
}

}  // namespace

int LedgerShardOf(std::string_view team) {
  return static_cast<int>(StableHash(team) % kLedgerShards);
}

std::string LedgerKey(int shard) { return fmt::format("cranberryplank/slots/{:02}", shard); }

int LedgerTeam::TotalHeld() const {
  int total = 0;
  for (const auto& [holder, count] : held) {
    total += count;
  }
  return total;
}

int LedgerTeam::HeldBy(std::string_view holder) const {
  const auto entry = held.find(holder);
  return entry == held.end() ? 0 : entry->second;
}

void LedgerTeam::SetHeld(std::string_view holder, int count) {
  if (count > 0) {
    held[std::string(holder)] = count;
  } else if (const auto entry = held.find(holder); entry != held.end()) {
    held.erase(entry);
  }
}

std::string EncodeLedgerShard(const LedgerShard& shard) {
  json holders = json::array();
  for (const auto& [holder, lease] : shard.leases) {
    holders.push_back(json::array({holder, lease.count()}));
  }
  json teams = json::object();
  for (const auto& [name, team] : shard.teams) {
    json counts = json::array();
    for (const auto& [holder, lease] : shard.leases) {
      counts.push_back(team.HeldBy(holder));
    }
    teams[name] = json::array({team.limit, counts});
  }
  return json{{"revision", shard.revision}, {"holders", holders}, {"teams", teams}}.dump();
}

std::optional<LedgerShard> DecodeLedgerShard(std::string_view text, std::string* last_reason) {
  LedgerShard shard;
  if (text.empty() || text == "{}") {
    return shard;
  }
  try {
    const json value = json::parse(text);
    value.at("revision").get_to(shard.revision);
    std::vector<std::string> holders;
    for (const json& holder : value.at("holders")) {
      holders.push_back(holder.at(0).get<std::string>());
      shard.leases[holders.back()] = Duration(holder.at(1).get<Duration::rep>());
    }
    for (const auto& [name, team] : value.at("teams").items()) {
      shard.teams[name] = DecodeTeam(team, holders);
    }
    return shard;
  } catch (const std::exception& error) {
    *last_reason = fmt::format("ledger document is not valid: {}", error.what());
    return std::nullopt;
  }
}

}  // namespace cranberryplank
