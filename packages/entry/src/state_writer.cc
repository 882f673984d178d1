#include "cranberryplank/entry/state_writer.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

/// Minimum time between the starts of two transactions, so that changes are batched.
constexpr Duration kBatchInterval{20};
constexpr Duration kRetryInterval{100};
/// Minimum time between two writes of the record of workers.
constexpr Duration kWorkersInterval{80};
/// Excludes the preconditions on the ownership record and the cursor, and the write of the cursor.
constexpr std::size_t kEntriesForState = kMaxTransactionEntries - 3;
/// Entries of the progress log that one transaction removes.
constexpr std::size_t kLogRemovals = 4;
/// Removals alone are no reason for a transaction before there are this many.
constexpr std::size_t kLogRemovalsAlone = 16;
constexpr Duration kFailingBound{250};
/// A transaction that takes longer counts as a failure of the store.
constexpr Duration kSlowCall{600};

}  // namespace

std::string JobKey(std::string_view job) { return fmt::format("{}{}", kJobPrefix, job); }

std::string ProgressKey(std::string_view job) { return fmt::format("{}{}", kProgressPrefix, job); }

std::string EncodeWorkers(std::span<const RecordedWorker> workers) {
  json rows = json::array();
  for (const RecordedWorker& worker : workers) {
    rows.push_back({worker.id, worker.pool});
  }
  return rows.dump();
}

std::vector<RecordedWorker> DecodeWorkers(std::string_view value) {
  std::vector<RecordedWorker> workers;
  try {
    for (const json& row : json::parse(value)) {
      workers.push_back({row.at(0), row.at(1)});
    }
  } catch (const json::exception& error) {
    LogLine(LogLevel::kError, "unreadable_state")
        .Field("key", kWorkersKey)
        .Field("reason", error.what());
  }
  return workers;
}

StateWriter::StateWriter(KeyValueStore* store, ScheduleOwnership* ownership, Scheduler* scheduler)
    : m_store(store), m_ownership(ownership), m_scheduler(scheduler) {}

bool StateWriter::failing(TimePoint now) const {
  return (m_failing && now - m_failing_since > kFailingBound) ||
         (m_in_flight && now - m_sent > kSlowCall);
}

void StateWriter::Put(std::vector<KvWrite> writes, std::function<void()> done) {
  m_extra.push_back({std::move(writes), std::move(done)});
}

void StateWriter::Tick(Now now) {
  if (m_in_flight || now.time < m_retry_at || now.time - m_sent < kBatchInterval) {
    return;
  }
  if (m_built || Build(now.time)) {
    Send(now.time);
  }
}

bool StateWriter::Build(TimePoint now) {
  std::size_t room = kEntriesForState - 1;  // One is kept for the entry of the progress log.
  m_transaction = {};
  m_log_removals = m_progress_log.Unneeded(kLogRemovals);
  m_transaction.removals = m_log_removals;
  room -= m_log_removals.size();
  m_built_extra.clear();
  // The record lists all workers, and with many moves of VMs it changes all the time.
  auto workers =
      now - m_workers_written >= kWorkersInterval ? m_scheduler->WorkersToRecord() : std::nullopt;
  m_writes_workers = workers.has_value();
  if (m_writes_workers) {
    m_workers_written = now;
    m_workers = std::move(*workers);
    m_transaction.writes.push_back({std::string(kWorkersKey), EncodeWorkers(m_workers)});
    --room;
  }
  while (!m_extra.empty() && m_extra.front().writes.size() <= room) {
    const std::vector<KvWrite>& writes = m_extra.front().writes;
    room -= writes.size();
    m_transaction.writes.insert(m_transaction.writes.end(), writes.begin(), writes.end());
    m_built_extra.push_back(std::move(m_extra.front()));
    m_extra.pop_front();
  }
  m_changes = m_scheduler->CollectChanges(now, room);
  std::vector<StoredProgress> progress;
  for (const JobChange& change : m_changes) {
    if (change.progress && change.progress_in_log) {
      progress.emplace_back(change.job, *change.progress);
    } else if (change.progress) {
      m_transaction.writes.push_back({ProgressKey(change.job), *change.progress});
    }
    if (change.record) {
      m_transaction.writes.push_back({JobKey(change.job), *change.record});
    }
    if (change.remove_progress) {
      m_transaction.removals.push_back(ProgressKey(change.job));
    }
    if (change.remove_record) {
      m_transaction.removals.push_back(JobKey(change.job));
    }
  }
  if (m_transaction.writes.empty() && progress.empty() &&
      (m_transaction.removals.empty() || OnlyRemovesLog())) {
    return false;
  }
  if (m_cursor_revision == 0) {
    m_cursor_revision = m_ownership->revision();  // The claim wrote both keys.
  }
  m_transaction.preconditions.push_back({m_ownership->key(), m_ownership->revision()});
  m_transaction.preconditions.push_back({std::string(kCursorKey), m_cursor_revision});
  m_transaction.writes.push_back({std::string(kCursorKey), fmt::to_string(++m_batch)});
  m_log_key.clear();
  if (!progress.empty()) {
    m_log_key = ProgressLogKey(m_ownership->revision(), m_batch);
    m_transaction.writes.push_back({m_log_key, EncodeProgressEntry(progress)});
  }
  m_built = true;
  m_uncertain = false;
  return true;
}

