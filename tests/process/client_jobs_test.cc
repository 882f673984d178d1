// Clients whose calls are valid and who submit more than the schedule's owner can hold, against
// daemons with a store. The checks are those of the crowds.

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "client_crowd.h"
#include "measured_daemon.h"
#include "platform_under_test.h"

namespace cranberryplank {

namespace {

constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kDescriptors = 1'024;
constexpr const char* kSmallJob = R"("steps":[{"count":2,"cpu":100,"memMb":1,"estMs":10}])";
constexpr const char* kOk = "HTTP/1.1 200";
constexpr int kOrdinaryJob = 1'000'000;

DaemonOptions OptionsOf(const PlatformUnderTest& platform, int number) {
  return {kDescriptors, kMemoryMb, number + 1, platform.port(number)};
}

/// Checks that an ordinary job is accepted, and that its state is known.
void CheckServesJobs(MeasuredDaemon* daemon, int job = kOrdinaryJob) {
  const std::uint16_t port = daemon->port(Listener::kCallers);
  RequireAnswer(port, Submission(job, kSmallJob), kOk);
  RequireAnswer(port, StateRequest(job), kOk);
  daemon->CheckWithinLimits();
}

/// Requests that submit many jobs.
std::string Submissions(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    std::string request = Submission(i, kSmallJob);
    const std::string close = "Connection: close\r\n";
    text += request.erase(request.find(close), close.size());
  }
  return text;
}

}  // namespace

// Guards against one small valid call that takes all memory of each owner in turn, because the job
// is stored and the next owner loads it.
TEST_CASE("one job of any size that is accepted leaves its owner alive") {
  const std::string large_step = R"({"count":100000,"cpu":100,"memMb":1,"estMs":10})";
  std::string many_steps = R"("steps":[)" + large_step;
  for (int i = 1; i < 500; ++i) {
    many_steps += "," + large_step;
  }
  const std::string job = GENERATE_COPY(
      many_steps + "]",
      std::string(R"("steps":[{"count":5}],"times":2000000000,"startMs":1,"intervalMs":0)"),
      std::string(R"("steps":[{"count":5}],"times":2000000000,"startMs":1,"intervalMs":1)"),
      std::string(R"("steps":[{"count":5}],"times":2000000000,"startMs":1000000000000,)"
                  R"("intervalMs":1000000000000)"));
  const PlatformUnderTest platform(1);
  MeasuredDaemon daemon(OptionsOf(platform, 0));
  RequireAnswer(daemon.port(Listener::kCallers), Submission(1, kSmallJob), kOk);
  Call(daemon.port(Listener::kCallers), Submission(2, job));
  CheckServesJobs(&daemon);
  daemon.daemon().Signal(SIGKILL);
  daemon.daemon().WaitForEnd();
  daemon.daemon().Restart();
  CheckServesJobs(&daemon, kOrdinaryJob + 1);
}

// Guards against an owner that accepts jobs until its memory ends.
TEST_CASE("jobs beyond the owner's memory are refused and never run") {
  constexpr int kJobs = 400;
  const std::string job = R"("steps":[{"count":1000,"cpu":100,"memMb":1,"estMs":10}])";
  const PlatformUnderTest platform(1);
  MeasuredDaemon daemon(OptionsOf(platform, 0));
  const std::uint16_t port = daemon.port(Listener::kCallers);
  RequireAnswer(port, Submission(0, kSmallJob), kOk);
  for (int i = 1; i < kJobs; ++i) {
    const std::string answer = Call(port, Submission(i, job));
    REQUIRE(answer.starts_with("HTTP/1.1 "));
    if (answer.starts_with("HTTP/1.1 503")) {
      CHECK(answer.find("Retry-After: ") != std::string::npos);
    }
    daemon.Measure();
  }
  RequireAnswer(port, StateRequest(0), kOk);
  daemon.CheckWithinLimits();
}

// Guards against an owner that a crowd of valid calls at another daemon keeps from its work.
TEST_CASE("a crowd of valid calls leaves the daemon that it calls and the owner alive") {
  constexpr int kClients = 300;
  constexpr std::size_t kBytesEach = 40'000;
  const PlatformUnderTest platform(2);
  std::array daemons{std::make_unique<MeasuredDaemon>(OptionsOf(platform, 0)),
                     std::make_unique<MeasuredDaemon>(OptionsOf(platform, 1))};
  RequireAnswer(daemons[0]->port(Listener::kCallers), Submission(0, kSmallJob), kOk);
  const auto observe = [&] {
    daemons[0]->Measure();
    daemons[1]->Measure();
  };
  const std::string text = Submissions(200);
  for (const auto& called : daemons) {
    ClientCrowd crowd(called->port(Listener::kCallers), kClients);
    crowd.Send(text, kBytesEach, observe);
    CheckServesJobs(daemons[0].get());
    CheckServesJobs(daemons[1].get());
  }
}

// Guards against a stop or a reload that waits for clients which do not read, and against a daemon
// that cannot start again beside them.
TEST_CASE("a daemon beside a crowd reloads its settings, ends when asked to, and starts again") {
  constexpr int kClients = 300;
  constexpr std::size_t kBytesEach = 1'000'000;
  const PlatformUnderTest platform(1);
  MeasuredDaemon daemon(OptionsOf(platform, 0));
  RequireAnswer(daemon.port(Listener::kCallers), Submission(0, kSmallJob), kOk);
  ClientCrowd readers(daemon.port(Listener::kCallers), kClients);
  ClientCrowd incomplete(daemon.port(Listener::kCallers), kClients);
  readers.Send(Submissions(200), kBytesEach, daemon.Observer());
  incomplete.Send("POST /queue/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n" +
                      std::string(kBytesEach, 'x'),
                  kBytesEach, daemon.Observer());
  daemon.daemon().TouchSettings();
  daemon.daemon().Signal(SIGHUP);
  CheckServesJobs(&daemon);
  readers.ReadFromEach(1);
  daemon.daemon().Signal(SIGTERM);
  CHECK(daemon.daemon().WaitForEnd());
  daemon.daemon().Restart();
  CheckServesJobs(&daemon, kOrdinaryJob + 1);
}

}  // namespace cranberryplank
