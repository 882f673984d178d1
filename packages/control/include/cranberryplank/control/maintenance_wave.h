#ifndef CRANBERRYPLANK_CONTROL_MAINTENANCE_WAVE_H_
#define CRANBERRYPLANK_CONTROL_MAINTENANCE_WAVE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/recorded_change.h"

namespace cranberryplank {

/// Stage of a VM within a maintenance wave.
enum class MaintenanceState {
  kWaiting,
  kPermitted,  ///< Counts against the budget; no request was sent to its worker yet.
  kDraining,
  kRebooting,  ///< Drained without running tasks; returns with another boot id.
  kDone,
  kFailed,
};

std::string_view ToString(MaintenanceState state);

/// Returns whether a VM in `state` counts against the budget of its pool.
bool HoldsPermit(MaintenanceState state);

/// Progress of one VM in a wave.
struct MaintenanceEntry {
  MaintenanceState state = MaintenanceState::kWaiting;
  std::string boot_id;      ///< Boot before the reboot; set from kRebooting on.
  bool checkpoint = false;  ///< Checkpoint its tasks, because draining takes too long.

  bool operator==(const MaintenanceEntry&) const = default;
};

/// Number of operators' changes whose nonces a maintenance document keeps.
inline constexpr std::size_t kMaxRecordedWaveChanges = 16;

/// Recorded start or stop of a wave.
struct WaveChange {
  ChangeIdentity identity;
  std::string wave;  ///< Id of the wave started or stopped.

  bool operator==(const WaveChange&) const = default;
};

/// Content of a pool's maintenance document.
struct MaintenanceWave {
  std::string id;  ///< Empty if the pool never had a wave.
  bool stopping = false;
  std::map<std::string, MaintenanceEntry, std::less<>> vms;
  std::vector<WaveChange> changes;  ///< Newest last, including those of earlier waves.

  /// Returns whether any VM waits or holds a permit.
  bool Active() const;

  /// Returns whether `vm` holds a permit.
  bool HasPermit(std::string_view vm) const;

  /// Returns the change recorded under `nonce`, or nullptr.
  const WaveChange* FindChange(std::string_view nonce) const;

  /// Records a change of wave `id` and discards the oldest beyond `kMaxRecordedWaveChanges`.
  void AddChange(const ChangeIdentity& identity);

  bool operator==(const MaintenanceWave&) const = default;
};

/// Returns the store key of a pool's maintenance document: `cranberryplank/maintenance/POOL`.
std::string MaintenanceKey(std::string_view pool);

std::string EncodeMaintenanceWave(const MaintenanceWave& wave);

/// Decodes a wave from JSON. An empty text yields a pool without a wave.
std::optional<MaintenanceWave> DecodeMaintenanceWave(std::string_view text,
                                                     std::string* last_reason);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_MAINTENANCE_WAVE_H_
