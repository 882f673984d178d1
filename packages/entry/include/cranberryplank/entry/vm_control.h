#ifndef CRANBERRYPLANK_ENTRY_VM_CONTROL_H_
#define CRANBERRYPLANK_ENTRY_VM_CONTROL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

enum class ListedVmState { kUp, kMoving, kInUpkeep, kDown };

/// A VM as listed by the platform. It hosts at most one worker at a time.
struct ListedVm {
  std::string id;
  std::string pool;
  ListedVmState state = ListedVmState::kDown;
  std::string zone;
  std::string worker;  ///< Id of the VM's worker; empty if there is none.
};

/// Reply to a list call with one page of VMs.
struct VmPage {
  bool answered = false;
  std::vector<ListedVm> vms;
  std::string next;  ///< Token of the next page; empty after the last.
};

/// Outcome of an order to a VM.
enum class VmOrderOutcome {
  kDone,      ///< The operation has begun, or was done before.
  kFenced,    ///< A higher token was used for this VM.
  kBusy,      ///< The VM is not up, or is leaving.
  kNotDue,    ///< The VM is not part of the wave.
  kRefused,   ///< Nothing was done: the VM is unknown, or the pool is for other VMs.
  kTryLater,  ///< Nothing was done: too many calls, or the platform is unavailable.
  kUnknown,   ///< No answer. The order may have been executed.
};

/// Sender of an order and its fencing token.
struct VmOrderFence {
  std::string holder;
  std::uint64_t token = 0;
  TimePoint not_after{};  ///< The sender's authority ends then; not sent later.
};

/// An upkeep wave requested by the operators.
struct UpkeepWave {
  std::int64_t number = 0;
  std::vector<std::string> vms;
  Duration within{0};  ///< Time limit, from the time of the request.
  int max_at_once = 0;
};

/// Lists VMs, and orders upkeep and moves between pools. Executing an order ends everything that
/// runs on the VM. Each callback runs once, from the event loop.
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
