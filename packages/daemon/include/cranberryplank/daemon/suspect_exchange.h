#ifndef CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_
#define CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_

#include <string_view>
#include <vector>

#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/daemon/task_runner.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Exchanges suspect workers, which fail tasks that other workers complete, with the other daemons.
class SuspectExchange {
 public:
  /// Both arguments must outlive this object.
  SuspectExchange(TaskRunner* runner, const PeerTable* peers) : m_runner(runner), m_peers(peers) {}

  /// Records the workers that failed tasks of the sender of a heartbeat.
  void Take(TimePoint now, const Heartbeat& beat);

  /// Returns the suspects for the heartbeat. If there are too many, quarantined workers take
  /// precedence, then workers that failed tasks of this daemon.
  std::vector<SuspectVm> Report(TimePoint now) const;

  /// Returns whether at least one daemon holds a worker in quarantine and most known daemons
  /// suspect it. Requiring quarantine at most daemons would keep counting the worker as capacity in
  /// a pool with little load.
  bool OutOfService(TimePoint now, std::string_view vm) const;

 private:
  TaskRunner* m_runner;
  const PeerTable* m_peers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_
