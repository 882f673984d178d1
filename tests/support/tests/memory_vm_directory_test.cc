#include "cranberryplank/support/memory_vm_directory.h"

#include <catch2/catch.hpp>

namespace cranberryplank {
namespace {

// Guards against faults that change the VM list itself or cannot be removed.
TEST_CASE("the VM list shows leaving VMs and can be stale, nearly empty or down") {
  EventQueue queue;
  MemoryVmDirectory directory(&queue);
  VmTable& table = directory.table();
  table.Add("worker", "vm-1");
  table.Add("worker", "vm-2");
  std::optional<std::vector<VmListing>> seen;
  const auto list = [&] {
    directory.List("worker", [&](TimePoint, const std::optional<VmList>& read, std::string_view) {
      seen = read ? std::optional(read->listings) : std::nullopt;
    });
    queue.RunFor(Duration(1'500));
    return seen;
  };
  const std::vector<VmListing> all{{"vm-1", false}, {"vm-2", false}};
  CHECK(list() == all);
  table.SetStale(true);
  CHECK(table.SetLeaving("worker", "vm-1", true));
  CHECK(list() == all);
  table.SetStale(false);
  CHECK(list() == std::vector<VmListing>{{"vm-1", true}, {"vm-2", false}});
  table.SetNearlyEmpty(true);
  CHECK(list()->size() == 1);
  table.SetNearlyEmpty(false);
  CHECK(table.Remove("worker", "vm-1"));
  CHECK(list() == std::vector<VmListing>{{"vm-2", false}});
  directory.SetDown(true);
  CHECK_FALSE(list().has_value());
}

}  // namespace
}  // namespace cranberryplank
