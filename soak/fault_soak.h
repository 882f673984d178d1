#ifndef SOAK_FAULT_SOAK_H_
#define SOAK_FAULT_SOAK_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/support/event_loop.h"
#include "daemon_process.h"
#include "emulated_store.h"
#include "emulated_workers.h"
#include "job_load.h"
#include "simulated_workers.h"

namespace cranberryplank {

struct SoakSettings {
  std::string daemon;  ///< Path of the daemon's executable.
  std::string folder;  ///< Directory for settings and logs.
  std::uint64_t seed = 1;
  std::chrono::seconds duration{20};  ///< Length of the fault phase; a recovery phase follows.
};

/// Runs real daemons against an emulated platform and callers on loopback and injects overlapping
/// faults.
class FaultSoak {
 public:
  explicit FaultSoak(const SoakSettings& settings);

  /// Prints each violated guarantee. @return whether there was none
  bool Run();

 private:
  void StartAll();
  void Tick(TimePoint now);
  void InjectFault(TimePoint now);
  void InjectDaemonFault(TimePoint now, std::size_t number);
  /// Signals a daemon in a way that excuses unanswered calls.
  void Disrupt(std::size_t number, int signal);
  /// Terminates daemons as for their replacement, or reloads their settings.
  void DoPlannedWork(TimePoint now);
  void InjectStoreFault(TimePoint now);
  void InjectWorkerFault(TimePoint now);
  /// Lets a worker drain and end, after a disruption of the watches or an odd entry among the
  /// registrations.
  void DrainWorker(TimePoint now);
  void WriteOddRegistration(TimePoint now);
  void ScheduleAction(TimePoint when, std::function<void()> action);
  void Log(TimePoint now, const std::string& text) const;
  void RestartStoppedDaemons(TimePoint now);
  bool Report() const;

  SoakSettings m_settings;
  SeededRandom m_random;  ///< Used for faults only, so that a seed reproduces them.
  SeededRandom m_load_random;
  SeededRandom m_planned_random;  ///< Used for planned work only.
  SeededRandom m_drain_random;    ///< Used for draining workers only.
  SeededRandom m_store_random;
  EventLoop m_loop;
  SimulatedWorkers m_workers;
  EmulatedStore m_store;
  EmulatedWorkers m_worker_servers;
  std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
  std::unique_ptr<JobLoad> m_load;
  std::multimap<TimePoint, std::function<void()>> m_actions;
  std::vector<TimePoint> m_restart_at;
  TimePoint m_start_time{};
  TimePoint m_next_fault{};
  TimePoint m_next_planned{};
  int m_drains = 0;
  TimePoint m_next_drain{};
  TimePoint m_next_version{};
  std::uint64_t m_version = 0;  ///< Of the configuration.
  TimePoint m_next_job{};
  bool m_faults_ended = false;
};

}  // namespace cranberryplank

#endif  // SOAK_FAULT_SOAK_H_
