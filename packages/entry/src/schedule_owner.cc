#include "cranberryplank/entry/schedule_owner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "cranberryplank/entry/queue_codec.h"
#include "cranberryplank/model/log.h"
#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

/// Registrations are confirmed this many times within the time that a worker drains.
constexpr int kConfirmationsPerDrain = 4;
constexpr Duration kLeastWatchWait{100};
constexpr Duration kReadRetry{100};
/// Added to the time for which earlier owners may act, because clocks may differ in speed.
constexpr Duration kAuthorityMargin{300};
constexpr std::array<std::string_view, 9> kPrefixes{
    kJobPrefix,  kProgressPrefix, kProgressLogPrefix, kQueuePrefix,    kCancelledPrefix,
    kWorkersKey, kWavePrefix,     kCursorKey,         kSettledEpochKey};

Duration WorkerWatchWait(const SchedulerSettings& settings) {
  return std::max(settings.drain_time / kConfirmationsPerDrain, kLeastWatchWait);
}

}  // namespace

ScheduleOwner::ScheduleOwner(const ScheduleOwnerParts& parts, const SchedulerSettings& settings,
                             const VmFleetSettings& fleet_settings)
    : m_parts(parts),
      m_scheduler(std::make_unique<Scheduler>(settings, parts.workers)),
      m_writer(parts.store, parts.ownership, m_scheduler.get()),
      m_cancelled(&m_writer, settings.retention),
      m_workers(parts.store, std::string(parts.format->WorkerPrefix()), WorkerWatchWait(settings),
                [this](TimePoint now, const KvItem& item) { OnWorkerItem(now, item); }),
      m_fleet_settings(fleet_settings) {
  parts.workers->SetEvents(m_scheduler.get());
}

ScheduleOwner::~ScheduleOwner() { m_parts.workers->SetEvents(nullptr); }

void ScheduleOwner::Begin(Now now) {
  m_started_at = now.time;
  if (m_parts.ownership->record()) {
    m_earlier = EarlierOwners(m_parts.ownership->record()->earlier,
                              now.time + ScheduleOwnership::kAuthority + kAuthorityMargin);
  }
  m_workers.Start(now.time);
  ReadPage();
}

void ScheduleOwner::SetSettings(const SchedulerSettings& settings,
                                const VmFleetSettings& fleet_settings) {
  m_fleet_settings = fleet_settings;
  if (m_fleet) {
    m_fleet->SetSettings(fleet_settings);
  }
  m_scheduler->SetSettings(settings);
  m_cancelled.SetTimeKept(settings.retention);
  m_workers.SetWait(WorkerWatchWait(settings));
}

void ScheduleOwner::SetConfig(Now now, std::shared_ptr<const ClusterConfig> config) {
  m_config = config;
  m_scheduler->SetConfig(now, std::move(config));
}

void ScheduleOwner::SetWave(TimePoint now, const UpkeepWave& wave) {
  m_waves[wave.number] = wave;
  if (m_fleet) {
    m_fleet->SetWave(now, wave);
  }
}

Duration ScheduleOwner::EarlierOwnersActFor(TimePoint now) const {
  const auto left = std::chrono::duration_cast<Duration>(m_earlier.act_until() - now);
  return left > Duration(0) ? left + kAuthorityMargin : Duration(0);
}

void ScheduleOwner::ApplyEarlierOwners(TimePoint now) {
  // One that stopped before this daemon's claim may have granted a lease just before it.
  m_scheduler->SetEarlierOwnersBound(std::max(m_earlier.act_until(), m_started_at));
  if (!m_stored_settled && now >= m_earlier.act_until()) {
    m_stored_settled = true;
    const std::string epoch = std::to_string(m_parts.ownership->revision());
    m_writer.Put({{{std::string(kSettledEpochKey), epoch}}, {}});
  }
}

void ScheduleOwner::ReadPage() {
  m_reading = true;
  const std::weak_ptr<int> lifetime = m_lifetime;
  m_parts.store->Range(kPrefixes.at(static_cast<std::size_t>(m_prefix)), m_last_key,
                       [this, lifetime](TimePoint, const KvReadReply& reply) {
                         if (!lifetime.expired()) {
                           OnPage(reply);
                         }
                       });
}

