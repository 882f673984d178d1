#include "cranberryplank/support/loop_scheduler.h"

#include <event2/event.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace cranberryplank {

struct LoopScheduler::Timer {
  LoopScheduler* scheduler;
  TimePoint when;
  Action action;
  event* timer;

  void Arm() const {
    const auto wait = std::chrono::ceil<std::chrono::microseconds>(
        std::max(when - Clock::now(), Clock::duration::zero()));
    const timeval delay{wait.count() / 1'000'000, wait.count() % 1'000'000};
    evtimer_add(timer, &delay);
  }
};

LoopScheduler::~LoopScheduler() {
  for (Timer* timer : m_timers) {
    event_free(timer->timer);
    delete timer;
  }
}

void LoopScheduler::Schedule(TimePoint when, Action action) {
  auto timer = std::make_unique<Timer>(Timer{this, when, std::move(action), nullptr});
  timer->timer = evtimer_new(m_base, OnTimer, timer.get());
  timer->Arm();
  m_timers.insert(timer.release());
}

void LoopScheduler::OnTimer(int, short, void* argument) {  // NOLINT(google-runtime-int)
  auto* pending = static_cast<Timer*>(argument);
  // libevent measures from the start of the loop iteration, so a timer can fire early.
  if (Clock::now() < pending->when) {
    pending->Arm();
    return;
  }
  const std::unique_ptr<Timer> timer(pending);
  timer->scheduler->m_timers.erase(timer.get());
  event_free(timer->timer);
  timer->action(Clock::now());
}

}  // namespace cranberryplank
