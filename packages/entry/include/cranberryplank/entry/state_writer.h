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
/// Epoch of an owner that found that no owner before it acts any more.
constexpr std::string_view kSettledEpochKey = "schedule/settled-epoch";

std::string EncodeWorkers(std::span<const RecordedWorker> workers);
std::vector<RecordedWorker> DecodeWorkers(std::string_view value);

/// Stores the changes of the schedule in batches. Each transaction has two preconditions. The
/// revision of the ownership record keeps it from taking effect after another daemon's claim. The
/// revision of a cursor, which the transaction writes, keeps it from taking effect after a newer
/// one with the same cursor, because the store may apply an unanswered transaction seconds later.
///
/// The load that this answers: hundreds of jobs come and end per second, while a busy owner takes
/// tens of milliseconds for one transaction. So several transactions with a cursor each are under
/// way while many changes wait. The changes of one job are never in two of them.
class StateWriter {
 public:
  StateWriter(KeyValueStore* store, ScheduleOwnership* ownership, Scheduler* scheduler);
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  /// A change beside those of the scheduler. All of it is stored in one transaction.
  struct ExtraChange {
    std::vector<KvWrite> writes;
    std::vector<std::string> removals;             ///< Keys.
    std::function<void(TimePoint now)> done = {};  ///< Runs once the change is stored.
  };

  void Tick(Now now);
  /// Adds a change to the next transaction that has room.
  void Put(ExtraChange change);
  /// Sets the revision of a cursor that an earlier owner has written.
  void LoadCursor(const std::string& key, std::uint64_t revision);
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
  /// A transaction, and the cursor that it shares with the earlier and later ones of the slot. It
  /// is retried unchanged until its outcome is known.
  struct Slot {
    std::string cursor_key;
    std::uint64_t cursor_revision = 0;  ///< 0 if the key does not exist.
    std::string cursor_value;
    bool in_flight = false;
    bool built = false;
    bool uncertain = false;  ///< It may have been applied, or may be applied later.
    TimePoint sent{};
    KvTransaction transaction;
    std::vector<JobChange> changes;
    bool writes_workers = false;
    std::vector<RecordedWorker> workers;
    std::vector<QueueRecord> queues;
    std::vector<ExtraChange> extra;
    std::string log_key;  ///< Entry of the progress log that the transaction writes.
    std::vector<std::string> log_removals;
  };

  /// Builds the next transaction of a slot. @return false if there is nothing to store
  bool Build(TimePoint now, Slot* slot);
  void AddWorkers(TimePoint now, Slot* slot, std::size_t* room);
  void AddQueues(Slot* slot, std::size_t* room);
  void AddExtra(Slot* slot, std::size_t* room);
  /// Adds the collected changes of jobs. @return progress for the log
  static std::vector<StoredProgress> AddChanges(Slot* slot);
  /// Returns whether the removals alone are worth a transaction.
  bool HasEnoughRemovals(const Slot& slot) const;
  /// Updates the progress log after the transaction has been applied.
  void RecordProgressLog(const Slot& slot);
  /// Returns whether the transaction had no room left.
  static bool HasFullTransaction(const Slot& slot);
  void Send(TimePoint now, Slot* slot);
  void OnReply(TimePoint now, Slot* slot, const KvCommitReply& reply);
  void OnConflict(TimePoint now, Slot* slot, const KvCommitReply& reply);
  void Finish(TimePoint now, Slot* slot, std::uint64_t cursor_revision);
  void RecordFailure(TimePoint now, KvStatus status);
  void Withdraw(Slot* slot);

  KeyValueStore* m_store;
  ScheduleOwnership* m_ownership;
  Scheduler* m_scheduler;
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
  std::vector<Slot> m_slots;  ///< Its size never changes.
  std::deque<ExtraChange> m_extra;
  ProgressLog m_progress_log;
  TimePoint m_failing_since{};
  bool m_failing = false;
  TimePoint m_retry_at{};
  TimePoint m_workers_written{};
  std::uint64_t m_transactions = 0;
  Duration m_last_transaction_time{0};
  std::uint64_t m_batch = 0;  ///< Number of the newest transaction.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
