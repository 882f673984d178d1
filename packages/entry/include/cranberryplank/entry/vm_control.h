#ifndef CRANBERRYPLANK_ENTRY_VM_CONTROL_H_
#define CRANBERRYPLANK_ENTRY_VM_CONTROL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

enum class ListedVmState { kUp, kMoving, kInUpkeep, kDown };

/// A VM that can host one worker at a time, as the platform lists it.
struct ListedVm {
  std::string id;
  std::string pool;
  ListedVmState state = ListedVmState::kDown;
  std::string zone;
  std::string worker;  ///< Id of the worker on it; empty if there is none.
};

/// Answer to a reading of the list. A page at a time.
struct VmPage {
  bool answered = false;
  std::vector<ListedVm> vms;
  std::string next;  ///< Name of the next page; empty after the last.
};

/// How an order to a VM ended.
enum class VmOrderOutcome {
  kDone,      ///< It has begun, or was done before.
  kFenced,    ///< A higher token was used for this VM.
  kBusy,      ///< The VM is not up, or is leaving.
  kNotDue,    ///< The VM is not part of that wave.
  kRefused,   ///< Nothing was done: no such VM, or the pool is of other VMs.
  kTryLater,  ///< Nothing was done: too many calls, or the platform is not available.
  kUnknown,   ///< No answer: it may have been done.
};

/// Who gives an order, and its fencing token.
struct VmOrderFence {
  std::string holder;
  std::uint64_t token = 0;
};

/// A wave of upkeep that the operators ask for.
struct UpkeepWave {
  std::int64_t number = 0;
  std::vector<std::string> vms;
  Duration within{0};  ///< From the request.
  int max_at_once = 0;
};

/// Lists VMs and orders moves between pools and upkeep. Everything on a VM ends when an order is
/// carried out. Each callback runs once, from the event loop.
class VmControl {
 public:
  using ListCallback = std::function<void(TimePoint now, const VmPage& page)>;
  using OrderCallback = std::function<void(TimePoint now, VmOrderOutcome outcome)>;

  virtual ~VmControl() = default;
  virtual void List(const std::string& page, ListCallback done) = 0;
  virtual void Move(const std::string& vm, const std::string& pool, const VmOrderFence& fence,
                    OrderCallback done) = 0;
  virtual void Upkeep(const std::string& vm, std::int64_t wave, const VmOrderFence& fence,
                      OrderCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_VM_CONTROL_H_
