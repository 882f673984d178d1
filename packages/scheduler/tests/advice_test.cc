#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/scheduler/scheduler.h"
#include "recording_link.h"

namespace cranberryplank {

namespace {

constexpr Duration kTicketLifetime{3'000};
/// Most workers that one call may name.
constexpr std::size_t kMaxNamed = 100;

std::string WorkerName(int number) { return fmt::format("worker-{:03}", number); }

/// An owner whose queue has a policy that allows only some workers of the pool.
struct AdviceFixture {
  RecordingLink link;
  Scheduler scheduler{SchedulerSettings{}, &link};
  TimePoint now{std::chrono::seconds(100)};
  std::int64_t clock_ms = 500'000;
  std::set<std::string> allowed;
  std::set<std::string> silent;                 ///< Workers that do not answer.
  std::map<std::string, ListedRun> running;     ///< By worker; one run at most.
  std::vector<std::vector<std::string>> asked;  ///< Workers that each call named.
  std::vector<std::string> started_on;

  AdviceFixture(int workers, const std::set<int>& allowed_numbers) {
    ClusterConfig config;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.max_attempts = 3;
    queue.advice = AdvicePolicy{Duration(20), Duration(2), kTicketLifetime};
    config.queues.push_back(queue);
    config.pools["pool"] = {"pool", false, false};
    scheduler.SetConfig(At(), std::make_shared<const ClusterConfig>(config));
    for (int i = 0; i < workers; ++i) {
      WorkerInfo info;
      info.id = WorkerName(i);
      info.pool = "pool";
      info.capacity = {1'000, 1'000, 0};
      info.started_unix_ms = 1;
      scheduler.SetWorker(At(), info);
    }
    for (const int number : allowed_numbers) {
      allowed.insert(WorkerName(number));
    }
    Takeover takeover;
    takeover.epoch = 5;
    scheduler.Begin(At(), takeover);
    Run(Duration(300));
  }

  Now At() const { return {now, 1'000'000}; }

  void Submit(int tasks, bool gang) {
    JobSpec spec;
    spec.id = "job";
    spec.queue = "queue";
    spec.pool = "pool";
    StepSpec step;
    step.count = tasks;
    step.per_task = {1'000, 100, 0};
    step.estimate_ms = 60'000;
    step.gang = gang;
    spec.steps.push_back(step);
    scheduler.Submit(At(), spec, [](bool) {});
  }

  void Tick() {
    now += Duration(50);
    clock_ms += 50;
    scheduler.SetAuthority({now, now + Duration(8'000)});
    scheduler.Tick(At());
    if (const auto workers = scheduler.WorkersToRecord()) {
      scheduler.OnWorkersRecorded(*workers);
    }
    scheduler.OnQueuesStored(scheduler.CollectQueues(29));
    scheduler.OnStored(At(), scheduler.CollectChanges(now, 29));
    AnswerCalls();
    AnswerStarts();
    AnswerRenewals();
  }

  void Run(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      Tick();
    }
  }

  std::size_t AskedInAll() const {
    std::size_t count = 0;
    for (const std::vector<std::string>& call : asked) {
      count += call.size();
    }
    return count;
  }

 private:
  void AnswerCalls() {
    for (const AdviceOrder& order : std::exchange(link.calls, {})) {
      CHECK(order.workers.size() <= kMaxNamed);
      asked.push_back(order.workers);
      AdviceReply reply;
      reply.answered = true;
      reply.lifetime = kTicketLifetime;
      for (const std::string& worker : order.workers) {
        if (allowed.contains(worker)) {
          reply.tickets.push_back({worker, "ticket"});
        }
      }
      scheduler.OnAdvice(now, order, reply);
    }
  }

  void AnswerStarts() {
    for (const auto& [worker, order] : std::exchange(link.starts, {})) {
      CHECK(allowed.contains(worker));
      CHECK(order.ticket == "ticket");
      started_on.push_back(worker);
      running[worker].task = order.task.Name();
      running[worker].run = order.run;
      scheduler.OnStart(now, worker, order, {CallOutcome::kOk, clock_ms});
    }
  }

  void AnswerRenewals() {
    for (const auto& [worker, order] : std::exchange(link.renewals, {})) {
      LeaseRenewalReply reply;
      reply.call = order.call;
      if (!silent.contains(worker)) {
        reply.outcome = CallOutcome::kOk;
        reply.clock_ms = clock_ms;
        reply.started_unix_ms = 1;
        if (const auto run = running.find(worker); run != running.end()) {
          reply.running.push_back(run->second);
        }
      }
      scheduler.OnLeaseRenewal(now, worker, reply);
    }
  }
};

}  // namespace

// Guards against an accepted job that never runs again (review/4): the advice service was asked
// about the first thirty workers only, and the one of them that may run the step was lost.
TEST_CASE("a step whose worker is lost is started on an allowed worker that was not asked about") {
  AdviceFixture fixture(40, {5, 34, 35, 36, 37, 38, 39});
  fixture.Submit(1, false);
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.started_on.size() == 1);
  const std::string lost = fixture.started_on.front();
  fixture.silent.insert(lost);
  fixture.running.erase(lost);
  fixture.Run(Duration(8'000));
  REQUIRE(fixture.started_on.size() == 2);
  CHECK(fixture.started_on.back() != lost);
}

// Guards against the same where no worker of the first call is allowed, in a pool that is larger
// than one call may name.
TEST_CASE("all workers of a large pool are asked about until one is allowed") {
  AdviceFixture fixture(250, {249});
  fixture.Submit(1, false);
  fixture.Run(Duration(3'000));
  CHECK(fixture.started_on == std::vector{WorkerName(249)});
}

// Guards against a gang that never starts because the first call grants fewer workers than it has
// members.
TEST_CASE("further workers are asked about until a whole gang can be placed") {
  AdviceFixture fixture(80, {2, 40, 79});
  fixture.Submit(3, true);
  fixture.Run(Duration(3'000));
  CHECK(fixture.started_on.size() == 3);
}

// Guards against tasks that wait for the workers of the first call, although others are allowed and
// idle.
TEST_CASE("further workers are asked about while tasks of a step wait") {
  AdviceFixture fixture(80, {2, 40, 79});
  fixture.Submit(5, false);
  fixture.Run(Duration(3'000));
  CHECK(fixture.started_on.size() == 3);
}

// Guards against calls that ask again and again about workers that may not run the step. The
// callers pay for each, and the service handles one call at a time.
TEST_CASE("workers that were not granted are not asked about again") {
  AdviceFixture fixture(100, {});
  fixture.Submit(1, false);
  fixture.Run(Duration(10'000));
  CHECK(fixture.AskedInAll() == 100);
}

// Guards against a refused ticket after which all workers are asked about anew.
TEST_CASE("after a refused ticket only its worker is asked about again") {
  AdviceFixture fixture(20, {7});
  fixture.Submit(1, false);
  while (fixture.link.starts.empty()) {
    fixture.now += Duration(50);
    fixture.scheduler.SetAuthority({fixture.now, fixture.now + Duration(8'000)});
    fixture.scheduler.Tick(fixture.At());
    fixture.scheduler.OnQueuesStored(fixture.scheduler.CollectQueues(29));
    fixture.scheduler.OnStored(fixture.At(), fixture.scheduler.CollectChanges(fixture.now, 29));
    for (const AdviceOrder& order : std::exchange(fixture.link.calls, {})) {
      fixture.scheduler.OnAdvice(fixture.now, order, {true, {{WorkerName(7), "old"}}, Duration(0)});
    }
  }
  const auto [worker, order] = std::exchange(fixture.link.starts, {}).front();
  fixture.scheduler.OnStart(fixture.now, worker, order, {CallOutcome::kBadTicket, 0});
  fixture.Run(Duration(500));
  REQUIRE(fixture.asked.size() == 1);
  CHECK(fixture.asked.front() == std::vector{WorkerName(7)});
  CHECK(fixture.started_on == std::vector{WorkerName(7)});
}

}  // namespace cranberryplank
