#ifndef CRANBERRYPLANK_SCHEDULER_QUEUE_TABLE_H_
#define CRANBERRYPLANK_SCHEDULER_QUEUE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/scheduler/cluster_config.h"
#include "cranberryplank/scheduler/job_table.h"

namespace cranberryplank {

/// What the store keeps of a queue, so that later owners know it for as long as it has jobs that
/// are not finished. The operators' item in the store has only the newest configuration.
struct QueueRecord {
  /// How its jobs are run. Of the fields that concern calls only the path is kept.
  QueueConfig queue;
  std::set<std::string, std::less<>> pools;  ///< Pools in which runs of its jobs may be.
  bool remove = false;                       ///< The record is to be removed from the store.
  /// Name under which an earlier version has stored the record, instead of the queue's id. That
  /// entry is removed with the next change. Empty if there is none.
  std::string former_key_name = {};
};

/// Returns whether both configurations run jobs in the same way. How calls are routed to the queue
/// is not compared.
bool RunsJobsAlike(const QueueConfig& left, const QueueConfig& right);

/// All queues known to the owner of the schedule, by `QueueConfig::id`. Jobs are run by settings
/// that the store has: a change that concerns unfinished jobs is stored before it is used, so that
/// a later owner knows each pool in which a run may be. Queues without unfinished jobs cause no
/// call to the store.
class QueueTable {
 public:
  /// Takes over the queues of a configuration. Removed queues stay known.
  /// @param jobs the jobs of this owner
  void SetConfig(const ClusterConfig& config, const JobTable& jobs);
  /// Adds a queue that no configuration known here has, if it is not known yet.
  void AddUnconfigured(const QueueConfig& queue);
  /// Takes over a record of an earlier owner.
  void Load(const QueueRecord& record);
  /// Records that a queue has a job that is not finished.
  void Use(const std::string& id);

  /// Returns by which settings the jobs of a queue are run. The reference stays valid.
  const QueueConfig& Used(std::string_view id) const;
  /// Returns whether the store has a record of the queue, so that its tasks may be started.
  bool HasRecord(std::string_view id) const;
  /// Returns whether the store has the newest settings of the queue.
  /// @param being_stored records in the same transaction
  bool IsRecorded(std::string_view id, std::span<const QueueRecord> being_stored) const;
  /// Returns whether a run of the queue's jobs may be in the pool.
  bool MayRunIn(std::string_view id, std::string_view pool) const;

  /// Collects records to store. Their queues are collected again only after `OnStored` or
  /// `Release`.
  std::vector<QueueRecord> Collect(std::size_t max, const JobTable& jobs);
  /// Reports that collected records were certainly not stored.
  void Release(std::span<const QueueRecord> records);
  void OnStored(std::span<const QueueRecord> records);
  /// Marks the records of removed queues without unfinished jobs for removal.
  void FindOutdated(const JobTable& jobs);

 private:
  struct Queue {
    QueueConfig newest;
    QueueConfig used;                          ///< As in the store, if it has a record.
    std::set<std::string, std::less<>> pools;  ///< As in the store.
    bool configured = false;                   ///< The newest configuration has the queue.
    bool stored = false;          ///< The store has a record, which is not being removed.
    bool being_stored = false;    ///< A record was collected.
    std::string former_key_name;  ///< As in `QueueRecord`.

    bool recorded() const { return stored && RunsJobsAlike(newest, used); }
  };

  const Queue* Find(std::string_view id) const;
  void SetNewest(const QueueConfig& config, Queue* queue);

  std::map<std::string, Queue, std::less<>> m_queues;  ///< Entries are never removed.
  std::set<std::string> m_to_store;                    ///< Queues whose record may need a change.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_QUEUE_TABLE_H_
