#ifndef CRANBERRYPLANK_DAEMON_PEER_TABLE_H_
#define CRANBERRYPLANK_DAEMON_PEER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"
#include "cranberryplank/policy/share_allocator.h"

namespace cranberryplank {

/// What the other daemons reported in their newest heartbeats.
class PeerTable {
 public:
  /// Takes in a heartbeat, replacing what its sender reported before.
  void OnBeat(TimePoint now, const Heartbeat& beat);

  /// Forgets daemons that have not been heard of for a while.
  void Tick(TimePoint now);

  /// Demand of all peers on `pool`.
  std::vector<DaemonDemand> Demand(std::string_view pool) const;

  /// Tasks of `team` that peers run in pools other than `pool`.
  int RunningOutside(std::string_view pool, std::string_view team) const;

  /// Peers that reported a free slot of `team`, less the requests forwarded to them since.
  std::vector<SlotHolder> Holders(std::string_view team) const;

  /// Notes that a request of `team` was forwarded to `daemon`, which uses a free slot there.
  void UseSlot(std::string_view daemon, std::string_view team);

  /// VMs that a peer reported as leaving.
  std::set<std::string, std::less<>> Leaving() const;

  /// What peers report of one worker.
  struct Suspicion {
    int daemons = 0;           ///< Peers that suspect it.
    bool quarantined = false;  ///< A peer holds it in quarantine.
  };
  Suspicion SuspicionOf(std::string_view vm) const;

  /// Newest head revision that any peer has heard of; 0 if none was heard.
  std::uint64_t NewestRevision() const;

  /// Head revision applied by a peer and the time of its newest heartbeat.
  struct LastBeat {
    std::uint64_t revision = 0;
    TimePoint heard;
  };
  std::optional<LastBeat> LastBeatOf(std::string_view incarnation) const;

  /// Incarnations heard of recently.
  std::vector<std::string> Daemons() const;

 private:
  struct Peer {
    TimePoint heard;
    std::uint64_t revision = 0;
    std::uint64_t newest_revision = 0;
    std::vector<TeamDemand> demand;
    std::map<std::string, int, std::less<>> free_slots;
    std::vector<std::string> leaving;
    std::vector<SuspectVm> suspects;
  };

  std::map<std::string, Peer, std::less<>> m_peers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_PEER_TABLE_H_
