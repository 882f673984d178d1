#ifndef CRANBERRYPLANK_SUPPORT_LOOP_SCHEDULER_H_
#define CRANBERRYPLANK_SUPPORT_LOOP_SCHEDULER_H_

#include <set>

#include "cranberryplank/support/scheduler.h"

struct event_base;

namespace cranberryplank {

/// Scheduler on a libevent loop and the real clock.
class LoopScheduler : public Scheduler {
 public:
  explicit LoopScheduler(event_base* base) : m_base(base) {}
  LoopScheduler(const LoopScheduler&) = delete;
  LoopScheduler& operator=(const LoopScheduler&) = delete;

  /// Discards pending actions.
  ~LoopScheduler() override;

  TimePoint Now() const override { return Clock::now(); }
  void Schedule(TimePoint when, Action action) override;

 private:
  struct Timer;

  static void OnTimer(int, short, void* argument);  // NOLINT(google-runtime-int): libevent's type

  event_base* m_base;
  std::set<Timer*> m_timers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_LOOP_SCHEDULER_H_
