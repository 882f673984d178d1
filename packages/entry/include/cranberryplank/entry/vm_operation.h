#ifndef CRANBERRYPLANK_ENTRY_VM_OPERATION_H_
#define CRANBERRYPLANK_ENTRY_VM_OPERATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cranberryplank/entry/vm_control.h"
#include "cranberryplank/scheduler/zone_evacuation.h"

namespace cranberryplank {

/// A move or an upkeep of one VM, from the begin of vacating it until it is back.
struct VmOperation {
  enum class Phase { kVacating, kOrdering, kAway };

  bool upkeep = false;
  std::int64_t wave = 0;
  std::string pool;  ///< Target of a move.
  std::string worker;
  bool lets_tasks_end = false;  ///< No batch task is stopped for the move.
  Phase phase = Phase::kVacating;
  TimePoint since{};
  TimePoint retry_at{};
  TimePoint away_until{};
  bool in_flight = false;
  bool uncertain = false;  ///< An order got no answer. It is retried until it gets one.
  std::uint64_t token = 0;
};

/// Operations, by VM.
using VmOperations = std::map<std::string, VmOperation>;

/// Returns until when a VM counts as away after an order to it was executed.
/// @param expected expected duration of the operation
TimePoint AwayUntil(TimePoint now, Duration expected);

/// Returns whether an operation has ended: vacating the VM took too long, or the VM is back.
/// @param list_sent when the newest list of VMs was requested
/// @param listed the VM in that list; nullptr if it is not listed
bool HasEnded(const VmOperation& operation, TimePoint now, TimePoint list_sent,
              const ListedVm* listed);

/// Returns the time after which short tasks on a VM that is being vacated are stopped.
Duration VacateBound(const VmOperation& operation);

/// Returns the number of VMs that are unavailable for a wave: those of its own operations, and
/// those in upkeep that an earlier owner ordered.
int AwayForWave(std::int64_t wave, const VmOperations& operations,
                const std::map<std::string, ListedVm>& vms);

/// VMs that pools have, or will have once the moves in progress have ended.
struct PoolSizes {
  std::map<std::string, int> vms;  ///< By pool.
  std::size_t moving = 0;          ///< VMs that are being moved, or vacated for it.
};

/// Counts the VMs of each pool that are available for work.
/// @param is_standby returns whether a pool is a standby pool
/// @param evacuated zones whose VMs are not available
PoolSizes CountPoolSizes(const std::map<std::string, ListedVm>& vms, const VmOperations& operations,
                         const std::function<bool(const std::string& pool)>& is_standby,
                         const ZoneEvacuation& evacuated = {});

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_VM_OPERATION_H_
