#ifndef CRANBERRYPLANK_ENTRY_DAEMON_PEERS_H_
#define CRANBERRYPLANK_ENTRY_DAEMON_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// The daemons that have called this one. They may take over the schedule from it.
class DaemonPeers {
 public:
  /// Records a call from another daemon, and forgets daemons that have not called for long.
  void RecordCall(TimePoint now, const OwnerCall& call);
  /// Forgets daemons that have not called recently, so that they cannot take over now.
  void ForgetSilent(TimePoint now);
  void Forget(const std::string& address) { m_peers.erase(address); }
  /// Keeps a daemon from being asked to take over before the given time.
  void AskAgainAt(const std::string& address, TimePoint time);

  /// Returns the address of the daemon on the strongest VM that may be asked to take over now, or
  /// nothing if there is none.
  /// @param least_cores processing power that its VM must have, in cores of standard speed
  std::optional<std::string> ChooseSuccessor(TimePoint now, double least_cores) const;
  /// Returns whether all daemons known read the progress log.
  bool AllReadProgressLog() const;
  /// Returns the processing power of the strongest VM among this one and those of the daemons that
  /// called recently, in cores of standard speed.
  /// @param own_cores that of this VM
  double StrongestCores(TimePoint now, double own_cores) const;
  /// Returns the time between two pings that each daemon is asked for, in milliseconds.
  std::int64_t PingIntervalMs() const;

 private:
  struct Peer {
    TimePoint last_call{};
    double cores = 0;
    int state_format = kSingleProgressFormat;
    TimePoint ask_again_at{};  ///< Before that, it is not asked again to take over.
  };

  std::map<std::string, Peer> m_peers;  ///< By address.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_DAEMON_PEERS_H_
