#ifndef CRANBERRYPLANK_ENTRY_UPKEEP_WAVES_H_
#define CRANBERRYPLANK_ENTRY_UPKEEP_WAVES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/vm_inventory.h"

namespace cranberryplank {

/// An upkeep wave and its progress.
struct WaveProgress {
  UpkeepWave request;
  TimePoint seen{};
  std::set<std::string> begun;
  std::set<std::string> given_up;  ///< VMs that the platform reports as not part of the wave.
  bool running_reported = false;
  bool done_reported = false;
  bool stored = true;  ///< Whether the progress in the store is up to date.

  /// Returns whether the VM needs no upkeep in this wave any more.
  bool IsSettled(const std::string& vm) const {
    return begun.contains(vm) || given_up.contains(vm);
  }
};

/// The operators' upkeep waves. Their progress and state are kept in the store.
class UpkeepWaves {
 public:
  UpkeepWaves(StateWriter* writer, const PlatformFormat* format)
      : m_writer(writer), m_format(format) {}
  UpkeepWaves(const UpkeepWaves&) = delete;
  UpkeepWaves& operator=(const UpkeepWaves&) = delete;

  /// Adds a wave or updates its request.
  void Set(TimePoint now, const UpkeepWave& request);
  /// Restores the stored progress of a wave.
  /// @param begun VMs whose upkeep has begun
  void LoadProgress(std::int64_t wave, const std::set<std::string>& begun);
  /// Stores the progress and the state of a wave if they have changed.
  void Update(TimePoint now, const VmInventory& list, const WaveProgress& wave);
  void RecordBegun(std::int64_t wave, const std::string& vm);
  void GiveUp(std::int64_t wave, const std::string& vm);

  /// Waves, by number.
  const std::map<std::int64_t, WaveProgress>& all() const { return m_waves; }

 private:
  void Store(const WaveProgress& wave, bool done);
  void OnStored(std::int64_t number, bool done, std::size_t begun);

  StateWriter* m_writer;
  const PlatformFormat* m_format;
  std::map<std::int64_t, WaveProgress> m_waves;
  bool m_storing = false;
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
};

/// Key prefix and value format of the progress of a wave.
constexpr std::string_view kWavePrefix = "wave/";
std::string EncodeWaveProgress(const std::set<std::string>& begun);
std::set<std::string> DecodeWaveProgress(std::string_view value);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_UPKEEP_WAVES_H_
