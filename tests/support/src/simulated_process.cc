#include "cranberryplank/support/simulated_process.h"

#include <utility>

namespace cranberryplank {

SimulatedProcess::SimulatedProcess(Scheduler* scheduler)
    : m_scheduler(scheduler), m_state(std::make_shared<State>()) {}

SimulatedProcess::~SimulatedProcess() { Kill(); }

void SimulatedProcess::Schedule(TimePoint when, Action action) {
  m_scheduler->Schedule(when, [state = m_state, action = std::move(action)](TimePoint now) {
    if (state->killed) {
      return;
    }
    if (state->paused) {
      state->held.push_back(action);
      return;
    }
    action(now);
  });
}

void SimulatedProcess::Pause() { m_state->paused = true; }

void SimulatedProcess::Resume() {
  m_state->paused = false;
  for (Action& action : std::exchange(m_state->held, {})) {
    Schedule(Now(), std::move(action));
  }
}

void SimulatedProcess::Kill() {
  m_state->killed = true;
  m_state->held.clear();
}

}  // namespace cranberryplank
