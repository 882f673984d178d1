#include "cranberryplank/support/event_queue.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

void EventQueue::Schedule(TimePoint when, Action action) {
  m_events.emplace(std::max(when, m_now), std::move(action));
}

void EventQueue::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.begin()->first <= end) {
    RunNext();
  }
  m_now = std::max(m_now, end);
}

bool EventQueue::RunNext() {
  if (m_events.empty()) {
    return false;
  }
  auto event = m_events.extract(m_events.begin());
  m_now = event.key();
  event.mapped()(m_now);
  return true;
}

}  // namespace cranberryplank
