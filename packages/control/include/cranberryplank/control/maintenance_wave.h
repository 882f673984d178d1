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
  kPermitted,  ///< Counts against the budget; its worker was not touched yet.
  kDraining,
  kRebooting,  ///< Ran nothing while drained; comes back with another boot id.
  kDone,
  kFailed,
};

std::string_view ToString(MaintenanceState state);

/// True if a VM in `state` counts against its pool's budget.
bool HoldsPermit(MaintenanceState state);

/// Progress of one VM.
struct MaintenanceEntry {
  MaintenanceState state = MaintenanceState::kWaiting;
  std::string boot_id;      ///< Boot to be ended; set from kRebooting on.
  bool checkpoint = false;  ///< Its tasks are to be checkpointed: draining took too long.

  bool operator==(const MaintenanceEntry&) const = default;
};

/// Operators' changes whose nonces a maintenance document keeps.
inline constexpr std::size_t kMaxRecordedWaveChanges = 16;

/// Start or stop of a wave that was recorded.
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
  std::vector<WaveChange> changes;  ///< Newest last; also those of earlier waves.

  /// True while a VM waits or holds a permit.
  bool Active() const;

  /// Tells whether `vm` holds a permit.
  bool HasPermit(std::string_view vm) const;

  /// Returns the change recorded under `nonce`, or nullptr.
  const WaveChange* FindChange(std::string_view nonce) const;

  /// Records a change to wave `id`, and drops the oldest beyond `kMaxRecordedWaveChanges`.
  void AddChange(const ChangeIdentity& identity);

  bool operator==(const MaintenanceWave&) const = default;
};

/// Returns the store key of a pool's maintenance document: `cranberryplank/maintenance/POOL`.
std::string MaintenanceKey(std::string_view pool);

std::string EncodeMaintenanceWave(const MaintenanceWave& wave);

/// Reads a wave from JSON; an empty text is a pool without a wave.
std::optional<MaintenanceWave> DecodeMaintenanceWave(std::string_view text,
                                                     std::string* last_reason);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_MAINTENANCE_WAVE_H_
