#ifndef CRANBERRYPLANK_ENTRY_PAUSE_MONITOR_H_
#define CRANBERRYPLANK_ENTRY_PAUSE_MONITOR_H_

#include <optional>

#include "cranberryplank/entry/cancelled_jobs.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Notices that the process did not run for a long time, as a frozen VM does not. What it reads
/// then may have been sent at any time since. A submission that lay unread may be older than its
/// job's cancelling, and cancellings are remembered for a limited time. So after a long pause
/// submissions are refused; shorter pauses, even of two daemons on its way, are within that time.
class PauseMonitor {
 public:
  /// Shortest pause after which submissions are refused.
  static constexpr Duration kLongPause = CancelledJobs::kLeastTime / 3;
  /// Time in which a process that runs again reads what was sent during the pause.
  static constexpr Duration kCatchUp{2'000};

  /// Must be called at least each second, and before each request is handled.
  void Observe(TimePoint now) {
    if (m_observed && now - *m_observed >= kLongPause) {
      m_resumed = now;
    }
    m_observed = now;
  }
  /// Returns whether a request that is read now may have been sent before a long pause.
  bool MayReadOldRequests(TimePoint now) const { return m_resumed && now - *m_resumed < kCatchUp; }

 private:
  std::optional<TimePoint> m_observed;  ///< Last call of `Observe`.
  std::optional<TimePoint> m_resumed;   ///< End of the last long pause.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_PAUSE_MONITOR_H_
