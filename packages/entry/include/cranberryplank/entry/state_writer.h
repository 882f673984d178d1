#ifndef CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
#define CRANBERRYPLANK_ENTRY_STATE_WRITER_H_

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/entry/duty_keeper.h"
#include "cranberryplank/entry/key_value_store.h"
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
/// revision of the duty's record, so that none takes effect after another daemon's claim.
class StateWriter {
 public:
  StateWriter(KeyValueStore* store, DutyKeeper* duty, Scheduler* scheduler);
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  void Tick(Now now);
  /// Tells whether the store has not taken changes for a while: submissions are refused at once.
  bool failing(TimePoint now) const;

 private:
  void Send(Now now);
  void OnReply(TimePoint now, const KvCommitReply& reply);
  void WithdrawRefused();

  KeyValueStore* m_store;
  DutyKeeper* m_duty;
  Scheduler* m_scheduler;
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
  bool m_in_flight = false;
  TimePoint m_sent{};
  TimePoint m_failing_since{};
  bool m_failing = false;
  TimePoint m_retry_at{};
  std::vector<JobChange> m_changes;        ///< Of the transaction under way.
  std::vector<RecordedWorker> m_workers;   ///< Of the transaction under way.
  bool m_writes_workers = false;
  std::set<std::string> m_uncertain;  ///< Jobs that were part of a transaction without an answer.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_STATE_WRITER_H_
