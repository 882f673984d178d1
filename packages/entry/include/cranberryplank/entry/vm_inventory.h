#ifndef CRANBERRYPLANK_ENTRY_VM_INVENTORY_H_
#define CRANBERRYPLANK_ENTRY_VM_INVENTORY_H_

#include <map>
#include <memory>
#include <string>

#include "cranberryplank/entry/vm_control.h"

namespace cranberryplank {

/// The platform's list of VMs. It is read again and again, page by page.
class VmInventory {
 public:
  /// @param begun when this daemon became the owner of the schedule
  VmInventory(VmControl* vm_control, TimePoint begun) : m_vm_control(vm_control), m_begun(begun) {}
  VmInventory(const VmInventory&) = delete;
  VmInventory& operator=(const VmInventory&) = delete;

  /// Reads the list if it is time to. Must be called regularly.
  void Tick(TimePoint now);
  /// Sets when the list is read again.
  void ReadAt(TimePoint time) { m_next_list = time; }
  TimePoint next_read() const { return m_next_list; }
  /// Records that the move of a VM to a pool has begun.
  void SetMoving(const std::string& vm, const std::string& pool);

  /// Returns whether a list has been read.
  bool listed() const { return m_listed; }
  /// When the list in `vms()` was requested.
  TimePoint sent() const { return m_list_sent; }
  /// VMs, by id.
  const std::map<std::string, ListedVm>& vms() const { return m_vms; }
  /// Returns whether a VM has been missing from the list for so long that it counts as removed.
  bool IsRemoved(TimePoint now, const std::string& vm) const;

 private:
  void RequestPage(const std::string& page);
  void OnPage(TimePoint now, const VmPage& page);
  void FinishList(TimePoint now);

  VmControl* m_vm_control;
  TimePoint m_begun;
  std::map<std::string, ListedVm> m_vms;
  std::map<std::string, ListedVm> m_listing;
  std::map<std::string, TimePoint> m_missing_since;
  bool m_listed = false;
  bool m_list_in_flight = false;
  TimePoint m_list_sent{};     ///< When the list in `m_vms` was requested.
  TimePoint m_listing_sent{};  ///< When the list in `m_listing` was requested.
  TimePoint m_next_list{};
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_VM_INVENTORY_H_
