#include "cranberryplank/entry/vm_operation.h"

#include <catch2/catch.hpp>

namespace cranberryplank {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(50)};

ListedVm VmIn(const std::string& pool, ListedVmState state) { return {"", pool, state, "", ""}; }

VmOperation OperationOf(bool upkeep, const std::string& pool) {
  VmOperation operation;
  operation.upkeep = upkeep;
  operation.wave = 1;
  operation.pool = pool;
  operation.since = kStart;
  return operation;
}

}  // namespace

// Guards against a second order to a VM that an old list shows as it was before its operation, and
// against one to a VM whose upkeep takes longer than expected.
TEST_CASE("an operation ends only when a list from after it shows the VM out of upkeep") {
  VmOperation operation = OperationOf(true, "");
  operation.phase = VmOperation::Phase::kAway;
  operation.away_until = AwayUntil(kStart, Duration(2'000));
  const TimePoint executed = kStart + Duration(2'000);
  const TimePoint now = operation.away_until;
  const ListedVm up = VmIn("pool", ListedVmState::kUp);
  const ListedVm in_upkeep = VmIn("pool", ListedVmState::kInUpkeep);
  CHECK_FALSE(HasEnded(operation, now - Duration(1), executed, &up));
  CHECK_FALSE(HasEnded(operation, now, executed - Duration(1), &up));
  CHECK_FALSE(HasEnded(operation, now, executed, &in_upkeep));
  CHECK(HasEnded(operation, now, executed, &up));
  CHECK(HasEnded(operation, now, executed, nullptr));
}

// Guards against a VM that starts nothing forever because a long task on it cannot be moved.
TEST_CASE("vacating a VM is abandoned after a while") {
  VmOperation operation = OperationOf(false, "pool");
  CHECK_FALSE(HasEnded(operation, kStart + Duration(12'000), kStart, nullptr));
  CHECK(HasEnded(operation, kStart + Duration(12'001), kStart, nullptr));
  operation.phase = VmOperation::Phase::kOrdering;
  CHECK_FALSE(HasEnded(operation, kStart + Duration(12'001), kStart, nullptr));
}

// Guards against more VMs in upkeep at once than the operators allow, after a change of owner.
TEST_CASE("a VM whose upkeep an earlier owner ordered counts for each wave") {
  const std::map<std::string, ListedVm> vms = {{"a", VmIn("pool", ListedVmState::kInUpkeep)},
                                               {"b", VmIn("pool", ListedVmState::kInUpkeep)},
                                               {"c", VmIn("pool", ListedVmState::kUp)}};
  const VmOperations operations = {{"a", OperationOf(true, "")}};
  CHECK(AwayForWave(1, operations, vms) == 2);
  CHECK(AwayForWave(2, operations, vms) == 1);
}

// Guards against a pool that gets no VM for one in upkeep, or too many while moves are in progress.
TEST_CASE("a pool's size counts VMs on their way to it, and none that leave it or are in upkeep") {
  const std::map<std::string, ListedVm> vms = {
      {"up", VmIn("pool", ListedVmState::kUp)},
      {"leaving", VmIn("pool", ListedVmState::kUp)},
      {"in upkeep", VmIn("pool", ListedVmState::kUp)},
      {"ordered before", VmIn("pool", ListedVmState::kInUpkeep)},
      {"down", VmIn("pool", ListedVmState::kDown)},
      {"spare", VmIn("standby", ListedVmState::kDown)}};
  const VmOperations operations = {{"leaving", OperationOf(false, "other")},
                                   {"in upkeep", OperationOf(true, "")}};
  const PoolSizes sizes =
      CountPoolSizes(vms, operations, [](const std::string& pool) { return pool == "standby"; });
  CHECK(sizes.vms == std::map<std::string, int>{{"other", 1}, {"pool", 1}, {"standby", 1}});
  CHECK(sizes.moving == 1);
}

}  // namespace cranberryplank
