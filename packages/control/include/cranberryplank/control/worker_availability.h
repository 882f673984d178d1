#ifndef CRANBERRYPLANK_CONTROL_WORKER_AVAILABILITY_H_
#define CRANBERRYPLANK_CONTROL_WORKER_AVAILABILITY_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/platform/vm_list_reader.h"
#include "cranberryplank/platform/worker_client.h"

namespace cranberryplank {

/// Settings of a WorkerAvailability.
struct AvailabilityOptions {
  Duration max_list_age{2'000};    ///< Oldest VM list that a decision may rest on.
  Duration max_answer_age{5'000};  ///< A worker that did not answer for this long is down.
  int probes_per_tick = 20;
};

/// Which VMs are down, from the VM list and the answers of their workers.
class WorkerAvailability : public sigc::trackable {
 public:
  /// @param vm_list list of workers; other users may share it
  WorkerAvailability(VmListReader* vm_list, WorkerClient* workers,
                     const AvailabilityOptions& options);

  /// Allows the next probes.
  void Tick() { m_probes_left = m_options.probes_per_tick; }

  /// Takes note of an answer of a worker, from any probe.
  void Observe(TimePoint now, std::string_view vm);

  /// Probes the workers of a pool that were not heard of lately.
  void Probe(TimePoint now, const Fleet& fleet, std::string_view pool);

  /// Tells whether the VM list is recent enough, and confirms it if it is about to be too old.
  bool IsListCurrent(TimePoint now);

  bool IsDown(TimePoint now, const Vm& vm) const;

 private:
  struct Observation {
    std::optional<TimePoint> answered;
    bool probing = false;
    TimePoint probed;
  };

  void OnVmListRead(bool changed);

  VmListReader* m_vm_list;
  WorkerClient* m_workers;
  AvailabilityOptions m_options;
  std::map<std::string, Observation, std::less<>> m_observed;
  std::set<std::string, std::less<>> m_listed;  ///< VMs listed as live and not leaving.
  int m_probes_left = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_WORKER_AVAILABILITY_H_
