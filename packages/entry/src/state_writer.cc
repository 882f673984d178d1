#include "cranberryplank/entry/state_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/entry/queue_codec.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

/// Minimum time between the starts of two transactions, so that changes are batched.
constexpr Duration kBatchInterval{20};
/// Transactions under way at the same time while many changes wait.
constexpr std::size_t kSlots = 4;
/// Changes that must wait before a further transaction is sent while another is under way. Fewer
/// wait for its reply, because each call to the store has a price.
constexpr std::size_t kChangesForFurtherSlot = 14;
constexpr Duration kRetryInterval{100};
/// Minimum time between two writes of the record of workers.
constexpr Duration kWorkersInterval{80};
/// Excludes the preconditions on the ownership record and the cursor, and the write of the cursor.
constexpr std::size_t kEntriesForState = kMaxTransactionEntries - 3;
/// Records of queues in one transaction; a new configuration may change hundreds of queues.
constexpr std::size_t kQueueRecords = 14;
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
    rows.push_back({worker.id, worker.pool, worker.clock_start_unix_ms, worker.vm});
  }
  return rows.dump();
}

std::vector<RecordedWorker> DecodeWorkers(std::string_view value) {
  std::vector<RecordedWorker> workers;
  try {
    for (const json& row : json::parse(value)) {
      // Earlier versions store only the first fields.
      RecordedWorker worker{row.at(0), row.at(1), 0, {}};
      if (row.size() > 2) {
        worker.clock_start_unix_ms = row.at(2);
      }
      if (row.size() > 3) {
        worker.vm = row.at(3);
      }
      workers.push_back(std::move(worker));
    }
  } catch (const json::exception& error) {
    LogLine(LogLevel::kError, "unreadable_state")
        .Field("key", kWorkersKey)
        .Field("reason", error.what());
  }
  return workers;
}

StateWriter::StateWriter(KeyValueStore* store, ScheduleOwnership* ownership, Scheduler* scheduler)
    : m_store(store), m_ownership(ownership), m_scheduler(scheduler), m_slots(kSlots) {
  for (std::size_t i = 0; i < kSlots; ++i) {
    m_slots[i].cursor_key = i == 0 ? std::string(kCursorKey) : fmt::format("{}/{}", kCursorKey, i);
  }
}

bool StateWriter::failing(TimePoint now) const {
  return (m_failing && now - m_failing_since > kFailingBound) ||
         std::any_of(m_slots.begin(), m_slots.end(), [&](const Slot& slot) {
           return slot.in_flight && now - slot.sent > kSlowCall;
         });
}

void StateWriter::Put(ExtraChange change) { m_extra.push_back(std::move(change)); }

void StateWriter::LoadCursor(const std::string& key, std::uint64_t revision) {
  for (Slot& slot : m_slots) {
    if (slot.cursor_key == key) {
      slot.cursor_revision = revision;
    }
  }
}

void StateWriter::LoadProgressLog(const std::string& key, std::span<const std::string> jobs) {
  m_progress_log.OnStored(key, jobs);
}

void StateWriter::Tick(Now now) {
  if (now.time < m_retry_at) {
    return;
  }
  for (Slot& slot : m_slots) {
    const bool first = &slot == &m_slots.front();
    if (slot.in_flight || (first && now.time - slot.sent < kBatchInterval)) {
      continue;
    }
    const bool wanted = first || m_scheduler->WaitingChanges() >= kChangesForFurtherSlot;
    if (slot.built || (wanted && Build(now.time, &slot))) {
      Send(now.time, &slot);
    }
  }
}

