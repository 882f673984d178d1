#include "cranberryplank/support/load_generator.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "cranberryplank/platform/http_worker_client.h"
#include "cranberryplank/support/event_loop.h"
#include "cranberryplank/support/fake_worker.h"

namespace cranberryplank {
namespace {

/// Stub daemon that forwards requests to one worker and applies the injected fault to the seventh
/// request.
class FaultyDaemon {
 public:
  enum class Fault {
    kNone,
    kTwice,         ///< Runs the request twice.
    kInvented,      ///< Answers without running the request.
    kFalseRefusal,  ///< Runs the request and answers "not run".
    kOthersReply,   ///< Answers with the reply of another request.
    kNoAnswer,      ///< Runs the request and closes the connection.
    kTrueRefusal,   ///< Answers "not run" without running the request.
    kMayHaveRun,    ///< Runs the request and answers "may have run".
    kTaskFailed,    ///< Answers with the task's own error status.
    kNoVerdict,     ///< Answers with an error without a verdict.
  };

  FaultyDaemon() {
    REQUIRE(worker.Listen(0));
    REQUIRE(daemon.Listen(0));
  }

  LoadReport Run(Fault injected, bool idempotent = false) {
    fault = injected;
    LoadSettings settings;
    settings.daemons = {{"127.0.0.1", daemon.port()}};
    settings.targets = {{"tone", "key-1"}, {"hallmark", "key-2"}};
    settings.workers = extra_workers;
    settings.workers.push_back({"127.0.0.1", worker.port()});
    settings.requests = 20;
    settings.concurrency = 4;
    settings.idempotent = idempotent;
    LoadGenerator generator(loop.base(), settings, "run");
    generator.Start();
    REQUIRE(loop.RunUntil([&] { return generator.done(); }));
    return generator.report();
  }

  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const bool tone = exchange->path() == "/v1/queues/tone/requests";
    CHECK(exchange->Header("Authorization") == (tone ? "Bearer key-1" : "Bearer key-2"));
    const Fault applied_fault = ++requests == 7 ? fault : Fault::kNone;
    const std::string reply = nlohmann::json::parse(exchange->body())["reply"];
    if (applied_fault == Fault::kInvented) {
      exchange->Reply({200, reply, {}});
    } else if (applied_fault == Fault::kTrueRefusal) {
      exchange->Reply({503, R"({"verdict":"not_run","reason":"draining"})", {}});
    } else if (applied_fault == Fault::kNoVerdict) {
      exchange->Reply({500, "internal error", {}});
    } else {
      StartTask(exchange, applied_fault, applied_fault == Fault::kTwice ? 2 : 1);
    }
  }

  void StartTask(const std::shared_ptr<HttpExchange>& exchange, Fault applied_fault, int times) {
    const WorkerStatus status = worker.worker().Status();
    const TaskStart task{
        "task-" + std::to_string(++tasks), "queue",        "", exchange->body(), status.boot_id,
        status.clock + Duration(5'000),    Duration(5'000)};
    workers.Start({"127.0.0.1", worker.port()}, task, Duration(5'000),
                  [this, exchange, applied_fault, times](TimePoint, const TaskResult& result) {
                    if (times > 1) {
                      StartTask(exchange, applied_fault, times - 1);
                    } else {
                      Answer(exchange, applied_fault, result);
                    }
                  });
  }

  static void Answer(const std::shared_ptr<HttpExchange>& exchange, Fault applied_fault,
                     const TaskResult& result) {
    switch (applied_fault) {
      case Fault::kFalseRefusal:
        exchange->Reply({503, R"({"verdict":"not_run"})", {}});
        break;
      case Fault::kOthersReply:
        exchange->Reply({200, "run-0", {}});
        break;
      case Fault::kNoAnswer:
        exchange->Drop();
        break;
      case Fault::kMayHaveRun:
        exchange->Reply({504, R"({"verdict":"may_have_run"})", {}});
        break;
      case Fault::kTaskFailed:
        exchange->Reply({500, "the task failed", {{"Task-Id", "t"}}});
        break;
      default:
        exchange->Reply({result.status, result.body, {}});
    }
  }

  EventLoop loop;
  FakeWorker worker{loop.base(), "w", WorkerSettings{}};
  HttpClient client{loop.base()};
  HttpWorkerClient workers{&client};
  HttpServer daemon{loop.base(),
                    [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); }};
  Fault fault = Fault::kNone;
  std::vector<WorkerAddress> extra_workers;  ///< Further workers whose logs are read.
  int requests = 0;
  int tasks = 0;
};

// Guards against a run that passes although a request was lost, run twice or answered wrongly.
TEST_CASE(
    "the load generator counts each kind of fault, and only true refusals, unknown outcomes and "
    "task failures pass") {
  using Fault = FaultyDaemon::Fault;
  struct Sample {
    Fault fault;
    std::size_t LoadReport::*counted;
    bool passes;
  };
  const Sample sample =
      GENERATE(values<Sample>({{Fault::kTwice, &LoadReport::duplicated, false},
                               {Fault::kInvented, &LoadReport::lost, false},
                               {Fault::kFalseRefusal, &LoadReport::not_run_but_started, false},
                               {Fault::kOthersReply, &LoadReport::wrong, false},
                               {Fault::kNoAnswer, &LoadReport::lost, false},
                               {Fault::kTrueRefusal, &LoadReport::not_run, true},
                               {Fault::kMayHaveRun, &LoadReport::may_have_run, true},
                               {Fault::kTaskFailed, &LoadReport::failed, true},
                               {Fault::kNoVerdict, &LoadReport::unclear, false}}));
  FaultyDaemon faulty_daemon;
  const LoadReport report = faulty_daemon.Run(sample.fault);
  CHECK(report.*sample.counted == 1);
  CHECK(report.Passed() == sample.passes);
}

// Guards against error counts that include successful requests.
TEST_CASE("a run without faults serves every request of every target") {
  FaultyDaemon faulty_daemon;
  const LoadReport report = faulty_daemon.Run(FaultyDaemon::Fault::kNone);
  CHECK(report.served == 20);
  CHECK(report.served_by_target == std::vector<std::size_t>{10, 10});
  CHECK(report.Passed());
  CHECK(report.p50_ms > 0);
  CHECK(report.max_ms >= report.p99_ms);
  CHECK(nlohmann::json::parse(report.ToJson())["served"] == 20);
}

// Guards against reporting repeated runs of idempotent requests as duplicates.
TEST_CASE("an idempotent request may run twice") {
  FaultyDaemon faulty_daemon;
  CHECK(faulty_daemon.Run(FaultyDaemon::Fault::kTwice, true).Passed());
}

// Guards against a run that passes without having read the logs.
TEST_CASE("a worker's log that cannot be read fails the run") {
  FaultyDaemon faulty_daemon;
  HttpServer closed(faulty_daemon.loop.base(), [](const std::shared_ptr<HttpExchange>&) {});
  REQUIRE(closed.Listen(0));
  closed.Stop();
  faulty_daemon.extra_workers.push_back({"127.0.0.1", closed.port()});
  const LoadReport report = faulty_daemon.Run(FaultyDaemon::Fault::kNone);
  CHECK(report.served == 20);
  CHECK(report.unread_logs == 1);
  CHECK_FALSE(report.Passed());
}

}  // namespace
}  // namespace cranberryplank
