#ifndef CRANBERRYPLANK_CONTROL_FRESHNESS_TRACKER_H_
#define CRANBERRYPLANK_CONTROL_FRESHNESS_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/model/head.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Computes until when this daemon may dispatch, from store reads and from echoes of its
/// heartbeats.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(std::string incarnation);

  void HeartbeatSent(TimePoint now, const std::string& peer, std::uint64_t sequence);

  /// Counts the echo in a peer's heartbeat as a confirmation at the send time of the echoed
  /// heartbeat.
  void HeartbeatReceived(const std::string& peer, const Heartbeat& heartbeat);

  /// Records that a store read sent at `sent` returned `revision`.
  void StoreRead(TimePoint sent, std::uint64_t revision);

  /// Sets the held head to `head` and removes peers that it does not list.
  void Applied(const Head& head);

  /// Returns whether this daemon is registered and more than half of the registered daemons
  /// confirmed `head` so recently that store reads can start again before `kFreshness` ends.
  bool PeersConfirm(TimePoint now, const Head& head) const;

  /// Newest time at which the store is known to have held nothing newer than the held head.
  std::optional<TimePoint> StoreConfirmedAt() const { return m_store.confirmed; }

  /// Newest time at which `peer` is known to have been alive. For a peer that is not registered,
  /// only answers to heartbeats sent since the last call of `Applied` count.
  std::optional<TimePoint> LastAliveAt(std::string_view peer) const;

  /// Returns until when this daemon may dispatch on `head`, or nothing with `last_reason` set.
  std::optional<TimePoint> FreshUntil(TimePoint now, const Head& head,
                                      std::string* last_reason) const;

 private:
  struct SentHeartbeat {
    std::uint64_t sequence = 0;
    TimePoint sent;
  };

  /// Times at which one source knew no revision newer than the one held.
  struct Confirmation {
    std::optional<TimePoint> confirmed;
    std::optional<TimePoint> ahead;  ///< Time at which the source already knew `ahead_revision`.
    std::uint64_t ahead_revision = 0;

    void Record(TimePoint time, std::uint64_t revision, std::uint64_t held);
    void Applied(std::uint64_t held);
  };

  struct Peer {
    std::deque<SentHeartbeat> sent;
    std::optional<TimePoint> last_alive;
    Confirmation confirmation;
  };

  std::optional<TimePoint> MajorityConfirmed(TimePoint now, const Head& head) const;

  std::string m_incarnation;
  std::uint64_t m_held = 0;
  Confirmation m_store;
  std::map<std::string, Peer, std::less<>> m_peers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_FRESHNESS_TRACKER_H_