bool StateWriter::OnlyRemovesLog() const {
  return m_transaction.removals.size() == m_log_removals.size() &&
         m_progress_log.Unneeded(kLogRemovalsAlone).size() < kLogRemovalsAlone;
}

bool StateWriter::HasFullTransaction() const {
  // The writes of the cursor and the progress log are counted too, so this also holds with two
  // entries of room left, which is too little for a job that needs two.
  return m_transaction.writes.size() + m_transaction.removals.size() >= kEntriesForState;
}

void StateWriter::RecordProgressLog() {
  m_progress_log.OnRemoved(m_log_removals);
  std::vector<std::string> jobs;
  for (const JobChange& change : m_changes) {
    if (change.progress && change.progress_in_log) {
      jobs.push_back(change.job);
    } else if (change.job_ended || change.progress) {
      m_progress_log.OnJobEnded(change.job);  // The log's progress of the job is superseded.
    }
  }
  if (!m_log_key.empty()) {
    m_progress_log.OnStored(m_log_key, jobs);
  }
}

void StateWriter::LoadProgressLog(const std::string& key, std::span<const std::string> jobs) {
  m_progress_log.OnStored(key, jobs);
}

void StateWriter::Send(TimePoint now) {
  m_in_flight = true;
  m_sent = now;
  const std::weak_ptr<int> lifetime = m_lifetime;
  m_store->Commit(m_transaction, [this, lifetime](TimePoint at, const KvCommitReply& reply) {
    if (!lifetime.expired()) {
      OnReply(at, reply);
    }
  });
}

void StateWriter::OnReply(TimePoint now, const KvCommitReply& reply) {
  m_in_flight = false;
  switch (reply.status) {
    case KvStatus::kOk:
      m_ownership->Confirm(m_sent);
      Finish(now, reply.revision);
      return;
    case KvStatus::kConflict:
      OnConflict(now, reply);
      return;
    case KvStatus::kUnknown:
      m_uncertain = true;
      RecordFailure(now, reply.status);
      return;
    case KvStatus::kRefused:
    case KvStatus::kCompacted:
      RecordFailure(now, reply.status);
      if (!m_uncertain) {
        Withdraw();
      }
      return;
  }
}

void StateWriter::OnConflict(TimePoint now, const KvCommitReply& reply) {
  const KvItem* ownership = nullptr;
  const KvItem* cursor = nullptr;
  for (const KvItem& item : reply.current) {
    ownership = item.key == m_ownership->key() ? &item : ownership;
    cursor = item.key == kCursorKey ? &item : cursor;
  }
  const bool owned = ownership != nullptr && ownership->revision == m_ownership->revision();
  if (owned && cursor != nullptr && cursor->value == fmt::to_string(m_batch)) {
    // An earlier attempt that got no answer was applied.
    m_ownership->Confirm(m_sent);
    Finish(now, cursor->revision);
    return;
  }
  RecordFailure(now, reply.status);
  m_ownership->Lose(now, "a transaction found another owner");
}

void StateWriter::Finish(TimePoint now, std::uint64_t cursor_revision) {
  if (m_failing) {
    LogLine(LogLevel::kInfo, "store_writes_regained");
  }
  m_failing = m_built = m_uncertain = false;
  m_cursor_revision = cursor_revision;
  ++m_transactions;
  m_last_transaction_time = std::chrono::duration_cast<Duration>(now - m_sent);
  RecordProgressLog();
  if (m_writes_workers) {
    m_scheduler->OnWorkersRecorded(m_workers);
  }
  for (const ExtraWrites& extra : m_built_extra) {
    extra.done();
  }
  m_scheduler->OnStored({now, UnixMilliseconds()}, m_changes);
  // After a full transaction more changes may be waiting, so the next one is sent immediately.
  if (HasFullTransaction() && Build(now)) {
    Send(now);
  }
}

void StateWriter::RecordFailure(TimePoint now, KvStatus status) {
  if (!m_failing) {
    m_failing = true;
    m_failing_since = now;
    LogLine(LogLevel::kWarning, "store_writes_fail").Field("status", ToString(status));
  }
  m_retry_at = now + kRetryInterval;
}

/// Withdraws a transaction that was never applied. New jobs are refused, and other changes are
/// collected again.
void StateWriter::Withdraw() {
  m_built = false;
  m_extra.insert(m_extra.begin(), m_built_extra.begin(), m_built_extra.end());
  for (const JobChange& change : m_changes) {
    m_scheduler->Withdraw(change.job);
  }
}

}  // namespace cranberryplank
