#ifndef CRANBERRYPLANK_SUPPORT_MEMORY_PEER_NETWORK_H_
#define CRANBERRYPLANK_SUPPORT_MEMORY_PEER_NETWORK_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

class MemoryPeerLinks;

/// Simulated network between MemoryPeerLinks with explicit time and fault injection. Messages pass
/// through the real codec. Must outlive its links and all actions that it has scheduled.
class MemoryPeerNetwork {
 public:
  using Action = std::function<void(TimePoint now)>;
  using Schedule = std::function<void(TimePoint at, Action action)>;
  using TimeSource = std::function<TimePoint()>;

  /// Interval between connection attempts.
  static constexpr Duration kRetryInterval{200};
  /// A link that is cut in either direction for this long breaks, like a TCP user timeout.
  static constexpr Duration kLostAfter{5'000};

  /// @param schedule runs an action at a given time, never from inside the call; actions of equal
  ///                 time run in the order of the calls
  /// @param time_source returns the current time of the same queue
  MemoryPeerNetwork(Schedule schedule, TimeSource time_source, RandomSource* random);

  /// Sets the range of message delays from one incarnation to another; messages stay in order.
  void SetDelay(const std::string& from, const std::string& to, Duration shortest,
                Duration longest);

  /// Sets the fraction of messages lost from one incarnation to another.
  void SetLoss(const std::string& from, const std::string& to, double fraction);

  /// Drops all messages from `from` to `to`, including those in flight.
  void Partition(const std::string& from, const std::string& to);
  void PartitionBoth(const std::string& a, const std::string& b);
  void Heal(const std::string& from, const std::string& to);
  void HealBoth(const std::string& a, const std::string& b);

  /// Breaks the link of a pair. A side that still lists the other as a peer reconnects immediately.
  void BreakLink(const std::string& a, const std::string& b);

  /// Holds back messages to `incarnation` until Resume(), which delivers them in order.
  void Pause(const std::string& incarnation);
  void Resume(const std::string& incarnation);

 private:
  friend class MemoryPeerLinks;

  using Pair = std::pair<std::string, std::string>;

  struct InFlight {
    TimePoint at;
    std::string payload;
  };

  struct Direction {
    Duration shortest{0};
    Duration longest{0};
    double loss = 0;
    std::optional<TimePoint> cut_since;
    TimePoint last_arrival;
    std::deque<InFlight> messages;
  };

  struct Endpoint {
    MemoryPeerLinks* links = nullptr;
    bool paused = false;
    std::deque<Action> waiting;  ///< Deliveries held back during a pause.
  };

  static Pair Unordered(const std::string& a, const std::string& b);

  void Add(MemoryPeerLinks* links);
  void Remove(const std::string& incarnation);
  void RequestLink(const std::string& from, const std::string& to);
  bool IsUp(const std::string& a, const std::string& b) const;
  bool Send(const std::string& from, const std::string& to, std::string payload);
  void TryConnect(const std::string& from, const std::string& to);
  bool CanConnect(const std::string& from, const std::string& to);
  bool IsCut(const std::string& a, const std::string& b);
  void Deliver(const std::string& from, const std::string& to, TimePoint now);
  void Dispatch(const std::string& incarnation,
                std::function<void(MemoryPeerLinks*, TimePoint)> emit);
  void RunDeferred(const std::string& incarnation, TimePoint now);
  void BreakIfStillCut(const std::string& a, const std::string& b, TimePoint now);

  Schedule m_schedule;
  TimeSource m_time_source;
  RandomSource* m_random;
  std::map<std::string, Endpoint> m_endpoints;
  std::map<Pair, Direction> m_directions;
  std::set<Pair> m_up;
  std::set<Pair> m_trying;  ///< Sender and receiver of scheduled connection attempts.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_MEMORY_PEER_NETWORK_H_
