#include "cranberryplank/entry/vm_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cranberryplank/jobs/job_codec.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

bool Contains(const std::vector<std::string>& vms, const std::string& vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

}  // namespace

// Guards against losing the only copy of an ended run. VMs were moved 2 s after their last run had
// ended, while the store was 6 s behind; after a change of owner the tasks ran a second time.
TEST_CASE("a VM is moved only once the ended runs of its worker are stored") {
  FleetFixture fixture;
  fixture.Begin();
  const std::string vm = FleetFixture::VmOf(fixture.RunTask());
  fixture.Run(20);
  CHECK_FALSE(fixture.machines.moved.empty());
  CHECK_FALSE(Contains(fixture.machines.moved, vm));
  fixture.store_answers = true;
  fixture.Step();
  // All VMs but the worker's are gone or kept, so an operator's wave shows that it may go now.
  fixture.fleet->SetWave(fixture.now, {1, {vm}, Duration(10'000), 1});
  fixture.Run(20);
  CHECK((Contains(fixture.machines.taken_down, vm) || Contains(fixture.machines.moved, vm)));
}

// Guards against the same loss by upkeep: an urgent wave takes the VM as soon as it has no runs.
TEST_CASE("a VM is taken down for upkeep only once the ended runs of its worker are stored") {
  FleetFixture fixture;
  fixture.Begin();
  const std::string vm = FleetFixture::VmOf(fixture.RunTask());
  fixture.fleet->SetWave(fixture.now, {1, {vm}, Duration(1'000), 1});
  fixture.Run(20);
  CHECK_FALSE(Contains(fixture.machines.taken_down, vm));
}

// Guards against taking down a VM whose worker has not yet listed its runs to a new owner.
TEST_CASE("a new owner takes down no VM whose worker has not listed its runs") {
  FleetFixture fixture;
  Takeover takeover;
  takeover.epoch = fixture.ownership.revision();
  takeover.unreconciled_bound = fixture.now + Duration(10'000);
  takeover.workers.push_back({"worker-0", "pool", 0, FleetFixture::VmOf("worker-0")});
  fixture.Begin(takeover);
  fixture.fleet->SetWave(fixture.now, {1, {FleetFixture::VmOf("worker-0")}, Duration(1'000), 1});
  for (int i = 0; i < 20; ++i) {
    fixture.Step();  // No worker replies.
  }
  CHECK(fixture.machines.taken_down.empty());
}

// Guards against long-running tasks that wait for 14 s during a wave: with one task per VM a pool
// of just as many VMs had none for the tasks of a VM in upkeep, and counted that VM as available.
TEST_CASE("a VM in upkeep is replaced by another one") {
  FleetFixture fixture;
  fixture.machines.vms.push_back({"vm-spare", "standby", ListedVmState::kDown, "", ""});
  fixture.Begin();
  fixture.SubmitLongRunning(FleetFixture::kVms);
  fixture.fleet->SetWave(fixture.now, {1, {"vm-0"}, Duration(10'000), 1});
  fixture.Run(10);
  CHECK(Contains(fixture.machines.moved, "vm-spare"));
}

// Guards against a VM that is moved a second time while it runs tasks: its operation ended when a
// new list was requested, while the list at hand was still one from before the move and showed the
// VM in standby. With 1,100 VMs and a busy owner a list takes a second.
TEST_CASE("a moved VM is away until a list that was requested after the move has arrived") {
  FleetFixture fixture;
  fixture.machines.vms.push_back({"vm-spare", "standby", ListedVmState::kDown, "", ""});
  fixture.Begin();
  fixture.SubmitLongRunning(FleetFixture::kVms + 1);
  fixture.Run(10);
  REQUIRE(fixture.machines.moved == std::vector<std::string>{"vm-spare"});
  fixture.machines.ConfirmMoves(fixture.now);
  fixture.Run(12);  // A list that does not show the move yet replaces the fleet's own record of it.
  fixture.lists_answered = false;
  fixture.Run(40);
  CHECK(fixture.machines.moved == std::vector<std::string>{"vm-spare"});
}

// Guards against jobs that a new owner holds back until the last lease of a worker that it does not
// reach must have ended, although the worker's VM is shut down.
TEST_CASE("a new owner does not wait for a worker whose VM is shut down or removed") {
  enum class VmOfWorker { kCutOff, kShutDown, kRemoved };
  const VmOfWorker state =
      GENERATE(VmOfWorker::kCutOff, VmOfWorker::kShutDown, VmOfWorker::kRemoved);
  FleetFixture fixture;
  JobSpec spec;
  spec.id = "job";
  spec.queue = "queue";
  spec.pool = "pool";
  StepSpec step;
  step.count = 1;
  step.per_task = {10, 1, 0};
  step.estimate_ms = 500;
  spec.steps.push_back(step);
  fixture.scheduler.LoadJob(fixture.At(), "job", *DecodeJob("job", EncodeJob(spec)), {});
  Takeover takeover;
  takeover.epoch = fixture.ownership.revision();
  takeover.unreconciled_bound = fixture.now + Duration(10'000);
  const std::string vm = FleetFixture::VmOf("worker-0");
  takeover.workers.push_back({"worker-gone", "pool", 0, vm});
  for (ListedVm& listed : fixture.machines.vms) {
    if (listed.id == vm) {
      listed.state = state == VmOfWorker::kShutDown ? ListedVmState::kDown : ListedVmState::kUp;
      listed.worker = state == VmOfWorker::kShutDown ? "" : "worker-gone";
    }
  }
  if (state == VmOfWorker::kRemoved) {
    std::erase_if(fixture.machines.vms, [&](const ListedVm& listed) { return listed.id == vm; });
  }
  fixture.Begin(takeover);
  fixture.Run(50);
  CHECK(fixture.link.starts.empty() == (state == VmOfWorker::kCutOff));
}

}  // namespace cranberryplank
