#include "cranberryplank/entry/state_writer.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

/// Least time between the beginnings of two transactions, so that changes share calls.
constexpr Duration kBatchInterval{20};
constexpr Duration kRetryInterval{100};
/// One entry is the duty's precondition, one may be the list of workers.
constexpr std::size_t kEntriesForJobs = kMaxTransactionEntries - 2;
constexpr Duration kFailingBound{250};
/// A transaction that takes longer counts as failing.
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

StateWriter::StateWriter(KeyValueStore* store, DutyKeeper* duty, Scheduler* scheduler)
    : m_store(store), m_duty(duty), m_scheduler(scheduler) {}

bool StateWriter::failing(TimePoint now) const {
  return (m_failing && now - m_failing_since > kFailingBound) ||
         (m_in_flight && now - m_sent > kSlowCall);
}

void StateWriter::Tick(Now now) {
  if (!m_in_flight && now.time >= m_retry_at && now.time - m_sent >= kBatchInterval) {
    Send(now);
  }
}

void StateWriter::Send(Now now) {
  m_changes = m_scheduler->CollectChanges(kEntriesForJobs);
  const auto workers = m_scheduler->WorkersToRecord();
  m_writes_workers = workers.has_value();
  if (m_changes.empty() && !m_writes_workers) {
    return;
  }
  KvTransaction transaction;
  transaction.preconditions.push_back({m_duty->key(), m_duty->revision()});
  if (m_writes_workers) {
    m_workers = *workers;
    transaction.writes.push_back({std::string(kWorkersKey), EncodeWorkers(m_workers)});
  }
  for (const JobChange& change : m_changes) {
    if (change.record) {
      transaction.writes.push_back({JobKey(change.job), *change.record});
    }
    if (change.progress) {
      transaction.writes.push_back({ProgressKey(change.job), *change.progress});
    }
    if (change.remove_progress) {
      transaction.removals.push_back(ProgressKey(change.job));
    }
    if (change.remove_record) {
      transaction.removals.push_back(JobKey(change.job));
    }
  }
  m_in_flight = true;
  m_sent = now.time;
  const std::weak_ptr<int> lifetime = m_lifetime;
  m_store->Commit(transaction, [this, lifetime](TimePoint at, const KvCommitReply& reply) {
    if (!lifetime.expired()) {
      OnReply(at, reply);
    }
  });
}

void StateWriter::OnReply(TimePoint now, const KvCommitReply& reply) {
  m_in_flight = false;
  if (reply.status == KvStatus::kOk) {
    if (m_failing) {
      LogLine(LogLevel::kInfo, "store_writes_regained");
    }
    m_failing = false;
    for (const JobChange& change : m_changes) {
      m_uncertain.erase(change.job);
    }
    m_duty->Confirm(m_sent);
    if (m_writes_workers) {
      m_scheduler->OnWorkersRecorded(m_workers);
    }
    m_scheduler->OnStored({now, UnixMilliseconds()}, m_changes);
    return;
  }
  if (!m_failing) {
    m_failing = true;
    m_failing_since = now;
    LogLine(LogLevel::kWarning, "store_writes_fail").Field("status", ToString(reply.status));
  }
  m_retry_at = now + kRetryInterval;
  if (reply.status == KvStatus::kConflict) {
    m_duty->Lose(now, "a transaction found another owner");
    return;  // The writer may have been destroyed.
  }
  if (reply.status == KvStatus::kUnknown) {
    for (const JobChange& change : m_changes) {
      m_uncertain.insert(change.job);
    }
    return;
  }
  WithdrawRefused();
}

void StateWriter::WithdrawRefused() {
  for (const JobChange& change : m_changes) {
    if (!m_uncertain.contains(change.job)) {
      m_scheduler->Withdraw(change.job);
    }
  }
}

}  // namespace cranberryplank
