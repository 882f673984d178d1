#include "cranberryplank/model/fleet.h"

#include <catch2/catch.hpp>

#include "cranberryplank/model/head.h"

namespace cranberryplank {
namespace {

Fleet SampleFleet() {
  Fleet fleet;
  fleet.teams["smiths"] = Team{"smiths", Contract{2.0, 40}};
  fleet.keys["ab12"] = KeyGrant{Digest{"ab12"}, "smiths"};
  fleet.pools["tone-testing"] = Pool{"tone-testing", AvailabilityBudget{2, 1, 2}, false};
  fleet.queues["tone"] = Queue{"tone", "tone-testing", {"smiths"}, false, "", Duration(5'000), 20};
  Vm vm;
  vm.id = "vm-1";
  vm.host = "127.0.0.1";
  vm.port = 9001;
  vm.zone = "az-1";
  vm.rack = "rack-1";
  vm.pool = "tone-testing";
  vm.state = VmState::kDraining;
  vm.target_pool = "spare";
  vm.move_id = "move-1";
  vm.slots = 8;
  vm.cores = 64;
  vm.memory_gb = 128;
  vm.accelerators = 2;
  fleet.vms[vm.id] = vm;
  fleet.changes.push_back(ChangeRecord{"nonce", "fingerprint", 3});
  fleet.bundle = "{}";
  fleet.candidate = BundleCandidate{2, Digest{"cd34"}, 4, 5};
  return fleet;
}

// Guards against a field that is encoded but not decoded, or vice versa.
TEST_CASE("a fleet survives encoding and decoding part by part") {
  const Fleet fleet = SampleFleet();
  Fleet decoded;
  std::string reason;
  for (const auto& [name, text] : EncodeFleet(fleet)) {
    REQUIRE(DecodePart(name, text, &decoded, &reason));
  }
  CHECK(decoded == fleet);
}

// Guards against VMs that remain in a part although its new text no longer lists them.
TEST_CASE("decoding a VM part replaces the VMs of that part only") {
  Fleet fleet = SampleFleet();
  Vm other = fleet.vms["vm-1"];
  other.id = "vm-2";
  other.rack = "rack-2";
  fleet.vms["vm-2"] = other;
  REQUIRE(VmPartName("rack-1") != VmPartName("rack-2"));
  std::string reason;
  REQUIRE(DecodePart(VmPartName("rack-1"), "[]", &fleet, &reason));
  CHECK(fleet.vms.count("vm-1") == 0);
  CHECK(fleet.vms.count("vm-2") == 1);
}

// Guards against a VM with two records and therefore two pools.
TEST_CASE("a VM that is listed twice is refused") {
  Fleet fleet = SampleFleet();
  const std::string text = EncodeFleet(fleet).at(VmPartName("rack-1"));
  const std::string vm = text.substr(1, text.size() - 2);
  std::string reason;
  CHECK_FALSE(DecodePart(VmPartName("rack-1"), "[" + vm + "," + vm + "]", &fleet, &reason));
  CHECK(reason.find("listed twice") != std::string::npos);
}

TEST_CASE("a head survives encoding and decoding") {
  Head head;
  head.revision = 7;
  head.writer = "nonce";
  head.parts["teams"] = Sha256("text");
  head.daemons.push_back(DaemonRecord{"e1", "inc", "az-1", "127.0.0.1", 1, "127.0.0.1", 2});
  head.registration_revision = 5;
  head.previous_daemons.push_back(
      DaemonRecord{"e0", "old", "az-2", "127.0.0.1", 3, "127.0.0.1", 4});
  head.last_writes.push_back(WriteRecord{"inc", "nonce", 7});
  std::string reason;
  CHECK(DecodeHead(EncodeHead(head), &reason) == head);
}

// Guards against an exception that propagates to the event loop on damaged input.
TEST_CASE("a damaged head or part is refused with a reason") {
  std::string reason;
  CHECK_FALSE(DecodeHead("{\"revision\":", &reason).has_value());
  CHECK_FALSE(reason.empty());
  CHECK_FALSE(DecodeHead("{\"revision\":-1}", &reason).has_value());
  Fleet fleet;
  CHECK_FALSE(DecodePart("teams", "{\"a\":1}", &fleet, &reason));
  CHECK_FALSE(DecodePart("unheard-of", "[]", &fleet, &reason));
}

}  // namespace
}  // namespace cranberryplank
