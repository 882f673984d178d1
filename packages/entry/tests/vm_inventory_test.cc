#include "cranberryplank/entry/vm_inventory.h"

#include <catch2/catch.hpp>

#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

constexpr TimePoint kBegun{std::chrono::seconds(50)};

ListedVm VmNamed(const std::string& id) { return {id, "pool", ListedVmState::kUp, "", ""}; }

void ReadList(VmInventory* list, KeepingVmControl* machines, TimePoint now) {
  list->ReadAt(now);
  list->Tick(now);
  machines->DeliverLists(now);
}

}  // namespace

// Guards against an upkeep wave that is reported as done while one list is incomplete, and against
// one that waits forever for a VM that was removed.
TEST_CASE("a VM counts as removed only once it has been missing for seconds") {
  KeepingVmControl machines;
  VmInventory list(&machines, kBegun);
  machines.vms = {VmNamed("vm-1"), VmNamed("vm-2")};
  ReadList(&list, &machines, kBegun);
  machines.vms = {VmNamed("vm-1")};
  const TimePoint missing = kBegun + Duration(10'000);
  ReadList(&list, &machines, missing);
  CHECK_FALSE(list.IsRemoved(missing + Duration(2'999), "vm-2"));
  CHECK(list.IsRemoved(missing + Duration(3'000), "vm-2"));
  machines.vms = {VmNamed("vm-1"), VmNamed("vm-2")};
  ReadList(&list, &machines, missing + Duration(3'000));
  CHECK_FALSE(list.IsRemoved(missing + Duration(3'000), "vm-2"));
}

// Guards against the same for a VM that a new owner has never seen in the list.
TEST_CASE("a VM that was never listed counts as removed seconds after the owner began") {
  KeepingVmControl machines;
  VmInventory list(&machines, kBegun);
  ReadList(&list, &machines, kBegun);
  CHECK_FALSE(list.IsRemoved(kBegun + Duration(2'999), "vm-1"));
  CHECK(list.IsRemoved(kBegun + Duration(3'000), "vm-1"));
}

}  // namespace cranberryplank