void ScheduleOwner::OnPage(const KvReadReply& reply) {
  m_reading = false;
  if (reply.status != KvStatus::kOk) {
    m_retry_at = Clock::now() + kReadRetry;
    return;
  }
  for (const KvItem& item : reply.items) {
    m_last_key = item.key;
    LoadItem(item);
  }
  if (reply.more && !reply.items.empty()) {
    ReadPage();
    return;
  }
  NextPrefix();
}

void ScheduleOwner::LoadItem(const KvItem& item) {
  const std::string_view prefix = kPrefixes.at(static_cast<std::size_t>(m_prefix));
  const std::string id = item.key.substr(prefix.size());
  if (prefix == kCursorKey) {
    if (item.key != kCursorKey) {
      m_writer.LoadCursor(item.key, item.revision);
    }
    return;
  }
  if (prefix == kWorkersKey) {
    m_recorded = DecodeWorkers(item.value);
    return;
  }
  if (prefix == kSettledEpochKey) {
    // Owners with a lower epoch had stopped before this daemon's claim.
    m_earlier.RecordBound(m_started_at, ParseNumber<std::uint64_t>(item.value).value_or(0));
    return;
  }
  if (prefix == kWavePrefix) {
    if (const auto number = ParseNumber<std::int64_t>(id)) {
      m_wave_progress[*number] = DecodeWaveProgress(item.value);
    }
    return;
  }
  bool readable = false;
  if (prefix == kJobPrefix) {
    if (const auto record = DecodeJob(id, item.value)) {
      m_records[id] = *record;
      readable = true;
    }
  } else if (prefix == kQueuePrefix) {
    auto record = DecodeQueue(item.value);
    readable = record.has_value();
    if (record) {
      m_queue_records.push_back(std::move(*record));
    }
  } else if (prefix == kCancelledPrefix) {
    readable = m_cancelled.Load(m_started_at, item.key, item.value);
  } else if (prefix == kProgressPrefix) {
    readable = LoadProgress(id, item.value, item.revision);
  } else {
    readable = LoadProgressEntry(item);
  }
  if (!readable) {
    LogLine(LogLevel::kError, "unreadable_state").Field("key", item.key);
  }
}

bool ScheduleOwner::LoadProgress(const std::string& job, std::string_view value,
                                 std::uint64_t revision) {
  const auto progress = DecodeProgress(value);
  if (!progress) {
    return false;
  }
  // A job may have an entry of its own, which a daemon of an earlier version wrote, and others in
  // the log. The newest one counts.
  LoadedProgress& loaded = m_progress[job];
  if (revision >= loaded.revision) {
    loaded = {*progress, revision};
  }
  return true;
}

bool ScheduleOwner::LoadProgressEntry(const KvItem& item) {
  const auto rows = DecodeProgressEntry(item.value);
  if (!rows) {
    return false;
  }
  bool readable = true;
  std::vector<std::string> active;
  for (const auto& [job, progress] : *rows) {
    readable = LoadProgress(job, progress, item.revision) && readable;
    const auto record = m_records.find(job);
    if (record != m_records.end() && record->second.spec) {
      active.push_back(job);
    }
  }
  m_writer.LoadProgressLog(item.key, active);
  return readable;
}

void ScheduleOwner::NextPrefix() {
  m_last_key.clear();
  ++m_prefix;
  if (m_prefix < static_cast<int>(kPrefixes.size())) {
    ReadPage();
  }
}

