#ifndef CRANBERRYPLANK_ENTRY_OPERATOR_ITEMS_H_
#define CRANBERRYPLANK_ENTRY_OPERATOR_ITEMS_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "cranberryplank/entry/caller_gateway.h"
#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/entry/watched_prefix.h"
#include "cranberryplank/scheduler/zone_evacuation.h"

namespace cranberryplank {

/// The configuration, the upkeep waves and the evacuations of zones that operators write to the
/// store, as known to this daemon.
class OperatorItems {
 public:
  OperatorItems(KeyValueStore* store, const PlatformFormat* format);

  void Start(TimePoint now) { m_watch.Start(now); }
  /// Must be called regularly.
  void Tick(TimePoint now) { m_watch.Tick(now); }
  /// Records the version of the configuration that another daemon has, and reads the configuration
  /// again if this daemon's stays behind it.
  void RecordNewestVersion(TimePoint now, std::uint64_t version);

  /// The configuration; nullptr if none is known yet.
  const std::shared_ptr<const ClusterConfig>& config() const { return m_config; }
  /// Version of the configuration; 0 if none is known yet.
  std::uint64_t config_version() const { return m_config ? m_config->version : 0; }
  /// Upkeep waves, by number.
  const std::map<std::int64_t, UpkeepWave>& waves() const { return m_waves; }
  /// Availability zones whose evacuation is requested.
  const ZoneSet& evacuated_zones() const { return m_evacuated_zones; }
  /// Returns whether all items have been read at least once.
  bool loaded() const { return m_watch.loaded(); }
  /// Sets the longest time for which the store may hold a watch open, so that the items are
  /// confirmed several times within the bound. Requests are logged only while there is a bound.
  /// @param evacuation_bound a start must not be based on items older than that; nothing for the
  ///   usual time
  void SetEvacuationBound(std::optional<Duration> evacuation_bound);
  /// Sending time of the newest call that the store answered.
  TimePoint confirmed_at() const { return m_watch.confirmed_at(); }
  /// @param revocation_bound a withdrawn key must not be accepted for longer
  ConfigAge ConfigAgeAt(TimePoint now, Duration revocation_bound) const;

  /// Emitted when a newer configuration is known.
  sigc::signal<void, TimePoint>& signal_config() { return m_config_changed; }
  /// Emitted when an upkeep wave is known or changed.
  sigc::signal<void, TimePoint, const UpkeepWave&>& signal_wave() { return m_wave_changed; }
  /// Emitted when the set of evacuated zones has changed.
  sigc::signal<void, TimePoint>& signal_evacuation() { return m_evacuation_changed; }

 private:
  void OnItem(TimePoint now, const KvItem& item);
  void OnEvacuation(TimePoint now, const KvItem& item);
  void OnConfig(TimePoint now, const KvItem& item);

  const PlatformFormat* m_format;
  WatchedPrefix m_watch;
  std::shared_ptr<const ClusterConfig> m_config;
  std::map<std::int64_t, UpkeepWave> m_waves;
  ZoneSet m_evacuated_zones;
  std::optional<Duration> m_evacuation_bound;  ///< Nothing if evacuations are not used.
  std::uint64_t m_newest_config = 0;           ///< Newest version reported by another daemon.
  std::optional<TimePoint> m_behind_since;     ///< Since when `m_config` is known to be outdated.
  TimePoint m_last_refresh{};
  sigc::signal<void, TimePoint> m_config_changed;
  sigc::signal<void, TimePoint, const UpkeepWave&> m_wave_changed;
  sigc::signal<void, TimePoint> m_evacuation_changed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_OPERATOR_ITEMS_H_
