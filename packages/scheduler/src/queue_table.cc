#include "cranberryplank/scheduler/queue_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// The unfinished jobs of a queue.
struct QueueUse {
  bool has_stored_job = false;                ///< Only jobs in the store may have runs.
  std::set<std::string_view> accepted_pools;  ///< Of the queue when the jobs were accepted.
};

/// Returns the queues with unfinished jobs, by id.
std::map<std::string_view, QueueUse> QueuesInUse(const JobTable& jobs) {
  std::map<std::string_view, QueueUse> uses;
  for (const auto& [id, job] : jobs.jobs()) {
    if (job->ended_record) {
      continue;
    }
    QueueUse& use = uses[job->spec.queue_id()];
    use.has_stored_job = use.has_stored_job || job->stored;
    if (job->loaded_from_store) {
      use.accepted_pools.insert(job->spec.pool);
    }
  }
  return uses;
}

auto RunSettings(const QueueConfig& queue) {
  return std::tie(queue.pool, queue.priority, queue.max_attempts, queue.stretch, queue.objective,
                  queue.advice);
}

}  // namespace

bool RunsJobsAlike(const QueueConfig& left, const QueueConfig& right) {
  return RunSettings(left) == RunSettings(right);
}

const QueueTable::Queue* QueueTable::Find(std::string_view id) const {
  const auto it = m_queues.find(id);
  return it == m_queues.end() ? nullptr : &it->second;
}

void QueueTable::SetNewest(const QueueConfig& config, Queue* queue) {
  queue->newest = config;
  if (!queue->stored) {
    queue->used = config;
  }
}

void QueueTable::SetConfig(const ClusterConfig& config, const JobTable& jobs) {
  for (auto& [id, queue] : m_queues) {
    queue.configured = false;
  }
  std::vector<std::string> changed;
  for (const QueueConfig& configured : config.queues) {
    std::string id = configured.id();
    Queue& queue = m_queues[id];
    queue.configured = true;
    SetNewest(configured, &queue);
    if (!queue.recorded()) {
      changed.push_back(std::move(id));
    }
  }
  if (changed.empty()) {
    return;
  }
  std::set<std::string_view> in_use;
  for (const auto& [id, job] : jobs.active()) {
    in_use.insert(job->spec.queue_id());
  }
  for (const std::string& id : changed) {
    if (in_use.contains(id)) {
      m_to_store.insert(id);
    }
  }
}

void QueueTable::AddUnconfigured(const QueueConfig& queue) {
  const auto [it, added] = m_queues.try_emplace(queue.id());
  if (added) {
    SetNewest(queue, &it->second);
  }
}

void QueueTable::Load(const QueueRecord& record) {
  const auto [it, added] = m_queues.try_emplace(record.queue.id());
  Queue& queue = it->second;
  if (added) {
    queue.newest = record.queue;
  }
  queue.used = record.queue;
  queue.pools = record.pools;
  queue.stored = true;
  queue.former_key_name = record.former_key_name;
}

void QueueTable::Use(const std::string& id) {
  if (!m_queues.at(id).recorded()) {
    m_to_store.insert(id);
  }
}

const QueueConfig& QueueTable::Used(std::string_view id) const {
  return m_queues.find(id)->second.used;
}

bool QueueTable::HasRecord(std::string_view id) const {
  const Queue* queue = Find(id);
  return queue != nullptr && queue->stored;
}

bool QueueTable::IsRecorded(std::string_view id, std::span<const QueueRecord> being_stored) const {
  const Queue* queue = Find(id);
  if (queue == nullptr) {
    return false;
  }
  return queue->recorded() ||
         std::any_of(being_stored.begin(), being_stored.end(), [&](const QueueRecord& record) {
           return record.queue.id() == id && !record.remove &&
                  RunsJobsAlike(record.queue, queue->newest);
         });
}

bool QueueTable::MayRunIn(std::string_view id, std::string_view pool) const {
  const Queue* queue = Find(id);
  if (queue == nullptr) {
    return true;
  }
  // A daemon of an earlier version, which writes no records, may have started tasks in the newest
  // pool.
  return queue->newest.pool == pool || queue->used.pool == pool || queue->pools.contains(pool);
}

std::vector<QueueRecord> QueueTable::Collect(std::size_t max, const JobTable& jobs) {
  std::vector<QueueRecord> records;
  if (m_to_store.empty()) {
    return records;
  }
  const std::map<std::string_view, QueueUse> uses = QueuesInUse(jobs);
  for (auto it = m_to_store.begin(); it != m_to_store.end() && records.size() < max;) {
    Queue& queue = m_queues.at(*it);
    if (queue.being_stored) {
      ++it;
      continue;
    }
    const auto use = uses.find(*it);
    QueueRecord record;
    record.queue = queue.newest;
    record.former_key_name = queue.former_key_name;
    record.pools.insert(queue.newest.pool);
    record.remove = use == uses.end();
    if (use != uses.end() && use->second.has_stored_job) {
      record.pools.insert(queue.pools.begin(), queue.pools.end());
      record.pools.insert(use->second.accepted_pools.begin(), use->second.accepted_pools.end());
    }
    it = m_to_store.erase(it);
    const bool needed = record.remove ? queue.stored && !queue.configured : !queue.recorded();
    if (needed) {
      queue.being_stored = true;
      queue.stored = queue.stored && !record.remove;  // A new job waits for a record again.
      records.push_back(std::move(record));
    }
  }
  return records;
}

void QueueTable::Release(std::span<const QueueRecord> records) {
  for (const QueueRecord& record : records) {
    Queue& queue = m_queues.at(record.queue.id());
    queue.being_stored = false;
    queue.stored = queue.stored || record.remove;
    m_to_store.insert(record.queue.id());
  }
}

void QueueTable::OnStored(std::span<const QueueRecord> records) {
  for (const QueueRecord& record : records) {
    Queue& queue = m_queues.at(record.queue.id());
    queue.being_stored = false;
    queue.stored = !record.remove;
    queue.used = record.queue;
    queue.pools = record.pools;
    queue.former_key_name.clear();
    LogLine(LogLevel::kInfo, record.remove ? "queue_record_removed" : "queue_recorded")
        .Field("queue", record.queue.name)
        .Field("pool", record.queue.pool)
        .Field("pools", record.pools.size())
        .Field("attempts", record.queue.max_attempts);
    if (!queue.recorded()) {
      m_to_store.insert(record.queue.id());  // A newer change, or a job that has come meanwhile.
    }
  }
}

void QueueTable::FindOutdated(const JobTable& jobs) {
  std::vector<std::string_view> removed;
  for (const auto& [id, queue] : m_queues) {
    if (queue.stored && !queue.configured && !queue.being_stored) {
      removed.push_back(id);
    }
  }
  if (removed.empty()) {
    return;
  }
  const std::map<std::string_view, QueueUse> uses = QueuesInUse(jobs);
  for (const std::string_view id : removed) {
    if (!uses.contains(id)) {
      m_to_store.emplace(id);
    }
  }
}

}  // namespace cranberryplank
