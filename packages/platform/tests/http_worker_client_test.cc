#include "cranberryplank/platform/http_worker_client.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/fake_worker.h"

namespace cranberryplank {
namespace {

/// Fake worker with two slots, and a worker client.
class WorkerClientFixture {
 public:
  WorkerClientFixture() { REQUIRE(fake.Listen(0)); }

  WorkerAddress Address() const { return {"127.0.0.1", fake.port()}; }

  TaskStart Task(const std::string& id, int run_ms) {
    const WorkerStatus status = fake.worker().Status();
    return TaskStart{
        id,
        "queue",
        "application/json",
        R"({"run_ms":)" + std::to_string(run_ms) + R"(,"reply":"done by )" + id + R"("})",
        status.boot_id,
        status.clock + Duration(5'000),
        Duration(2'000)};
  }

  void Start(const TaskStart& task, Duration timeout = Duration(400)) {
    const std::size_t before = results.size();
    workers.Start(Address(), task, timeout,
                  [this](TimePoint, TaskResult result) { results.push_back(std::move(result)); });
    CHECK(results.size() == before);
  }

  bool WaitForResults(std::size_t count) {
    return loop.RunUntil([&] { return results.size() >= count; });
  }

  /// Runs a call that returns either an answer or a reason, and returns the answer.
  template <typename Answer, typename Call>
  std::optional<Answer> Ask(Call call) {
    std::optional<Answer> answer;
    bool called = false;
    call([&](TimePoint, const std::optional<Answer>& value, std::string_view reason) {
      called = true;
      answer = value;
      CHECK(reason.empty() == value.has_value());
    });
    REQUIRE_FALSE(called);
    REQUIRE(loop.RunUntil([&] { return called; }));
    return answer;
  }

  std::optional<WorkerStatus> Status() {
    return Ask<WorkerStatus>([&](auto done) { workers.GetStatus(Address(), done); });
  }

  std::optional<TaskState> State(std::string_view id) {
    const auto report = Ask<TaskReport>([&](auto done) { workers.GetTask(Address(), id, done); });
    return report ? std::optional(report->state) : std::nullopt;
  }

  template <typename Call>
  bool Do(Call call) {
    std::optional<bool> result;
    call([&](TimePoint, bool ok, std::string_view reason) {
      result = ok;
      CHECK(reason.empty() == ok);
    });
    REQUIRE(loop.RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  bool SetDraining(bool drain) {
    return Do([&](auto done) { workers.SetDraining(Address(), drain, done); });
  }

  void Inject(const std::string& name, int count = 1, Duration time = Duration(0)) {
    REQUIRE(fake.Inject(Fault(name, count, time)));
  }

  int Starts(const std::string& id) {
    const auto& log = fake.worker().log();
    return log.contains(id) ? log.at(id).starts : 0;
  }

  EventLoop loop;
  FakeWorker fake{loop.base(), "w", WorkerSettings{2, Duration(600), Duration(1'000)}};
  HttpClient client{loop.base()};
  HttpWorkerClient workers{&client, Duration(200)};
  std::vector<TaskResult> results;
};

// Guards against protocol fields that the client or the worker does not transmit.
TEST_CASE("a task is started, reported and answered over HTTP") {
  WorkerClientFixture fixture;
  const std::string id = "team/a task?1";
  fixture.Start(fixture.Task(id, 100));
  REQUIRE(fixture.loop.RunUntil([&] { return fixture.Starts(id) == 1; }));
  CHECK(fixture.State(id) == TaskState::kRunning);
  CHECK(fixture.Status()->running == 1);
  REQUIRE(fixture.WaitForResults(1));
  const TaskResult& result = fixture.results[0];
  CHECK(result.verdict == Verdict::kCompleted);
  CHECK(result.status == 200);
  CHECK(result.body == "done by " + id);
  CHECK(result.content_type == "text/plain");
  CHECK(result.worker_clock >= Duration(1'100));
  CHECK(result.reason.empty());
  CHECK(fixture.State(id) == TaskState::kFinished);
  CHECK(fixture.State("another") == TaskState::kUnknown);
  CHECK(fixture.fake.worker().log().at(id).queue == "queue");
}

// Guards against the verdict kNotRun for a task that was started, and against a second start.
TEST_CASE(
    "a lost, late, incomplete or swapped answer gives a started task the verdict 'may have run'") {
  WorkerClientFixture fixture;
  std::size_t tasks = 1;
  SECTION("lost") { fixture.Inject("lose_answer"); }
  SECTION("truncated") { fixture.Inject("truncate"); }
  SECTION("no length") { fixture.Inject("no_length"); }
  SECTION("no last chunk") { fixture.Inject("no_last_chunk"); }
  SECTION("late") { fixture.Inject("delay", 1, Duration(800)); }
  SECTION("swapped") {
    fixture.Inject("swap", 2);
    tasks = 2;
  }
  SECTION("crash") {
    fixture.fake.worker().process().Schedule(Clock::now() + Duration(30),
                                             [&](TimePoint) { fixture.Inject("crash"); });
  }
  for (std::size_t i = 0; i < tasks; ++i) {
    fixture.Start(fixture.Task("t" + std::to_string(i), 60));
  }
  REQUIRE(fixture.WaitForResults(tasks));
  for (const TaskResult& result : fixture.results) {
    CHECK(result.verdict == Verdict::kMayHaveRun);
    CHECK(result.body.empty());
    CHECK_FALSE(result.reason.empty());
  }
  fixture.loop.RunFor(Duration(100));
  CHECK(fixture.Starts("t0") == 1);
  CHECK(fixture.results.size() == tasks);
}

// Guards against the verdict kNotRun for a request that a worker may still receive.
TEST_CASE("a task whose request was sent but not answered in time has the verdict 'may have run'") {
  WorkerClientFixture fixture;
  SECTION("dropped") { fixture.Inject("drop_request"); }
  SECTION("handled late") { fixture.Inject("delay_request", 1, Duration(1'500)); }
  SECTION("worker paused") { fixture.Inject("pause", 1, Duration(1'500)); }
  fixture.Start(fixture.Task("t1", 0));
  REQUIRE(fixture.WaitForResults(1));
  CHECK(fixture.results[0].verdict == Verdict::kMayHaveRun);
}

// Guards against a worker that starts a task after the start-by deadline.
TEST_CASE("a paused worker refuses a start whose deadline passed meanwhile") {
  WorkerClientFixture fixture;
  TaskStart task = fixture.Task("t1", 0);
  task.start_by = fixture.fake.worker().WorkerClock() + Duration(100);
  fixture.Inject("pause", 1, Duration(200));
  fixture.Start(task, Duration(2'000));
  REQUIRE(fixture.WaitForResults(1));
  CHECK(fixture.results[0].refusal == WorkerRefusal::kExpired);
  CHECK(fixture.Starts("t1") == 0);
}

// Guards against a refusal that is not recognised or has the wrong verdict.
TEST_CASE("a refused task and a refused connection have the verdict 'not run'") {
  WorkerClientFixture fixture;
  TaskStart task = fixture.Task("refused", 10);
  WorkerRefusal expected = WorkerRefusal::kNone;
  SECTION("slots") {
    fixture.Start(fixture.Task("t1", 300));
    fixture.Start(fixture.Task("t2", 300));
    REQUIRE(fixture.loop.RunUntil([&] { return fixture.fake.worker().Status().running == 2; }));
    expected = WorkerRefusal::kBusy;
  }
  SECTION("draining") {
    CHECK(fixture.SetDraining(true));
    CHECK(fixture.Status()->draining);
    expected = WorkerRefusal::kDraining;
  }
  SECTION("boot id") {
    task.boot_id = "another";
    expected = WorkerRefusal::kExpired;
  }
  SECTION("deadline") {
    task.start_by = Duration(1);
    expected = WorkerRefusal::kExpired;
  }
  SECTION("injected") {
    fixture.Inject("refuse");
    expected = WorkerRefusal::kBusy;
  }
  SECTION("unreachable") {
    fixture.Inject("unreachable", 1, Duration(1'000));
    fixture.loop.RunFor(Duration(60));
  }
  fixture.Start(task);
  REQUIRE(fixture.WaitForResults(1));
  CHECK(fixture.results[0].verdict == Verdict::kNotRun);
  CHECK(fixture.results[0].refusal == expected);
  CHECK_FALSE(fixture.results[0].reason.empty());
  CHECK(fixture.Starts("refused") == 0);
}

// Guards against the verdict kNotRun for a reply that is not an explicit refusal of this task.
TEST_CASE("a task whose reply is neither an answer nor a refusal has the verdict 'may have run'") {
  EventLoop loop;
  const ServerReply reply = GENERATE(
      ServerReply{409, "", {{"Task-Id", "another"}, {"Refusal", "busy"}}},
      ServerReply{409, "", {{"Task-Id", "t1"}, {"Refusal", "other"}}},
      ServerReply{409, "", {{"Refusal", "busy"}}}, ServerReply{404, "", {{"Task-Id", "t1"}}},
      ServerReply{503, "", {{"Task-Id", "t1"}, {"Refusal", "busy"}}},
      ServerReply{200, "", {{"Task-Id", "t1"}}},
      ServerReply{200, "", {{"Task-Id", "another"}, {"Task-Status", "200"}}});
  HttpServer server(loop.base(),
                    [&](const std::shared_ptr<HttpExchange>& exchange) { exchange->Reply(reply); });
  REQUIRE(server.Listen(0));
  HttpClient client(loop.base());
  HttpWorkerClient workers(&client);
  TaskStart task;
  task.task_id = "t1";
  std::optional<Verdict> verdict;
  workers.Start({"127.0.0.1", server.port()}, task, Duration(1'000),
                [&](TimePoint, const TaskResult& result) { verdict = result.verdict; });
  REQUIRE(loop.RunUntil([&] { return verdict.has_value(); }));
  CHECK(verdict == Verdict::kMayHaveRun);
}

// Guards against a worker failure that is reported as a lost answer.
TEST_CASE("an expired lease, a checkpoint and a failing worker have separate task statuses") {
  WorkerClientFixture fixture;
  TaskStart task = fixture.Task("t1", 300);
  int expected = 0;
  SECTION("lease") {
    task.lease = Duration(50);
    expected = kTaskLeaseExpired;
  }
  SECTION("fails all") {
    fixture.Inject("fail_all");
    expected = kTaskFailed;
  }
  SECTION("checkpoint") { expected = kTaskCheckpointed; }
  fixture.Start(task);
  if (expected == kTaskCheckpointed) {
    REQUIRE(fixture.loop.RunUntil([&] { return fixture.Starts("t1") == 1; }));
    CHECK(
        fixture.Do([&](auto done) { fixture.workers.Checkpoint(fixture.Address(), "t1", done); }));
    CHECK_FALSE(
        fixture.Do([&](auto done) { fixture.workers.Checkpoint(fixture.Address(), "t2", done); }));
  }
  REQUIRE(fixture.WaitForResults(1));
  CHECK(fixture.results[0].verdict == Verdict::kCompleted);
  CHECK(fixture.results[0].status == expected);
}

// Guards against a reboot while tasks run, a boot id that stays the same, and a delayed request
// that reboots the worker a second time.
TEST_CASE("a reboot is refused while tasks run, and then changes the boot id") {
  WorkerClientFixture fixture;
  const std::string boot_id = fixture.Status()->boot_id;
  const auto reboot = [&] {
    return fixture.Do([&](auto done) { fixture.workers.Reboot(fixture.Address(), boot_id, done); });
  };
  fixture.Start(fixture.Task("t1", 100));
  REQUIRE(fixture.loop.RunUntil([&] { return fixture.Starts("t1") == 1; }));
  CHECK_FALSE(reboot());
  REQUIRE(fixture.WaitForResults(1));
  CHECK(fixture.SetDraining(true));
  CHECK(reboot());
  fixture.loop.RunFor(Duration(60));
  CHECK_FALSE(fixture.Status().has_value());
  fixture.loop.RunFor(Duration(700));
  const auto status = fixture.Status();
  REQUIRE(status.has_value());
  CHECK(status->boot_id != boot_id);
  CHECK_FALSE(status->draining);
  CHECK(fixture.State("t1") == TaskState::kUnknown);
  CHECK_FALSE(reboot());
  CHECK(fixture.Status()->boot_id == status->boot_id);
}

// Guards against an incomplete answer that is taken for a worker's status.
TEST_CASE("a status call without a complete answer returns no status") {
  WorkerClientFixture fixture;
  fixture.Inject(GENERATE("drop_request", "truncate", "no_length", "no_last_chunk", "delay"), 1,
                 Duration(400));
  CHECK_FALSE(fixture.Status().has_value());
  CHECK(fixture.Status().has_value());
}

}  // namespace
}  // namespace cranberryplank
