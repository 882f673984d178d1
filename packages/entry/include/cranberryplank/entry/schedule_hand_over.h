#ifndef CRANBERRYPLANK_ENTRY_SCHEDULE_HAND_OVER_H_
#define CRANBERRYPLANK_ENTRY_SCHEDULE_HAND_OVER_H_

#include <string>
#include <utility>

#include "cranberryplank/entry/daemon_peers.h"
#include "cranberryplank/entry/owner_client.h"
#include "cranberryplank/entry/schedule_ownership.h"

namespace cranberryplank {

/// Hands the schedule over to another daemon while this daemon stops. It asks one daemon after the
/// other to take over, and acts as the owner again if all of them refuse.
class ScheduleHandOver {
 public:
  /// @param self address at which this daemon accepts calls
  ScheduleHandOver(ScheduleOwnership* ownership, OwnerClient* owner_client, DaemonPeers* peers,
                   std::string self)
      : m_ownership(ownership),
        m_owner_client(owner_client),
        m_peers(peers),
        m_self(std::move(self)) {}

  /// Asks the next daemon when it is time. Must be called regularly while this daemon stops.
  /// @param least_cores processing power that its VM must have, in cores of standard speed
  /// @param earlier_owners_act_for how much longer the owners before this daemon may act
  void Tick(TimePoint now, double least_cores, Duration earlier_owners_act_for);

 private:
  void OnReply(TimePoint now, const std::string& address, OwnerStatus status);

  ScheduleOwnership* m_ownership;
  OwnerClient* m_owner_client;
  DaemonPeers* m_peers;
  std::string m_self;
  TimePoint m_next_call{};
  int m_not_refused = 0;  ///< Calls after which a daemon may take over.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SCHEDULE_HAND_OVER_H_
