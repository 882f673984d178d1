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

/// A worker as this daemon sees it.
struct WorkerView {
  const Vm* vm = nullptr;
  int running = 0;       ///< Estimated tasks of all daemons.
  bool leaving = false;  ///< By the VM list, a peer or its own answer.
};

/// Worker that was considered for a request.
struct PlacementCandidate {
  std::string vm;
  int free = 0;  ///< Estimated free slots, less penalties for recent failures.
};

/// Chosen worker.
struct PlacementChoice {
  std::string vm;
  bool probe = false;  ///< The worker is quarantined and this request probes it.
  bool local_zone = false;
  std::string_view reason;
  std::vector<PlacementCandidate> alternatives;  ///< For the log line.
};

/// What is to be placed.
struct PlacementRequest {
  std::string_view pool;
  std::string_view zone;                  ///< Zone of this daemon.
  bool may_probe = false;                 ///< Idempotent, and its team has a retry left.
  std::span<const std::string> excluded;  ///< Workers that failed or refused this request already.
};

/// Returns the estimated free slots of a worker; 0 if it may not take work of `pool`.
int FreeSlotsOf(TimePoint now, const WorkerView& worker, std::string_view pool,
                const WorkerHealth& health);

/// Chooses a worker for a request.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Returns nothing if no worker of the pool has a free slot. Call `WorkerHealth::BeginProbe` if
  /// the choice is a probe.
  virtual std::optional<PlacementChoice> Choose(TimePoint now, const PlacementRequest& request,
                                                std::span<const WorkerView> workers,
                                                const WorkerHealth& health,
                                                RandomSource& random) const = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_PLACEMENT_POLICY_H_
