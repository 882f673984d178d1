#include "cranberryplank/entry/operator_items.h"

#include <algorithm>
#include <string>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

constexpr Duration kConfigWatchWait{1'000};
/// Part of the revocation bound reserved for processing a request in the daemon.
constexpr Duration kRevocationMargin{400};
constexpr Duration kOwnWatchTime{600};
constexpr Duration kRefreshInterval{500};
/// The items are confirmed this many times within the bound of an evacuation, so that one slow
/// reply does not pause the starts.
constexpr int kConfirmationsPerEvacuation = 4;
constexpr Duration kLeastWatchWait{100};
/// Longest part of a malformed key in a log line.
constexpr std::size_t kLoggedKeyLength = 160;

}  // namespace

OperatorItems::OperatorItems(KeyValueStore* store, const PlatformFormat* format)
    : m_format(format),
      m_watch(store, std::string(format->OperatorPrefix()), kConfigWatchWait,
              [this](TimePoint now, const KvItem& item) { OnItem(now, item); }) {}

void OperatorItems::OnItem(TimePoint now, const KvItem& item) {
  if (m_format->IsConfigKey(item.key)) {
    OnConfig(now, item);
    return;
  }
  if (m_format->IsEvacuationKey(item.key)) {
    OnEvacuation(now, item);
    return;
  }
  if (!m_format->IsWaveKey(item.key) || item.deleted) {
    return;
  }
  const auto wave = m_format->DecodeWave(item);
  if (!wave) {
    LogLine(LogLevel::kError, "unreadable_wave").Field("key", item.key);
    return;
  }
  m_waves[wave->number] = *wave;
  m_wave_changed.emit(now, *wave);
}

void OperatorItems::OnEvacuation(TimePoint now, const KvItem& item) {
  const auto zone = m_format->EvacuatedZoneOf(item.key);
  if (!zone) {
    if (!m_evacuation_bound) {
      return;
    }
    LogLine(LogLevel::kError, "unreadable_evacuation")
        .Field("key", item.key.substr(0, kLoggedKeyLength))
        .Field("key_bytes", item.key.size())
        .Field("deleted", item.deleted);
    return;
  }
  const bool changed =
      item.deleted ? m_evacuated_zones.erase(*zone) > 0 : m_evacuated_zones.insert(*zone).second;
  if (m_evacuation_bound) {
    LogLine(LogLevel::kInfo, item.deleted ? "evacuation_cancelled" : "evacuation_requested")
        .Field("zone", *zone)
        .Field("revision", item.revision)
        .Field("repeated", !changed);
  }
  if (changed) {
    m_evacuation_changed.emit(now);
  }
}

void OperatorItems::SetEvacuationBound(std::optional<Duration> evacuation_bound) {
  m_evacuation_bound = evacuation_bound;
  m_watch.SetWait(evacuation_bound ? std::clamp((*evacuation_bound - kStartDelivery) /
                                                    kConfirmationsPerEvacuation,
                                                kLeastWatchWait, kConfigWatchWait)
                                   : kConfigWatchWait);
}

void OperatorItems::OnConfig(TimePoint now, const KvItem& item) {
  const auto config = item.deleted ? std::nullopt : m_format->DecodeConfig(item);
  if (!config) {
    LogLine(LogLevel::kError, "unreadable_config").Field("revision", item.revision);
    return;
  }
  if (m_config && config->version <= m_config->version) {
    return;
  }
  m_config = std::make_shared<const ClusterConfig>(*config);
  m_behind_since.reset();
  LogLine(LogLevel::kInfo, "config")
      .Field("version", m_config->version)
      .Field("revision", item.revision)
      .Field("queues", m_config->queues.size())
      .Field("customers", m_config->customers.size());
  m_config_changed.emit(now);
}

ConfigAge OperatorItems::ConfigAgeAt(TimePoint now, Duration revocation_bound) const {
  ConfigAge age;
  age.age = std::chrono::duration_cast<Duration>(now - confirmed_at());
  age.max_age = revocation_bound - kRevocationMargin;
  age.newer_exists = m_config && m_newest_config > m_config->version;
  return age;
}

void OperatorItems::RecordNewestVersion(TimePoint now, std::uint64_t version) {
  if (!m_config || version <= m_config->version) {
    return;
  }
  m_newest_config = std::max(m_newest_config, version);
  if (!m_behind_since) {
    m_behind_since = now;
    LogLine(LogLevel::kInfo, "config_behind")
        .Field("known", m_config->version)
        .Field("newer", version);
  }
  // This daemon's own watch usually delivers the new version soon; a large configuration takes
  // longer on a slow link.
  if (now - *m_behind_since >= kOwnWatchTime && now - m_last_refresh >= kRefreshInterval) {
    m_last_refresh = now;
    m_watch.Refresh(now);
  }
}

}  // namespace cranberryplank
