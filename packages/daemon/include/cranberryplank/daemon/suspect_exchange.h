#ifndef CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_
#define CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_

#include <vector>

#include "cranberryplank/daemon/task_runner.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Shares the workers that fail what others complete with the other daemons.
class SuspectExchange {
 public:
  /// The runner must outlive this object.
  explicit SuspectExchange(TaskRunner* runner) : m_runner(runner) {}

  /// Takes over the workers that failed at the sender of a heartbeat.
  void Take(TimePoint now, const Beat& beat);

  /// Suspects for the heartbeat. If there are too many, the quarantined ones come first, then those
  /// that failed here.
  std::vector<SuspectVm> Report(TimePoint now) const;

 private:
  TaskRunner* m_runner;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_SUSPECT_EXCHANGE_H_
