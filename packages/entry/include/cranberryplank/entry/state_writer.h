#ifndef CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
#define CRANBERRYPLANK_ENTRY_STATE_WRITER_H_

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/entry/key_value_store.h"
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

/// Stores the changes of the schedule in batches, one transaction at a time. Each names the
/// revision of the duty's record, so that none takes effect after another daemon's claim, and that
/// of a cursor which each transaction writes: a transaction that got no answer may be carried out
/// seconds later, and must not overwrite what a newer one has written.
class StateWriter {
 public:
  StateWriter(KeyValueStore* store, ScheduleOwnership* ownership, Scheduler* scheduler);
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  void Tick(Now now);
  /// Stores values under keys of their own with the next transaction. @param done runs once stored
  void Put(std::vector<KvWrite> writes, std::function<void()> done);
  /// Tells whether the store has not taken changes for a while: submissions are refused at once.
  bool failing(TimePoint now) const;

 private:
  struct ExtraWrites {
    std::vector<KvWrite> writes;
    std::function<void()> done;
  };

  /// Collects what is to be stored. @return whether there is anything
  bool Build();
  /// Tells whether the newest transaction had no room left.
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
  // The transaction under way. It is repeated unchanged until its outcome is known.
  bool m_built = false;
  bool m_uncertain = false;  ///< It may have been carried out, or may be later.
  KvTransaction m_transaction;
  std::vector<JobChange> m_changes;
  std::vector<RecordedWorker> m_workers;
  std::vector<ExtraWrites> m_built_extra;
  bool m_writes_workers = false;
  bool m_full = false;                  ///< The newest transaction had no room left.
  std::uint64_t m_batch = 0;            ///< Number of the transaction; the cursor's value.
  std::uint64_t m_cursor_revision = 0;  ///< 0 before the first transaction.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
