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
  Duration max_list_age{2'000};    ///< Decisions require a VM list no older than this.
  Duration max_answer_age{5'000};  ///< A worker without an answer for this long is down.
  int probes_per_tick = 20;
};

/// Determines which VMs are down from the VM list and the answers of their workers.
class WorkerAvailability : public sigc::trackable {
 public:
  /// @param vm_list reader of the VM list; may be shared
  WorkerAvailability(VmListReader* vm_list, WorkerClient* workers,
                     const AvailabilityOptions& options);

  /// Resets the number of probes allowed until the next tick.
  void Tick() { m_probes_left = m_options.probes_per_tick; }

  /// Records that a worker answered, whoever sent the probe.
  void Observe(TimePoint now, std::string_view vm);

  /// Probes the workers of a pool that have not answered recently.
  void Probe(TimePoint now, const Fleet& fleet, std::string_view pool);

  /// Returns whether the VM list is recent enough. Requests a refresh of a list that is older
  /// than half of `max_list_age`.
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
  std::set<std::string, std::less<>> m_listed;  ///< Listed VMs that are not leaving.
  int m_probes_left = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_WORKER_AVAILABILITY_H_
