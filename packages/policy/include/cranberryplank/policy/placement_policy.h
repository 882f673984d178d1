#ifndef CRANBERRYPLANK_POLICY_PLACEMENT_POLICY_H_
#define CRANBERRYPLANK_POLICY_PLACEMENT_POLICY_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/model/vm.h"
#include "cranberryplank/policy/worker_health.h"

namespace cranberryplank {

/// State of a worker as known to this daemon.
struct WorkerView {
  const Vm* vm = nullptr;
  int running = 0;       ///< Estimated running tasks of all daemons.
  bool leaving = false;  ///< Takes no new work, according to the VM list, a peer or the worker.
};

/// Worker considered for a request.
struct PlacementCandidate {
  std::string vm;
  int free = 0;  ///< Estimated free slots minus penalty slots for recent failures.
};

/// Worker chosen for a request.
struct PlacementChoice {
  std::string vm;
  bool probe = false;  ///< The worker is quarantined and this request probes it.
  bool local_zone = false;
  std::string_view reason;
  std::vector<PlacementCandidate> alternatives;  ///< Other workers considered; for the log line.
};

/// Request to be placed on a worker.
struct PlacementRequest {
  std::string_view pool;
  std::string_view zone;   ///< Zone of this daemon.
  bool may_probe = false;  ///< The request is idempotent and its team has a retry left.
  std::span<const std::string> excluded;  ///< Workers that failed or refused this request already.
};

/// Returns the estimated free slots of a worker; 0 if it does not accept work of `pool`.
int FreeSlotsOf(TimePoint now, const WorkerView& worker, std::string_view pool,
                const WorkerHealth& health);

/// Chooses a worker for a request.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns nothing if no eligible worker of the pool has a free slot. The caller must call
  /// `WorkerHealth::BeginProbe` if the choice is a probe.
  virtual std::optional<PlacementChoice> Choose(TimePoint now, const PlacementRequest& request,
                                                std::span<const WorkerView> workers,
                                                const WorkerHealth& health,
                                                RandomSource& random) const = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_PLACEMENT_POLICY_H_