void ScheduleOwner::FinishLoad(Now now) {
  for (QueueRecord& record : std::exchange(m_queue_records, {})) {
    m_scheduler->LoadQueue(std::move(record));
  }
  for (const auto& [id, record] : m_records) {
    const auto progress = m_progress.find(id);
    m_scheduler->LoadJob(now, id, record,
                         progress == m_progress.end() ? JobProgress{} : progress->second.progress);
  }
  Takeover takeover;
  takeover.epoch = m_parts.ownership->revision();
  takeover.generation = m_parts.ownership->record() ? m_parts.ownership->record()->generation : 0;
  takeover.workers = std::move(m_recorded);
  takeover.unreconciled_bound =
      m_scheduler->UnheardWorkersBound(std::max(m_earlier.act_until(), m_started_at));
  m_scheduler->Begin(now, takeover);
  m_records.clear();
  m_progress.clear();
  m_ready = true;
  if (m_parts.machines != nullptr) {
    m_fleet = std::make_unique<VmFleet>(VmFleetParts{m_parts.machines, &m_writer, m_parts.format,
                                                     m_parts.ownership, m_scheduler.get()},
                                        m_fleet_settings, now.time);
    for (const auto& [number, begun] : m_wave_progress) {
      m_fleet->LoadWaveProgress(number, begun);
    }
    for (const auto& [number, wave] : m_waves) {
      m_fleet->SetWave(now.time, wave);
    }
  }
  LogLine(LogLevel::kInfo, "owner_ready")
      .Field("epoch", takeover.epoch)
      .Field("load_ms", std::chrono::duration_cast<Duration>(now.time - m_started_at).count());
}

void ScheduleOwner::OnWorkerItem(TimePoint now, const KvItem& item) {
  const Now at{now, UnixMilliseconds()};
  const std::string id = m_parts.format->WorkerIdOf(item.key);
  if (item.deleted) {
    m_scheduler->RemoveWorker(at, id);
    return;
  }
  const auto info = m_parts.format->DecodeWorker(item);
  if (!info) {
    LogLine(LogLevel::kWarning, "unreadable_registration").Field("key", item.key);
    m_scheduler->RemoveWorker(at, id);
    return;
  }
  m_scheduler->SetWorker(at, *info);
}

void ScheduleOwner::Tick(Now now) {
  m_workers.Tick(now.time);
  const bool loaded = m_prefix >= static_cast<int>(kPrefixes.size());
  if (!loaded && !m_reading && now.time >= m_retry_at) {
    ReadPage();
  }
  if (loaded && !m_ready && m_workers.loaded() && m_config) {
    FinishLoad(now);
  }
  if (!m_ready) {
    return;
  }
  m_scheduler->SetAuthority({m_parts.ownership->confirmed(), m_parts.ownership->authority_until()});
  m_scheduler->SetRegistrationsKnownUntil(m_workers.confirmed_at());
  UpdateLoad(now.time);
  ApplyEarlierOwners(now.time);
  m_scheduler->Tick(now);
  if (m_scheduler->ConfirmationWanted()) {
    m_parts.ownership->RequestConfirmation(now.time);
  }
  if (m_fleet) {
    m_fleet->Tick(now.time);
  }
  m_cancelled.Tick(now.time, m_parts.ownership->revision());
  m_writer.Tick(now);
  AnswerUnknownJobs(now);
}

void ScheduleOwner::UpdateLoad(TimePoint now) {
  OwnerLoad load;
  load.oldest_unstored = m_scheduler->OldestUnstored(now);
  load.transaction_time = m_writer.last_transaction_time();
  load.store_failing = m_writer.failing(now);
  m_scheduler->SetStartLimit(m_load.Record(now, load, m_scheduler->counters().ends_stored));
  // A step waits for a turn to be placed, and its end for a turn to be handled and for the store.
  m_scheduler->SetStepDelay(2 * m_load.average_turn() + load.transaction_time);
  const auto report = m_load.TakeReport(now);
  if (!report) {
    return;
  }
  const std::uint64_t all_starts = m_scheduler->counters().starts;
  LogLine(LogLevel::kInfo, "owner_load")
      .Field("longest_turn_ms", report->longest_turn.count())
      .Field("oldest_unstored_ms", report->oldest_unstored.count())
      .Field("starts_per_pass", report->fewest_starts)
      .Field("starts", all_starts - std::exchange(m_reported_starts, all_starts))
      .Field("transactions", m_writer.transactions())
      .Field("transaction_ms", m_writer.last_transaction_time().count())
      .Field("registrations_age_ms", m_scheduler->RegistrationsAge(now).count())
      .Field("usable_workers", m_scheduler->usable_workers())
      .Field("active_jobs", m_scheduler->job_table().active().size())
      .Field("job_bytes", m_scheduler->job_table().memory())
      .Field("waiting_calls", m_waiting.size())
      .Field("cancelled_unknown_jobs", m_cancelled.size());
}

}  // namespace cranberryplank
