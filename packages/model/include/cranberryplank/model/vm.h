#ifndef CRANBERRYPLANK_MODEL_VM_H_
#define CRANBERRYPLANK_MODEL_VM_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Stage of a VM while it moves between pools.
enum class VmState {
  kServing,   ///< Accepts work of its pool.
  kDraining,  ///< Accepts no new work; running tasks of its pool finish.
  kEmpty,     ///< The worker confirmed that nothing runs; may be assigned to another pool.
};

std::string_view ToString(VmState state);

/// Record of one worker VM. It belongs to exactly one pool.
struct Vm {
  std::string id;
  std::string host;  ///< IP address of its worker.
  std::uint16_t port = 0;
  std::string zone;  ///< Availability zone.
  std::string rack;
  std::string pool;
  VmState state = VmState::kServing;
  std::string target_pool;  ///< Pool that the VM moves to; empty if it is not moving.
  int slots = 0;            ///< Maximum number of concurrent tasks.
  int cores = 0;
  int memory_gb = 0;
  int accelerators = 0;
  std::string move_id{};  ///< Random and unique per move; identifies repeated moves.
  std::string boot_id{};  ///< Boot in which the worker confirmed that nothing runs.

  bool operator==(const Vm&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_VM_H_
