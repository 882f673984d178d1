#ifndef CRANBERRYPLANK_ENTRY_VM_FLEET_H_
#define CRANBERRYPLANK_ENTRY_VM_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/upkeep_waves.h"
#include "cranberryplank/entry/vm_control.h"
#include "cranberryplank/entry/vm_inventory.h"
#include "cranberryplank/entry/vm_operation.h"
#include "cranberryplank/scheduler/scheduler.h"
#include "cranberryplank/scheduler/upkeep_planner.h"

namespace cranberryplank {

struct VmFleetSettings {
  std::string holder;  ///< Name of this daemon in orders to VMs.
  Duration machine_lease{3'000};
  Duration move_time{1'500};
  Duration upkeep_time{2'000};
  /// While the pools want more VMs than there are, they get shares of a fleet of at least this many
  /// VMs; 0 for none.
  int divide_from_vms = 0;
};

struct VmFleetParts {
  VmControl* machines = nullptr;
  StateWriter* writer = nullptr;
  const PlatformFormat* format = nullptr;
  ScheduleOwnership* ownership = nullptr;
  Scheduler* scheduler = nullptr;
};

/// Moves VMs between pools as the load requires, and takes them down for the operators' upkeep
/// waves. Each VM is vacated first: nothing new is started on it, short tasks end, and long-running
/// tasks are moved one by one. Used only by the owner of the schedule.
class VmFleet {
 public:
  VmFleet(const VmFleetParts& parts, const VmFleetSettings& settings, TimePoint begun);
  VmFleet(const VmFleet&) = delete;
  VmFleet& operator=(const VmFleet&) = delete;

  void SetSettings(const VmFleetSettings& settings) { m_settings = settings; }
  /// Adds an upkeep wave or updates its request.
  void SetWave(TimePoint now, const UpkeepWave& wave);
  /// Restores the stored progress of a wave.
  /// @param begun VMs whose upkeep has begun
  void LoadWaveProgress(std::int64_t wave, const std::set<std::string>& begun);
  void Tick(TimePoint now);

  std::uint64_t moves() const { return m_moves; }
  std::uint64_t upkeeps() const { return m_upkeeps; }

 private:
  void PlanWaves(TimePoint now, std::span<const JobPoolLoad> loads);
  void PlanPoolMoves(TimePoint now, std::vector<JobPoolLoad> loads);
  void Advance(TimePoint now);
  void AdvanceOne(TimePoint now, const std::string& vm, VmOperation* operation);
  void SendOrder(TimePoint now, const std::string& vm, VmOperation* operation);
  void OnOrder(TimePoint now, const std::string& vm, std::uint64_t token, VmOrderOutcome outcome);
  void LogPools(TimePoint now, std::span<const JobPoolLoad> loads, std::span<const int> targets);
  void CloseWorkers();
  bool MayOrder(TimePoint now) const;
  bool MayTakeDown(const std::string& worker) const;
  /// Reports the workers of earlier owners that the newest list shows to have ended.
  void RecordEndedWorkers(TimePoint now);
  std::vector<UpkeepCandidate> CandidatesOf(const WaveProgress& wave,
                                            std::span<const JobPoolLoad> loads) const;
  /// VMs of one pool that can be moved now. The next one to move is the last.
  struct PoolVms {
    std::vector<std::string> idle;
    std::vector<std::string> busy;  ///< With batch tasks only; the least busy one is the last.
  };
  std::map<std::string, PoolVms> MovableVmsByPool() const;
  /// Returns whether the fleet is large enough to be divided among pools.
  bool DividesFleet() const;
  std::vector<int> TargetsOf(std::span<const JobPoolLoad> loads) const;
  void BeginMove(TimePoint now, const std::string& vm, const PoolMove& move);

  VmFleetParts m_parts;
  VmFleetSettings m_settings;
  TimePoint m_started_at;
  VmInventory m_list;
  UpkeepWaves m_waves;
  VmOperations m_operations;
  std::uint64_t m_last_token = 0;
  TimePoint m_checked_list{};  ///< Request of the newest list that was checked for ended workers.
  TimePoint m_next_plan{};
  TimePoint m_next_advance{};
  TimePoint m_next_log{};
  std::uint64_t m_moves = 0;
  std::uint64_t m_upkeeps = 0;
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_VM_FLEET_H_
