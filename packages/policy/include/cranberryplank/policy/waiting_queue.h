#ifndef CRANBERRYPLANK_POLICY_WAITING_QUEUE_H_
#define CRANBERRYPLANK_POLICY_WAITING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Request waiting in a daemon. The daemon stores its body under `task_id`.
struct WaitingRequest {
  std::string task_id;  ///< Unique among the waiting requests.
  std::string queue;
  std::string team;
  std::string key_digest;  ///< Empty on queues that are open to all.
  bool urgent = false;
  TimePoint deadline;  ///< The request is not started at or after this time.
  TimePoint enqueued;
};

/// Outcome of adding a request to a `WaitingQueue`.
enum class PushResult {
  kQueued,
  kFull,       ///< The queue holds its maximum number of requests.
  kDuplicate,  ///< A request with this task id is already waiting.
  kExpired,    ///< The deadline has passed.
};

std::string_view ToString(PushResult result);

/// Waiting requests of all queues of one daemon. Within a team, urgent requests come first, then
/// the earliest deadline. Each request is removed exactly once, by one of the Take functions.
class WaitingQueue {
 public:
  /// Adds a request. `max_waiting` is the size limit of its queue. Expired requests count against
  /// the limit until they are removed, so call `TakeExpired` first.
  PushResult Push(TimePoint now, WaitingRequest request, int max_waiting);

  /// Removes and returns the next request of `team` in any of `queues`; never an expired one.
  std::optional<WaitingRequest> TakeNext(TimePoint now, std::span<const std::string> queues,
                                         std::string_view team);

  /// Removes and returns the request with this task id, for a cancellation.
  std::optional<WaitingRequest> Take(std::string_view task_id);

  /// Removes and returns all requests whose deadline has passed, in deadline order.
  std::vector<WaitingRequest> TakeExpired(TimePoint now);

  /// Removes and returns all requests that were submitted with this key.
  std::vector<WaitingRequest> TakeByKey(std::string_view key_digest);

  /// Removes and returns all requests, for a shutdown.
  std::vector<WaitingRequest> TakeAll();

  /// Returns the request that `TakeNext` would return, or nullptr.
  const WaitingRequest* Peek(TimePoint now, std::span<const std::string> queues,
                             std::string_view team) const;

  /// Returns the time at which the first request expires, for the timer that calls `TakeExpired`.
  std::optional<TimePoint> NextExpiry() const;

  /// Returns the number of requests of `team` in `queues`.
  int Waiting(std::span<const std::string> queues, std::string_view team) const;

  /// Returns the number of requests in `queue`.
  int Waiting(std::string_view queue) const;

  /// Returns the enqueue time of the oldest request of `team` in `queues`, for arrival order.
  std::optional<TimePoint> Oldest(std::span<const std::string> queues, std::string_view team) const;

  /// Returns the teams with requests in `queues`, sorted by name, without duplicates.
  std::vector<std::string> Teams(std::span<const std::string> queues) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct TeamQueueKey {
    std::string queue;
    std::string team;
    bool operator<(const TeamQueueKey& other) const {
      return std::tie(queue, team) < std::tie(other.queue, other.team);
    }
  };
  struct Rank {
    bool ordinary = true;  // False for urgent requests, which sort first.
    TimePoint deadline;
    std::uint64_t sequence = 0;
    bool operator<(const Rank& other) const {
      return std::tie(ordinary, deadline, sequence) <
             std::tie(other.ordinary, other.deadline, other.sequence);
    }
  };
  struct TimeOrder {
    TimePoint time;
    std::uint64_t sequence = 0;
    bool operator<(const TimeOrder& other) const {
      return std::tie(time, sequence) < std::tie(other.time, other.sequence);
    }
  };
  struct Entry;
  struct TeamQueue {
    std::map<Rank, Entry*> by_rank;
    std::set<TimeOrder> by_age;
  };
  using TeamQueues = std::map<TeamQueueKey, TeamQueue>;
  // Holds iterators into every index, so that a removal needs no search.
  struct Entry {
    WaitingRequest request;
    TeamQueues::iterator team_queue;
    std::map<Rank, Entry*>::iterator rank;
    std::set<TimeOrder>::iterator age;
    std::map<TimeOrder, Entry*>::iterator expiry;
    std::map<std::uint64_t, Entry*>::iterator key;
  };

  const TeamQueue* FindTeamQueue(std::string_view queue, std::string_view team) const;
  WaitingRequest Remove(Entry* entry);

  std::uint64_t m_next_sequence = 0;
  std::unordered_map<std::string, Entry> m_entries;  // By task id.
  TeamQueues m_team_queues;
  std::map<TimeOrder, Entry*> m_by_deadline;
  std::unordered_map<std::string, std::map<std::uint64_t, Entry*>> m_by_key;
  std::unordered_map<std::string, int> m_queue_sizes;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_WAITING_QUEUE_H_
