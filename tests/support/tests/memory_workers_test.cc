#include "cranberryplank/support/memory_workers.h"

#include <catch2/catch.hpp>
#include <vector>

namespace cranberryplank {
namespace {

const WorkerAddress k_worker{"10.0.0.1", 80};

/// One worker with two slots and a client.
class WorkerProbe {
 public:
  WorkerProbe() { fleet.Add(&queue, k_worker, WorkerSettings{2, Duration(500), Duration(1'000)}); }

  TaskStart Task(const std::string& id, int run_ms) {
    const WorkerStatus status = worker().Status();
    return TaskStart{id,
                     "queue",
                     "application/json",
                     R"({"run_ms":)" + std::to_string(run_ms) + R"(,"reply":"done"})",
                     status.boot_id,
                     status.clock + Duration(200),
                     Duration(1'000)};
  }

  void Start(const TaskStart& task) {
    client.Start(k_worker, task, Duration(3'000),
                 [this](TimePoint, TaskResult result) { results.push_back(std::move(result)); });
  }

  SimulatedWorker& worker() { return fleet.worker(k_worker); }
  WorkerFaults& faults() { return fleet.faults(k_worker); }

  EventQueue queue;
  MemoryWorkers client{&queue};
  WorkerFleet& fleet = *client.fleet();
  std::vector<TaskResult> results;
};

// Guards against an answer that arrives before the task ended or lacks the requested reply.
TEST_CASE("a task runs for its run time and returns its reply") {
  WorkerProbe probe;
  probe.Start(probe.Task("t1", 100));
  probe.queue.RunFor(Duration(90));
  CHECK(probe.results.empty());
  CHECK(probe.worker().GetTask("t1") == TaskState::kRunning);
  probe.queue.RunFor(Duration(20));
  REQUIRE(probe.results.size() == 1);
  CHECK(probe.results[0].verdict == Verdict::kCompleted);
  CHECK(probe.results[0].body == "done");
  CHECK(probe.worker().GetTask("t1") == TaskState::kFinished);
}

// Guards against a refused task that ran, and against a start that should have been refused.
TEST_CASE("a worker refuses tasks because of slots, draining, deadline and boot id") {
  WorkerProbe probe;
  TaskStart task = probe.Task("refused", 10);
  WorkerRefusal expected = WorkerRefusal::kExpired;
  SECTION("slots") {
    probe.Start(probe.Task("t1", 1'000));
    probe.Start(probe.Task("t2", 1'000));
    expected = WorkerRefusal::kBusy;
  }
  SECTION("draining") {
    probe.worker().SetDraining(true);
    expected = WorkerRefusal::kDraining;
  }
  SECTION("boot id") { task.boot_id = "another"; }
  SECTION("deadline") { probe.queue.RunFor(Duration(300)); }
  SECTION("deadline passes while the worker is paused") { probe.worker().process().Pause(); }
  probe.Start(task);
  probe.queue.RunFor(Duration(300));
  probe.worker().process().Resume();
  probe.queue.RunFor(Duration(10));
  REQUIRE(probe.results.size() == 1);
  CHECK(probe.results[0].verdict == Verdict::kNotRun);
  CHECK(probe.results[0].refusal == expected);
  CHECK(probe.fleet.Starts("refused") == 0);
}

// Guards against a fault that is reported as "not run" although the task was started.
TEST_CASE(
    "a lost, damaged, swapped or late answer gives a started task the verdict 'may have run'") {
  WorkerProbe probe;
  SECTION("lost") { probe.faults().lose_answers = 2; }
  SECTION("truncated") { probe.faults().truncate_answers = 2; }
  SECTION("swapped") { probe.faults().swap_answers = 1; }
  SECTION("late") { probe.faults().answer_delay = Duration(10'000); }
  SECTION("crash") {
    probe.queue.Schedule(probe.queue.Now() + Duration(50),
                         [&](TimePoint) { probe.worker().Crash(); });
  }
  probe.Start(probe.Task("t1", 100));
  probe.Start(probe.Task("t2", 100));
  probe.queue.RunFor(Duration(20'000));
  REQUIRE(probe.results.size() == 2);
  for (const TaskResult& result : probe.results) {
    CHECK(result.verdict == Verdict::kMayHaveRun);
    CHECK_FALSE(result.reason.empty());
  }
  CHECK(probe.fleet.Starts("t1") == 1);
}

// Guards against "may have run" where no connection was established, and against "not run" where
// the worker may have received the request.
TEST_CASE(
    "a task is not run if the connection is refused, it may have run if the worker is silent") {
  WorkerProbe probe;
  Verdict expected = Verdict::kMayHaveRun;
  SECTION("unreachable") {
    probe.faults().unreachable = true;
    expected = Verdict::kNotRun;
  }
  SECTION("rebooting") {
    REQUIRE(probe.worker().Reboot(probe.worker().Status().boot_id));
    expected = Verdict::kNotRun;
  }
  SECTION("silent") { probe.faults().silent = true; }
  SECTION("cut off") { probe.client.SetCut(k_worker, true); }
  probe.Start(probe.Task("t1", 10));
  probe.queue.RunFor(Duration(5'000));
  REQUIRE(probe.results.size() == 1);
  CHECK(probe.results[0].verdict == expected);
  CHECK(probe.fleet.Starts("t1") == 0);
}

// Guards against a start whose start-by deadline was set before a reboot.
TEST_CASE("a reboot is refused while tasks run, changes the boot id and discards the tasks") {
  WorkerProbe probe;
  const TaskStart old_task = probe.Task("t2", 10);
  probe.Start(probe.Task("t1", 10));
  probe.queue.RunFor(Duration(5));
  CHECK_FALSE(probe.worker().Reboot(probe.worker().Status().boot_id));
  probe.queue.RunFor(Duration(20));
  REQUIRE(probe.worker().Reboot(probe.worker().Status().boot_id));
  CHECK_FALSE(probe.worker().Reachable());
  probe.queue.RunFor(Duration(510));
  CHECK(probe.worker().Reachable());
  CHECK(probe.worker().GetTask("t1") == TaskState::kUnknown);
  CHECK(probe.fleet.Starts("t1") == 1);
  probe.Start(old_task);
  probe.queue.RunFor(Duration(20));
  CHECK(probe.results.back().refusal == WorkerRefusal::kExpired);
}

// Guards against tasks that keep running after their lease expired or after a checkpoint.
TEST_CASE(
    "lease expiry, a checkpoint and a failing worker each end a task with a distinct status") {
  WorkerProbe probe;
  int expected = 0;
  SECTION("lease") { expected = kTaskLeaseExpired; }
  SECTION("checkpoint") {
    probe.queue.Schedule(probe.queue.Now() + Duration(50),
                         [&](TimePoint) { CHECK(probe.worker().Checkpoint("t1")); });
    expected = kTaskCheckpointed;
  }
  SECTION("fails all") {
    probe.worker().SetFailAll(true);
    expected = kTaskFailed;
  }
  probe.Start(probe.Task("t1", 1'500));
  probe.queue.RunFor(Duration(1'100));
  REQUIRE(probe.results.size() == 1);
  CHECK(probe.results[0].verdict == Verdict::kCompleted);
  CHECK(probe.results[0].status == expected);
  CHECK(probe.worker().Status().running == 0);
}

// Guards against a task that ran twice and is not reported as a duplicate.
TEST_CASE("a task that is started twice is in the list of duplicates") {
  WorkerProbe probe;
  probe.Start(probe.Task("t1", 10));
  probe.Start(probe.Task("t1", 10));
  probe.Start(probe.Task("t2", 10));
  probe.queue.RunFor(Duration(50));
  CHECK(probe.fleet.DuplicateTasks() == std::vector<std::string>{"t1"});
}

}  // namespace
}  // namespace cranberryplank
