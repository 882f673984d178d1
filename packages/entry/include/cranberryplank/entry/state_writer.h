#ifndef CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
#define CRANBERRYPLANK_ENTRY_STATE_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/entry/key_value_store.h"
#include "cranberryplank/entry/progress_log.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// Keys of the schedule's state in the store.
std::string JobKey(std::string_view job);
std::string ProgressKey(std::string_view job);
constexpr std::string_view kJobPrefix = "job/";
constexpr std::string_view kProgressPrefix = "progress/";
constexpr std::string_view kWorkersKey = "schedule/workers";

std::string EncodeWorkers(std::span<const RecordedWorker> workers);
std::vector<RecordedWorker> DecodeWorkers(std::string_view value);

/// Stores the changes of the schedule in batches, one transaction at a time. Each transaction has
/// two preconditions. The revision of the ownership record keeps it from taking effect after
/// another daemon's claim. The revision of the cursor, which each transaction writes, keeps it from
/// overwriting a newer one, because the store may apply an unanswered transaction seconds later.
class StateWriter {
 public:
  StateWriter(KeyValueStore* store, ScheduleOwnership* ownership, Scheduler* scheduler);
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  void Tick(Now now);
  /// Adds writes to the next transaction that has room. @param done runs once they are stored
  void Put(std::vector<KvWrite> writes, std::function<void()> done);
  /// Restores an entry of the progress log that an earlier owner wrote. Entries must be given in
  /// the order of their keys. @param jobs active jobs with progress in it
  void LoadProgressLog(const std::string& key, std::span<const std::string> jobs);
  const ProgressLog& progress_log() const { return m_progress_log; }
  /// Returns the number of transactions that were applied.
  std::uint64_t transactions() const { return m_transactions; }
  /// Returns how long the last attempt of the newest of them took.
  Duration last_transaction_time() const { return m_last_transaction_time; }
  /// Returns whether the store has failed to accept changes for a while. Submissions are then
  /// refused immediately.
  bool failing(TimePoint now) const;

 private:
  struct ExtraWrites {
    std::vector<KvWrite> writes;
    std::function<void()> done;
  };

  /// Builds the next transaction. @return false if there is nothing to store
  bool Build(TimePoint now);
  /// Returns whether the transaction only removes a few entries of the progress log.
  bool OnlyRemovesLog() const;
  /// Updates the progress log after the transaction has been applied.
  void RecordProgressLog();
  /// Returns whether the newest transaction had no room left.
  bool HasFullTransaction() const;
  void Send(TimePoint now);
  void OnReply(TimePoint now, const KvCommitReply& reply);
  void OnConflict(TimePoint now, const KvCommitReply& reply);
  void Finish(TimePoint now, std::uint64_t cursor_revision);
  void RecordFailure(TimePoint now, KvStatus status);
  void Withdraw();

  KeyValueStore* m_store;
  ScheduleOwnership* m_ownership;
  Scheduler* m_scheduler;
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
  bool m_in_flight = false;
  TimePoint m_sent{};
  TimePoint m_failing_since{};
  bool m_failing = false;
  TimePoint m_retry_at{};
  std::deque<ExtraWrites> m_extra;
  // The current transaction. It is retried unchanged until its outcome is known.
  bool m_built = false;
  bool m_uncertain = false;  ///< It may have been applied, or may be applied later.
  KvTransaction m_transaction;
  std::vector<JobChange> m_changes;
  std::vector<RecordedWorker> m_workers;
  std::vector<ExtraWrites> m_built_extra;
  bool m_writes_workers = false;
  TimePoint m_workers_written{};
  std::string m_log_key;  ///< Entry of the progress log that the transaction writes.
  std::vector<std::string> m_log_removals;
  ProgressLog m_progress_log;
  bool m_full = false;  ///< The newest transaction had no room left.
  std::uint64_t m_transactions = 0;
  Duration m_last_transaction_time{0};
  std::uint64_t m_batch = 0;            ///< Number of the transaction, which is the cursor's value.
  std::uint64_t m_cursor_revision = 0;  ///< 0 before the first transaction.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
