#ifndef CRANBERRYPLANK_SUPPORT_EVENT_LOOP_H_
#define CRANBERRYPLANK_SUPPORT_EVENT_LOOP_H_

#include <functional>

#include "cranberryplank/model/time.h"

struct event_base;

namespace cranberryplank {

/// Owns a libevent loop for tests and test programs.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  event_base* base() { return m_base; }

  /// Runs until `condition` is true, checked after each event. @return false if `limit` passed
  /// first
  bool RunUntil(const std::function<bool()>& condition, Duration limit = Duration(10'000));

  void RunFor(Duration duration) {
    RunUntil([] { return false; }, duration);
  }

 private:
  event_base* m_base;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_EVENT_LOOP_H_
