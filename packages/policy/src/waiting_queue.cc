#include "cranberryplank/policy/waiting_queue.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

std::string_view ToString(PushResult result) {
  switch (result) {
    case PushResult::kQueued:
      return "queued";
    case PushResult::kFull:
      return "queue_full";
    case PushResult::kDuplicate:
      return "duplicate_task_id";
    case PushResult::kExpired:
      return "deadline_passed";
  }
  return "unknown";
}

PushResult WaitingQueue::Push(TimePoint now, WaitingRequest request, int max_waiting) {
  if (request.deadline <= now) {
    return PushResult::kExpired;
  }
  if (m_entries.contains(request.task_id)) {
    return PushResult::kDuplicate;
  }
  if (Waiting(request.queue) >= max_waiting) {
    return PushResult::kFull;
  }
  const std::uint64_t sequence = m_next_sequence++;
  const std::string task_id = request.task_id;
  Entry& entry = m_entries[task_id];
  entry.request = std::move(request);
  const WaitingRequest& stored = entry.request;
  entry.team_queue = m_team_queues.try_emplace(TeamQueueKey{stored.queue, stored.team}).first;
  TeamQueue& team_queue = entry.team_queue->second;
  entry.rank =
      team_queue.by_rank.emplace(Rank{!stored.urgent, stored.deadline, sequence}, &entry).first;
  entry.age = team_queue.by_age.insert(TimeOrder{stored.enqueued, sequence}).first;
  entry.expiry = m_by_deadline.emplace(TimeOrder{stored.deadline, sequence}, &entry).first;
  entry.key = m_by_key[stored.key_digest].emplace(sequence, &entry).first;
  ++m_queue_sizes[stored.queue];
  return PushResult::kQueued;
}

WaitingRequest WaitingQueue::Remove(Entry* entry) {
  WaitingRequest request = std::move(entry->request);
  TeamQueue& team_queue = entry->team_queue->second;
  team_queue.by_rank.erase(entry->rank);
  team_queue.by_age.erase(entry->age);
  if (team_queue.by_rank.empty()) {
    m_team_queues.erase(entry->team_queue);
  }
  m_by_deadline.erase(entry->expiry);
  const auto keyed = m_by_key.find(request.key_digest);
  keyed->second.erase(entry->key);
  if (keyed->second.empty()) {
    m_by_key.erase(keyed);
  }
  const auto queue_size = m_queue_sizes.find(request.queue);
  if (--queue_size->second == 0) {
    m_queue_sizes.erase(queue_size);
  }
  m_entries.erase(request.task_id);
  return request;
}

const WaitingQueue::TeamQueue* WaitingQueue::FindTeamQueue(std::string_view queue,
                                                           std::string_view team) const {
  const auto found = m_team_queues.find(TeamQueueKey{std::string(queue), std::string(team)});
  return found == m_team_queues.end() ? nullptr : &found->second;
}

const WaitingRequest* WaitingQueue::Peek(TimePoint now, std::span<const std::string> queues,
                                         std::string_view team) const {
  const std::pair<const Rank, Entry*>* best = nullptr;
  for (const std::string& queue : queues) {
    const TeamQueue* team_queue = FindTeamQueue(queue, team);
    if (team_queue == nullptr) {
      continue;
    }
    // In both the urgent and the ordinary section, expired requests sort before the others.
    for (const bool ordinary : {false, true}) {
      const auto first = team_queue->by_rank.upper_bound(Rank{ordinary, now, UINT64_MAX});
      if (first != team_queue->by_rank.end() && first->first.ordinary == ordinary &&
          (best == nullptr || first->first < best->first)) {
        best = &*first;
      }
    }
  }
  return best == nullptr ? nullptr : &best->second->request;
}

std::optional<WaitingRequest> WaitingQueue::TakeNext(TimePoint now,
                                                     std::span<const std::string> queues,
                                                     std::string_view team) {
  const WaitingRequest* next = Peek(now, queues, team);
  if (next == nullptr) {
    return std::nullopt;
  }
  return Take(next->task_id);
}

std::optional<WaitingRequest> WaitingQueue::Take(std::string_view task_id) {
  const auto found = m_entries.find(std::string(task_id));
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return Remove(&found->second);
}

std::vector<WaitingRequest> WaitingQueue::TakeExpired(TimePoint now) {
  std::vector<WaitingRequest> expired;
  while (!m_by_deadline.empty() && m_by_deadline.begin()->first.time <= now) {
    expired.push_back(Remove(m_by_deadline.begin()->second));
  }
  return expired;
}

std::vector<WaitingRequest> WaitingQueue::TakeByKey(std::string_view key_digest) {
  std::vector<WaitingRequest> taken;
  const auto found = m_by_key.find(std::string(key_digest));
  if (found == m_by_key.end()) {
    return taken;
  }
  std::vector<Entry*> entries;
  for (const auto& [sequence, entry] : found->second) {
    entries.push_back(entry);
  }
  for (Entry* entry : entries) {
    taken.push_back(Remove(entry));
  }
  return taken;
}

std::vector<WaitingRequest> WaitingQueue::TakeAll() {
  std::vector<WaitingRequest> taken;
  while (!m_by_deadline.empty()) {
    taken.push_back(Remove(m_by_deadline.begin()->second));
  }
  return taken;
}

std::optional<TimePoint> WaitingQueue::NextExpiry() const {
  if (m_by_deadline.empty()) {
    return std::nullopt;
  }
  return m_by_deadline.begin()->first.time;
}

int WaitingQueue::Waiting(std::span<const std::string> queues, std::string_view team) const {
  std::size_t waiting = 0;
  for (const std::string& queue : queues) {
    const TeamQueue* team_queue = FindTeamQueue(queue, team);
    waiting += team_queue == nullptr ? 0 : team_queue->by_rank.size();
  }
  return static_cast<int>(waiting);
}

int WaitingQueue::Waiting(std::string_view queue) const {
  const auto found = m_queue_sizes.find(std::string(queue));
  return found == m_queue_sizes.end() ? 0 : found->second;
}

std::optional<TimePoint> WaitingQueue::Oldest(std::span<const std::string> queues,
                                              std::string_view team) const {
  std::optional<TimePoint> oldest;
  for (const std::string& queue : queues) {
    const TeamQueue* team_queue = FindTeamQueue(queue, team);
    if (team_queue != nullptr && (!oldest || team_queue->by_age.begin()->time < *oldest)) {
      oldest = team_queue->by_age.begin()->time;
    }
  }
  return oldest;
}

std::vector<std::string> WaitingQueue::Teams(std::span<const std::string> queues) const {
  std::set<std::string> teams;
  for (const std::string& queue : queues) {
    for (auto team_queue = m_team_queues.lower_bound(TeamQueueKey{queue, ""});
         team_queue != m_team_queues.end() && team_queue->first.queue == queue; ++team_queue) {
      teams.insert(team_queue->first.team);
    }
  }
  return {teams.begin(), teams.end()};
}

}  // namespace cranberryplank
