#ifndef CRANBERRYPLANK_MODEL_VM_H_
#define CRANBERRYPLANK_MODEL_VM_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Stage of a VM on its way between pools.
enum class VmState {
  kServing,   ///< Takes work of its pool.
  kDraining,  ///< Takes no new work; running tasks of its pool finish.
  kEmpty,     ///< Checked with the worker to run nothing; may be given to another pool.
};

std::string_view ToString(VmState state);

/// Record of one worker VM. It names exactly one pool.
struct Vm {
  std::string id;
  std::string host;  ///< IP address of its worker.
  std::uint16_t port = 0;
  std::string zone;  ///< Availability zone.
  std::string rack;
  std::string pool;
  VmState state = VmState::kServing;
  std::string target_pool;  ///< Pool it moves to; empty while it does not move.
  int slots = 0;            ///< Tasks it can run at a time.
  int cores = 0;
  int memory_gb = 0;
  int accelerators = 0;
  std::string move_id{};  ///< Random, new with each move; tells a repeated move apart.
  std::string boot_id{};  ///< Boot in which an empty VM was checked to run nothing.

  bool operator==(const Vm&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_VM_H_
