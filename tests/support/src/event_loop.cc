#include "cranberryplank/support/event_loop.h"

#include <event2/event.h>

namespace cranberryplank {

namespace {

void Ignore(int, short, void*) {}  // NOLINT(google-runtime-int): libevent's type

}  // namespace

EventLoop::EventLoop() : m_base(event_base_new()) {}

EventLoop::~EventLoop() { event_base_free(m_base); }

bool EventLoop::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = Clock::now() + limit;
  // Wakes the loop periodically, so that the limit applies even without other events.
  constexpr timeval kTick{0, 2'000};
  event* tick = event_new(m_base, -1, EV_PERSIST, Ignore, nullptr);
  event_add(tick, &kTick);
  bool met = condition();
  while (!met && Clock::now() < end) {
    event_base_loop(m_base, EVLOOP_ONCE);
    met = condition();
  }
  event_free(tick);
  return met;
}

}  // namespace cranberryplank
