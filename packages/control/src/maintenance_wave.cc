#include "cranberryplank/control/maintenance_wave.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cranberryplank {

namespace {

using nlohmann::json;

MaintenanceState DecodeState(const std::string& name) {
  for (const MaintenanceState state :
       {MaintenanceState::kWaiting, MaintenanceState::kPermitted, MaintenanceState::kDraining,
        MaintenanceState::kRebooting, MaintenanceState::kDone, MaintenanceState::kFailed}) {
    if (name == ToString(state)) {
      return state;
    }
  }
  throw std::invalid_argument(fmt::format("unknown maintenance state '{}'", name));
}

}  // namespace

std::string_view ToString(MaintenanceState state) {
  switch (state) {
    case MaintenanceState::kWaiting:
      return "waiting";
    case MaintenanceState::kPermitted:
      return "permitted";
    case MaintenanceState::kDraining:
      return "draining";
    case MaintenanceState::kRebooting:
      return "rebooting";
    case MaintenanceState::kDone:
      return "done";
    case MaintenanceState::kFailed:
      break;
  }
  return "failed";
}

bool HoldsPermit(MaintenanceState state) {
  return state == MaintenanceState::kPermitted || state == MaintenanceState::kDraining ||
         state == MaintenanceState::kRebooting;
}

bool MaintenanceWave::Active() const {
  return std::any_of(vms.begin(), vms.end(), [](const auto& item) {
    return item.second.state == MaintenanceState::kWaiting || HoldsPermit(item.second.state);
  });
}

bool MaintenanceWave::HasPermit(std::string_view vm) const {
  const auto entry = vms.find(vm);
  return entry != vms.end() && HoldsPermit(entry->second.state);
}

const WaveChange* MaintenanceWave::FindChange(std::string_view nonce) const {
  const auto change = std::find_if(changes.begin(), changes.end(), [&](const WaveChange& recorded) {
    return recorded.identity.nonce == nonce;
  });
  return change == changes.end() ? nullptr : &*change;
}

void MaintenanceWave::AddChange(const ChangeIdentity& identity) {
  changes.push_back(WaveChange{identity, id});
  if (changes.size() > kMaxRecordedWaveChanges) {
    changes.erase(changes.begin());
  }
}

std::string MaintenanceKey(std::string_view pool) {
  return fmt::format("cranberryplank/maintenance/{}", pool);
}

std::string EncodeMaintenanceWave(const MaintenanceWave& wave) {
  json vms = json::object();
  for (const auto& [vm, entry] : wave.vms) {
    vms[vm] = json::array({ToString(entry.state), entry.boot_id, entry.checkpoint});
  }
  json changes = json::array();
  for (const WaveChange& change : wave.changes) {
    changes.push_back(
        json::array({change.identity.nonce, change.identity.fingerprint, change.wave}));
  }
  return json{{"wave", wave.id}, {"stopping", wave.stopping}, {"vms", vms}, {"changes", changes}}
      .dump();
}

std::optional<MaintenanceWave> DecodeMaintenanceWave(std::string_view text,
                                                     std::string* last_reason) {
  MaintenanceWave wave;
  if (text.empty() || text == "{}") {
    return wave;
  }
  try {
    const json value = json::parse(text);
    value.at("wave").get_to(wave.id);
    value.at("stopping").get_to(wave.stopping);
    for (const auto& [vm, item] : value.at("vms").items()) {
      MaintenanceEntry entry;
      entry.state = DecodeState(item.at(0).get<std::string>());
      item.at(1).get_to(entry.boot_id);
      item.at(2).get_to(entry.checkpoint);
      wave.vms[vm] = entry;
    }
    // Documents written by earlier versions have no `changes`.
    for (const json& item : value.value("changes", json::array())) {
      WaveChange change;
      item.at(0).get_to(change.identity.nonce);
      item.at(1).get_to(change.identity.fingerprint);
      item.at(2).get_to(change.wave);
      wave.changes.push_back(std::move(change));
    }
    return wave;
  } catch (const std::exception& error) {
    *last_reason = fmt::format("maintenance document is not valid: {}", error.what());
    return std::nullopt;
  }
}

}  // namespace cranberryplank
