#ifndef CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_
#define CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_

#include <string_view>
#include <vector>

#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/daemon/task_runner.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Shares the workers that fail what others complete with the other daemons.
class SuspectExchange {
 public:
  /// Both arguments must outlive this object.
  SuspectExchange(TaskRunner* runner, const PeerTable* peers) : m_runner(runner), m_peers(peers) {}

  /// Takes over the workers that failed at the sender of a heartbeat.
  void Take(TimePoint now, const Heartbeat& beat);

  /// Suspects for the heartbeat. If there are too many, the quarantined ones come first, then those
  /// that failed here.
  std::vector<SuspectVm> Report(TimePoint now) const;

  /// Tells whether one daemon holds a worker in quarantine and most daemons heard of suspect it.
  /// Waiting for most of them to hold it in quarantine would leave it counted as capacity of a pool
  /// with little load.
  bool OutOfService(TimePoint now, std::string_view vm) const;

 private:
  TaskRunner* m_runner;
  const PeerTable* m_peers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_