bool StateWriter::Build(TimePoint now, Slot* slot) {
  std::size_t room = kEntriesForState - 1;  // One is kept for the entry of the progress log.
  slot->transaction = {};
  slot->log_removals = m_progress_log.TakeUnneeded(kLogRemovals);
  slot->transaction.removals = slot->log_removals;
  room -= slot->log_removals.size();
  slot->extra.clear();
  slot->writes_workers = false;
  slot->queues.clear();
  if (slot == &m_slots.front()) {
    // These replace earlier values, so only one transaction at a time may write them.
    AddWorkers(now, slot, &room);
    AddQueues(slot, &room);
    AddExtra(slot, &room);
  }
  slot->changes = m_scheduler->CollectChanges(now, room, slot->queues);
  const std::vector<StoredProgress> progress = AddChanges(slot);
  if (slot->transaction.writes.empty() && progress.empty() && !HasEnoughRemovals(*slot)) {
    m_progress_log.Return(slot->log_removals);
    m_scheduler->ReleaseChanges(slot->changes);
    return false;
  }
  if (slot == &m_slots.front() && slot->cursor_revision == 0) {
    slot->cursor_revision = m_ownership->revision();  // The claim wrote both keys.
  }
  // The epoch distinguishes the value from that of an earlier owner.
  slot->cursor_value = fmt::format("{}{}{}", m_ownership->revision(), kCursorSeparator, ++m_batch);
  slot->transaction.preconditions.push_back({m_ownership->key(), m_ownership->revision()});
  slot->transaction.preconditions.push_back({slot->cursor_key, slot->cursor_revision});
  slot->transaction.writes.push_back({slot->cursor_key, slot->cursor_value});
  slot->log_key.clear();
  if (!progress.empty()) {
    slot->log_key = ProgressLogKey(m_ownership->revision(), m_batch);
    slot->transaction.writes.push_back({slot->log_key, EncodeProgressEntry(progress)});
  }
  slot->built = true;
  slot->uncertain = false;
  return true;
}

void StateWriter::AddWorkers(TimePoint now, Slot* slot, std::size_t* room) {
  // The record lists all workers, and with many moves of VMs it changes all the time.
  if (now - m_workers_written < kWorkersInterval) {
    return;
  }
  auto workers = m_scheduler->WorkersToRecord();
  if (!workers) {
    return;
  }
  m_workers_written = now;
  slot->writes_workers = true;
  slot->workers = std::move(*workers);
  slot->transaction.writes.push_back({std::string(kWorkersKey), EncodeWorkers(slot->workers)});
  --*room;
}

void StateWriter::AddQueues(Slot* slot, std::size_t* room) {
  // A record may also remove that of an earlier version.
  slot->queues = m_scheduler->CollectQueues(std::min(kQueueRecords, *room / 2));
  *room -= slot->queues.size();
  for (const QueueRecord& record : slot->queues) {
    const bool has_former_key = !record.former_key_name.empty();
    if (has_former_key) {
      slot->transaction.removals.push_back(QueueKey(record.former_key_name));
      --*room;
    }
    const std::string key = QueueKey(record.queue.id());
    if (!record.remove) {
      slot->transaction.writes.push_back({key, EncodeQueue(record)});
    } else if (!has_former_key) {
      slot->transaction.removals.push_back(key);
    }
  }
}

void StateWriter::AddExtra(Slot* slot, std::size_t* room) {
  KvTransaction& transaction = slot->transaction;
  while (!m_extra.empty()) {
    const ExtraChange& change = m_extra.front();
    const std::size_t entries = change.writes.size() + change.removals.size();
    if (entries > *room) {
      return;
    }
    *room -= entries;
    transaction.writes.insert(transaction.writes.end(), change.writes.begin(), change.writes.end());
    transaction.removals.insert(transaction.removals.end(), change.removals.begin(),
                                change.removals.end());
    slot->extra.push_back(std::move(m_extra.front()));
    m_extra.pop_front();
  }
}

std::vector<StoredProgress> StateWriter::AddChanges(Slot* slot) {
  KvTransaction& transaction = slot->transaction;
  std::vector<StoredProgress> progress;
  for (const JobChange& change : slot->changes) {
    if (change.progress && change.progress_in_log) {
      progress.emplace_back(change.job, *change.progress);
    } else if (change.progress) {
      transaction.writes.push_back({ProgressKey(change.job), *change.progress});
    }
    if (change.record) {
      transaction.writes.push_back({JobKey(change.job), *change.record});
    }
    if (change.remove_progress) {
      transaction.removals.push_back(ProgressKey(change.job));
    }
    if (change.remove_record) {
      transaction.removals.push_back(JobKey(change.job));
    }
  }
  return progress;
}

bool StateWriter::HasEnoughRemovals(const Slot& slot) const {
  const std::size_t log = slot.log_removals.size();
  return slot.transaction.removals.size() > log ||
         (log > 0 && log + m_progress_log.unneeded() >= kLogRemovalsAlone);
}

