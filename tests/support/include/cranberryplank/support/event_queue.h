#ifndef CRANBERRYPLANK_SUPPORT_EVENT_QUEUE_H_
#define CRANBERRYPLANK_SUPPORT_EVENT_QUEUE_H_

#include <cstddef>
#include <map>

#include "cranberryplank/support/scheduler.h"

namespace cranberryplank {

/// Simulated clock with an event queue. Time advances only in RunUntil and RunNext.
class EventQueue : public Scheduler {
 public:
  /// The clock starts well after the epoch, so that subtracting a duration cannot underflow.
  explicit EventQueue(TimePoint start = TimePoint(std::chrono::hours(1))) : m_now(start) {}

  TimePoint Now() const override { return m_now; }

  /// Events of the same time run in the order in which they were scheduled.
  void Schedule(TimePoint when, Action action) override;

  /// Runs every event up to and including `end` and advances the clock to `end`.
  void RunUntil(TimePoint end);

  /// Runs every event within the next `duration` and advances the clock by it.
  void RunFor(Duration duration) { RunUntil(m_now + duration); }

  /// Runs the next event. @return false if there is none.
  bool RunNext();

  /// Time of the next event, or TimePoint::max() if the queue is empty.
  TimePoint NextTime() const {
    return m_events.empty() ? TimePoint::max() : m_events.begin()->first;
  }

  /// Number of pending events.
  std::size_t size() const { return m_events.size(); }

 private:
  TimePoint m_now;
  std::multimap<TimePoint, Action> m_events;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_EVENT_QUEUE_H_
