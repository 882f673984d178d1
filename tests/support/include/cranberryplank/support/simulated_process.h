#ifndef CRANBERRYPLANK_SUPPORT_SIMULATED_PROCESS_H_
#define CRANBERRYPLANK_SUPPORT_SIMULATED_PROCESS_H_

#include <memory>
#include <vector>

#include "cranberryplank/support/scheduler.h"

namespace cranberryplank {

/// Scheduler of one process that can be paused and killed. Its clock advances during a pause.
class SimulatedProcess : public Scheduler {
 public:
  explicit SimulatedProcess(Scheduler* scheduler);
  SimulatedProcess(const SimulatedProcess&) = delete;
  SimulatedProcess& operator=(const SimulatedProcess&) = delete;

  /// Discards pending actions.
  ~SimulatedProcess() override;

  TimePoint Now() const override { return m_scheduler->Now(); }
  void Schedule(TimePoint when, Action action) override;

  /// Defers due actions until Resume.
  void Pause();
  void Resume();

  /// Discards all pending and future actions.
  void Kill();

  bool paused() const { return m_state->paused; }
  bool killed() const { return m_state->killed; }

 private:
  struct State {
    bool paused = false;
    bool killed = false;
    std::vector<Action> held;
  };

  Scheduler* m_scheduler;
  std::shared_ptr<State> m_state;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_SIMULATED_PROCESS_H_