bool StateWriter::HasFullTransaction(const Slot& slot) {
  // The writes of the cursor and the progress log are counted too, so this also holds with two
  // entries of room left, which is too little for a job that needs two.
  return slot.transaction.writes.size() + slot.transaction.removals.size() >= kEntriesForState;
}

void StateWriter::RecordProgressLog(const Slot& slot) {
  m_progress_log.OnRemoved(slot.log_removals);
  std::vector<std::string> jobs;
  for (const JobChange& change : slot.changes) {
    if (change.progress && change.progress_in_log) {
      jobs.push_back(change.job);
    } else if (change.job_ended || change.progress) {
      m_progress_log.OnJobEnded(change.job);  // The log's progress of the job is superseded.
    }
  }
  if (!slot.log_key.empty()) {
    m_progress_log.OnStored(slot.log_key, jobs);
  }
}

void StateWriter::Send(TimePoint now, Slot* slot) {
  slot->in_flight = true;
  slot->sent = now;
  const std::weak_ptr<int> lifetime = m_lifetime;
  m_store->Commit(slot->transaction,
                  [this, slot, lifetime](TimePoint at, const KvCommitReply& reply) {
                    if (!lifetime.expired()) {
                      OnReply(at, slot, reply);
                    }
                  });
}

void StateWriter::OnReply(TimePoint now, Slot* slot, const KvCommitReply& reply) {
  slot->in_flight = false;
  switch (reply.status) {
    case KvStatus::kOk:
      m_ownership->Confirm(slot->sent);
      Finish(now, slot, reply.revision);
      return;
    case KvStatus::kConflict:
      OnConflict(now, slot, reply);
      return;
    case KvStatus::kUnknown:
      slot->uncertain = true;
      RecordFailure(now, reply.status);
      return;
    case KvStatus::kRefused:
    case KvStatus::kCompacted:
      RecordFailure(now, reply.status);
      if (!slot->uncertain) {
        Withdraw(slot);
      }
      return;
  }
}

void StateWriter::OnConflict(TimePoint now, Slot* slot, const KvCommitReply& reply) {
  const KvItem* ownership = nullptr;
  const KvItem* cursor = nullptr;
  for (const KvItem& item : reply.current) {
    ownership = item.key == m_ownership->key() ? &item : ownership;
    cursor = item.key == slot->cursor_key ? &item : cursor;
  }
  const bool owned = ownership != nullptr && ownership->revision == m_ownership->revision();
  if (owned && cursor != nullptr && cursor->value == slot->cursor_value) {
    // An earlier attempt that got no answer was applied.
    m_ownership->Confirm(slot->sent);
    Finish(now, slot, cursor->revision);
    return;
  }
  RecordFailure(now, reply.status);
  m_ownership->Lose(now, "a transaction found another owner");
}

void StateWriter::Finish(TimePoint now, Slot* slot, std::uint64_t cursor_revision) {
  if (m_failing) {
    LogLine(LogLevel::kInfo, "store_writes_regained");
  }
  m_failing = slot->built = slot->uncertain = false;
  slot->cursor_revision = cursor_revision;
  ++m_transactions;
  m_last_transaction_time = std::chrono::duration_cast<Duration>(now - slot->sent);
  RecordProgressLog(*slot);
  if (slot->writes_workers) {
    m_scheduler->OnWorkersRecorded(slot->workers);
  }
  for (const ExtraChange& change : slot->extra) {
    if (change.done) {
      change.done(now);
    }
  }
  m_scheduler->OnQueuesStored(slot->queues);
  m_scheduler->OnStored({now, UnixMilliseconds()}, slot->changes);
  // After a full transaction more changes may be waiting, so the next one is sent immediately.
  if (HasFullTransaction(*slot) && Build(now, slot)) {
    Send(now, slot);
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
void StateWriter::Withdraw(Slot* slot) {
  slot->built = false;
  m_extra.insert(m_extra.begin(), slot->extra.begin(), slot->extra.end());
  m_progress_log.Return(slot->log_removals);
  m_scheduler->ReleaseQueues(slot->queues);
  m_scheduler->ReleaseChanges(slot->changes);
  for (const JobChange& change : slot->changes) {
    m_scheduler->Withdraw(change.job);
  }
}

}  // namespace cranberryplank
