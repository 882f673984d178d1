#include "cranberryplank/daemon/request_router.h"

#include <catch2/catch.hpp>

#include "router_fixture.h"

namespace cranberryplank {
namespace {

constexpr const char* kQuick = R"({"run_ms":50,"reply":"A flat"})";
constexpr const char* kSlow = R"({"run_ms":3000,"reply":"A flat"})";

std::string TicketOf(RouterFixture* fixture, int node) {
  Refusal refusal;
  const auto tickets = fixture->node(node).router->IssueTickets(
      fixture->queue().Now(), Sha256("smiths-key").hex, 1, &refusal);
  REQUIRE(tickets.has_value());
  return tickets->front();
}

TEST_CASE("a request is run once and its complete answer is returned") {
  RouterFixture fixture;
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  fixture.queue().RunFor(Duration(1'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kCompleted);
  CHECK((*reply)->body.find("A flat") != std::string::npos);
  CHECK((*reply)->task_id == fixture.last_task());
  CHECK(fixture.workers().Starts(fixture.last_task()) == 1);
}

// Guards against accepting a request for a team without that team's key.
TEST_CASE("a request without a valid key of the queue's teams is refused") {
  RouterFixture fixture;
  const auto none = fixture.Send(0, RouterFixture::Request(kQuick, ""));
  const auto wrong = fixture.Send(0, RouterFixture::Request(kQuick, "guess"));
  const auto other = fixture.Send(0, RouterFixture::Request(kQuick, "clerks-key"));
  CallerRequest unknown = RouterFixture::Request(kQuick);
  unknown.queue = "no-such-queue";
  const auto missing = fixture.Send(0, unknown);
  CHECK((*none)->status == 401);
  CHECK((*wrong)->status == 401);
  CHECK((*other)->status == 403);
  CHECK((*missing)->status == 404);
  CHECK((*other)->verdict == Verdict::kNotRun);
}

TEST_CASE("a queue open to all accepts requests without a key") {
  RouterFixture fixture;
  CallerRequest request = RouterFixture::Request(kQuick, "");
  request.queue = "open";
  const auto reply = fixture.Send(0, request);
  fixture.queue().RunFor(Duration(1'000));
  CHECK((*reply)->verdict == Verdict::kCompleted);
}

// Guards against running a request whose key was withdrawn while it waited.
TEST_CASE("a waiting request is refused when its key is withdrawn") {
  const bool rule = GENERATE(true, false);
  RouterRules rules;
  rules.check_key_before_dispatch = rule;
  RouterFixture fixture(1, 2, rules);
  fixture.node(0).slots.Set("smiths", 0);
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  fixture.queue().RunFor(Duration(100));
  REQUIRE_FALSE(reply->has_value());
  // The key is denied but still in the configuration, so only the check before dispatch can
  // refuse the request.
  fixture.node(0).denied.insert(Sha256("smiths-key").hex);
  fixture.node(0).slots.Set("smiths", 1);
  fixture.queue().RunFor(Duration(1'000));
  REQUIRE(reply->has_value());
  const bool refused = (*reply)->verdict == Verdict::kNotRun && (*reply)->status == 401;
  CHECK(refused == rule);
  CHECK(fixture.workers().Starts(fixture.last_task()) == (rule ? 0 : 1));
}

// Guards against running a request a second time after its answer was lost.
TEST_CASE("a request that is not idempotent is not run again after a lost answer") {
  const bool rule = GENERATE(true, false);
  RouterRules rules;
  rules.never_rerun_after_may_have_run = rule;
  RouterFixture fixture(1, 2, rules);
  for (int i = 0; i < 20; ++i) {
    // First attempts fill the retry budget, so that only the rule prevents a second run.
    const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
    fixture.queue().RunFor(Duration(200));
  }
  fixture.faults(0).lose_answers = 1;
  fixture.faults(1).lose_answers = 1;
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  const std::string task = fixture.last_task();
  fixture.queue().RunFor(Duration(9'000));
  REQUIRE(reply->has_value());
  int starts = 0;
  for (int i = 0; i < 2; ++i) {
    for (const auto& [id, logged] : fixture.worker(i).log()) {
      starts += id.starts_with(task) ? logged.starts : 0;
    }
  }
  CHECK((starts == 1) == rule);
  if (rule) {
    CHECK((*reply)->verdict == Verdict::kMayHaveRun);
    CHECK((*reply)->status == 502);
  }
}

TEST_CASE("an idempotent request is run again after a lost answer") {
  RouterFixture fixture;
  for (int i = 0; i < 20; ++i) {
    const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
    fixture.queue().RunFor(Duration(200));
  }
  fixture.faults(0).lose_answers = 1;
  fixture.faults(1).lose_answers = 1;
  CallerRequest request = RouterFixture::Request(kQuick);
  request.idempotent = true;
  const auto reply = fixture.Send(0, request);
  fixture.queue().RunFor(Duration(9'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kCompleted);
}

// Guards against the verdict "not run" for a request that the worker may have received.
TEST_CASE("a request whose start is delayed past its deadline is answered 'may have run'") {
  RouterFixture fixture(1, 1);
  fixture.faults(0).request_delay = Duration(60'000);
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick), Duration(1'000));
  fixture.queue().RunFor(Duration(30'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kMayHaveRun);
  fixture.queue().RunFor(Duration(60'000));
  CHECK(fixture.workers().Starts(fixture.last_task()) == 0);
}

// Guards against a start that is sent late by a paused daemon or delivered late by the network.
TEST_CASE(
    "a worker refuses a start after the daemon's configuration ceases to be confirmed as current") {
  RouterFixture fixture(1, 1);
  fixture.faults(0).request_delay = Duration(2'500);
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick), Duration(4'000));
  fixture.queue().RunFor(Duration(10'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kNotRun);
  CHECK(fixture.workers().Starts(fixture.last_task()) == 0);
}

// Guards against dispatching with a configuration that may be out of date.
TEST_CASE("a daemon whose configuration is not confirmed as current refuses and starts nothing") {
  RouterFixture fixture;
  fixture.node(0).confirming = false;
  fixture.queue().RunFor(Duration(3'000));
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  REQUIRE(reply->has_value());
  CHECK((*reply)->status == 503);
  CHECK((*reply)->verdict == Verdict::kNotRun);
  CHECK((*reply)->retry_after.has_value());
}

// Guards against a team exceeding its limit while the outcome of a task is unknown.
TEST_CASE("a slot stays taken until its task can no longer run") {
  const bool rule = GENERATE(true, false);
  RouterRules rules;
  rules.keep_uncertain_slots = rule;
  RouterFixture fixture(1, 2, rules);
  fixture.node(0).slots.Set("smiths", 1);
  fixture.faults(0).lose_answers = 1;
  fixture.faults(1).lose_answers = 1;
  const auto lost =
      fixture.Send(0, RouterFixture::Request(R"({"run_ms":3000,"reply":"x"})"), Duration(500));
  fixture.queue().RunFor(Duration(700));
  CHECK((fixture.node(0).slots.FreeOf("smiths") == 0) == rule);
  fixture.queue().RunFor(Duration(10'000));
  CHECK(fixture.node(0).slots.FreeOf("smiths") == 1);
  REQUIRE(lost->has_value());
  CHECK((*lost)->verdict == Verdict::kMayHaveRun);
}

// Guards against sending an answer to the wrong caller.
TEST_CASE("swapped answers are not passed on") {
  RouterFixture fixture(1, 1);
  fixture.faults(0).swap_answers = 2;
  const auto first = fixture.Send(0, RouterFixture::Request(R"({"run_ms":50,"reply":"one"})"));
  const auto second = fixture.Send(0, RouterFixture::Request(R"({"run_ms":50,"reply":"two"})"));
  fixture.queue().RunFor(Duration(9'000));
  CHECK((*first)->verdict == Verdict::kMayHaveRun);
  CHECK((*second)->verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a truncated answer is not passed on") {
  RouterFixture fixture(1, 1);
  fixture.faults(0).truncate_answers = 1;
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  fixture.queue().RunFor(Duration(9'000));
  CHECK((*reply)->verdict == Verdict::kMayHaveRun);
}

// Guards against sending requests to a worker that reports that it drains.
TEST_CASE("a request that a draining worker refuses runs on another worker") {
  RouterFixture fixture;
  fixture.worker(0).SetDraining(true);
  for (int i = 0; i < 6; ++i) {
    const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
    fixture.queue().RunFor(Duration(300));
    CHECK((*reply)->verdict == Verdict::kCompleted);
  }
  CHECK(fixture.worker(0).log().empty());
}

TEST_CASE("a VM that the list shows as leaving receives no new work") {
  RouterFixture fixture;
  fixture.node(0).router->SetLeavingVms({"vm-0"});
  fixture.queue().RunFor(Duration(300));
  for (int i = 0; i < 6; ++i) {
    const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
    fixture.queue().RunFor(Duration(300));
    CHECK((*reply)->verdict == Verdict::kCompleted);
  }
  CHECK(fixture.worker(0).log().empty());
}

// Guards against using a leaving VM that only another daemon's VM list shows as leaving.
TEST_CASE("a VM that a peer reports as leaving receives no new work") {
  RouterFixture fixture(2);
  fixture.node(1).router->SetLeavingVms({"vm-0"});
  fixture.queue().RunFor(Duration(1'000));
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  fixture.queue().RunFor(Duration(500));
  CHECK((*reply)->verdict == Verdict::kCompleted);
  CHECK(fixture.worker(0).log().empty());
}

// Guards against a worker that fails tasks immediately and therefore attracts most requests.
TEST_CASE("a worker that fails all it starts is quarantined") {
  RouterFixture fixture(1, 4);
  fixture.worker(0).SetFailAll(true);
  int completed = 0;
  for (int i = 0; i < 200; ++i) {
    CallerRequest request = RouterFixture::Request(kQuick);
    request.idempotent = true;
    const auto reply = fixture.Send(0, request);
    fixture.queue().RunFor(Duration(100));
    completed += reply->has_value() && (*reply)->status == 200 ? 1 : 0;
  }
  CHECK(completed >= 190);
  CHECK(fixture.node(0).router->runner().health().Quarantined("vm-0"));
}

/// Returns the number of requests that fail because one worker fails every task, with requests sent
/// to six daemons in turn.
int LostToFailingWorker(bool share) {
  RouterFixture fixture(6, 6);
  for (auto& node : fixture.nodes()) {
    node->share_suspects = share;
  }
  for (int round = 0; round < 20; ++round) {
    // With completed requests, each daemon attributes later failures to the worker instead of the
    // kind of request.
    fixture.Send(round % 6, RouterFixture::Request(kQuick));
    fixture.queue().RunFor(Duration(100));
  }
  fixture.worker(0).SetFailAll(true);
  std::vector<std::shared_ptr<std::optional<CallerReply>>> replies;
  for (int i = 0; i < 300; ++i) {
    replies.push_back(fixture.Send(i % 6, RouterFixture::Request(kQuick)));
    fixture.queue().RunFor(Duration(100));
  }
  return static_cast<int>(std::count_if(replies.begin(), replies.end(), [](const auto& reply) {
    return !reply->has_value() || (*reply)->status != 200;
  }));
}

// Guards against each daemon separately losing requests to a worker that another daemon has already
// found to fail.
TEST_CASE("daemons that share suspects lose fewer requests to a failing worker") {
  const int shared = LostToFailingWorker(true);
  const int alone = LostToFailingWorker(false);
  CAPTURE(shared, alone);
  CHECK(alone >= 4);
  CHECK(shared * 3 <= alone);
}

// Guards against the move planner counting a failing worker as capacity because the daemon that
// plans the moves has itself never used that worker, and against a single daemon taking a worker
// out of service.
TEST_CASE("a worker is out of service if one daemon holds it in quarantine and most suspect it") {
  RouterFixture fixture(3, 4);
  const bool share = GENERATE(true, false);
  for (auto& node : fixture.nodes()) {
    node->share_suspects = share;
  }
  fixture.worker(0).SetFailAll(true);
  CallerRequest request = RouterFixture::Request(kQuick);
  request.idempotent = true;
  for (int i = 0; i < 100; ++i) {
    fixture.Send(0, request);
    fixture.queue().RunFor(Duration(100));
  }
  const auto out_of_service = [&](int node) {
    return fixture.node(node).router->suspects().OutOfService(fixture.queue().Now(), "vm-0");
  };
  REQUIRE(fixture.node(0).router->runner().health().Quarantined("vm-0"));
  CHECK(out_of_service(1) == share);
  CHECK(out_of_service(0) == share);
  CHECK_FALSE(fixture.node(1).router->suspects().OutOfService(fixture.queue().Now(), "vm-1"));
}

TEST_CASE("a request waits at most until its deadline and is then refused as 'not run'") {
  RouterFixture fixture;
  fixture.node(0).slots.Set("smiths", 0);
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick), Duration(300));
  fixture.queue().RunFor(Duration(1'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kNotRun);
  CHECK((*reply)->status == 503);
}

TEST_CASE("a full queue refuses with a retry delay") {
  RouterFixture fixture;
  fixture.node(0).slots.Set("smiths", 0);
  std::vector<std::shared_ptr<std::optional<CallerReply>>> replies;
  replies.reserve(RouterFixture::kMaxWaiting + 1);
  for (int i = 0; i < RouterFixture::kMaxWaiting + 1; ++i) {
    replies.push_back(fixture.Send(0, RouterFixture::Request(kQuick)));
  }
  REQUIRE(replies.back()->has_value());
  CHECK((*replies.back())->status == 429);
  CHECK((*replies.back())->retry_after.has_value());
  CHECK_FALSE(replies.front()->has_value());
}

// Guards against losing the retry delay of a refusal by the daemon to which a request was
// forwarded, which would make the caller retry at once.
TEST_CASE("a refusal by the daemon that received a forwarded request keeps its retry delay") {
  RouterFixture fixture(2);
  CallerRequest request = RouterFixture::Request(kQuick);
  request.ticket = TicketOf(&fixture, 0);
  for (int i = 0; i < 2; ++i) {
    fixture.node(i).slots.Set("smiths", 0);
  }
  fixture.queue().RunFor(Duration(500));
  for (int i = 0; i < RouterFixture::kMaxWaiting; ++i) {
    fixture.Send(0, RouterFixture::Request(kQuick));
  }
  const auto reply = fixture.Send(1, request);
  fixture.queue().RunFor(Duration(100));
  REQUIRE(reply->has_value());
  CHECK((*reply)->status == 429);
  CHECK((*reply)->retry_after.has_value());
}

TEST_CASE("a cancelled request does not run if it still waits") {
  RouterFixture fixture;
  fixture.node(0).slots.Set("smiths", 0);
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  CHECK(fixture.node(0).router->Cancel(fixture.queue().Now(), fixture.last_task()));
  fixture.node(0).slots.Set("smiths", 4);
  fixture.queue().RunFor(Duration(1'000));
  CHECK((*reply)->verdict == Verdict::kNotRun);
  CHECK(fixture.workers().Starts(fixture.last_task()) == 0);
}

// Guards against the verdict "not run" for a forwarded request that arrives twice and runs.
TEST_CASE("a second request with the task id of a running request is answered 'may have run'") {
  RouterFixture fixture;
  CallerRequest request = RouterFixture::Request(kSlow);
  request.task_id = "forwarded";
  const auto first = fixture.Send(0, request);
  const auto second = fixture.Send(0, request);
  REQUIRE(second->has_value());
  CHECK((*second)->verdict == Verdict::kMayHaveRun);
  fixture.queue().RunFor(Duration(4'000));
  CHECK((*first)->verdict == Verdict::kCompleted);
  CHECK(fixture.workers().Starts("forwarded") == 1);
}

// Guards against keeping a team below its limit because another daemon holds its free slots.
TEST_CASE("a request is forwarded to a daemon that holds a free slot") {
  RouterFixture fixture(2);
  fixture.node(0).slots.Set("smiths", 0);
  fixture.queue().RunFor(Duration(1'000));
  const auto reply = fixture.Send(0, RouterFixture::Request(kQuick));
  fixture.queue().RunFor(Duration(2'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kCompleted);
  CHECK(fixture.workers().Starts(fixture.last_task()) == 1);
}

TEST_CASE("a forwarded request whose daemon is lost is answered 'may have run'") {
  RouterFixture fixture(2);
  fixture.node(0).slots.Set("smiths", 0);
  fixture.queue().RunFor(Duration(1'000));
  const auto reply = fixture.Send(0, RouterFixture::Request(kSlow));
  fixture.queue().RunFor(Duration(500));
  fixture.node(0).links.signal_lost().emit(fixture.queue().Now(), "d1");
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kMayHaveRun);
}

// Guards against a caller's retry running a request twice, such as a payment.
TEST_CASE("a retry with the same ticket receives the same outcome from any daemon") {
  RouterFixture fixture(2);
  CallerRequest request = RouterFixture::Request(kQuick);
  request.ticket = TicketOf(&fixture, 0);
  const auto first = fixture.Send(0, request);
  const auto while_running = fixture.Send(1, request);
  fixture.queue().RunFor(Duration(1'000));
  const auto later = fixture.Send(1, request);
  fixture.queue().RunFor(Duration(1'000));
  for (const auto& reply : {first, while_running, later}) {
    REQUIRE(reply->has_value());
    CHECK((*reply)->verdict == Verdict::kCompleted);
    CHECK((*reply)->body == (*first)->body);
  }
  CHECK(fixture.worker(0).log().size() + fixture.worker(1).log().size() == 1);
}

TEST_CASE(
    "a request with a ticket of a missing daemon is answered 'may have run' and never started") {
  RouterFixture fixture(2);
  CallerRequest request = RouterFixture::Request(kQuick);
  request.ticket = "gone." + std::string(32, '0');
  const auto reply = fixture.Send(0, request);
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kMayHaveRun);
  fixture.queue().RunFor(Duration(1'000));
  CHECK(fixture.worker(0).log().empty());
  CHECK(fixture.worker(1).log().empty());
}

TEST_CASE("a ticket can be used again after the verdict 'not run'") {
  RouterFixture fixture;
  fixture.node(0).slots.Set("smiths", 0);
  CallerRequest request = RouterFixture::Request(kQuick);
  request.ticket = TicketOf(&fixture, 0);
  const auto expired = fixture.Send(0, request, Duration(200));
  fixture.queue().RunFor(Duration(500));
  CHECK((*expired)->verdict == Verdict::kNotRun);
  fixture.node(0).slots.Set("smiths", 1);
  const auto again = fixture.Send(0, request);
  fixture.queue().RunFor(Duration(1'000));
  CHECK((*again)->verdict == Verdict::kCompleted);
}

TEST_CASE("a ticket cannot be used for another request") {
  RouterFixture fixture;
  CallerRequest request = RouterFixture::Request(kQuick);
  request.ticket = TicketOf(&fixture, 0);
  const auto first = fixture.Send(0, request);
  fixture.queue().RunFor(Duration(500));
  request.body = kSlow;
  const auto other = fixture.Send(0, request);
  REQUIRE(other->has_value());
  CHECK((*other)->verdict == Verdict::kMayHaveRun);
  CHECK(fixture.worker(0).log().size() + fixture.worker(1).log().size() == 1);
}

TEST_CASE("a daemon that shuts down refuses new requests and finishes accepted ones") {
  RouterFixture fixture;
  const auto accepted = fixture.Send(0, RouterFixture::Request(kSlow));
  fixture.node(0).router->BeginShutdown();
  const auto late = fixture.Send(0, RouterFixture::Request(kQuick));
  CHECK((*late)->status == 503);
  CHECK_FALSE(fixture.node(0).router->Idle());
  fixture.queue().RunFor(Duration(4'000));
  CHECK((*accepted)->verdict == Verdict::kCompleted);
  CHECK(fixture.node(0).router->Idle());
}

// Guards against returning a worker's checkpoint reply as the task's answer.
TEST_CASE("a checkpointed request is not answered as completed") {
  RouterFixture fixture;
  const auto reply = fixture.Send(0, RouterFixture::Request(kSlow));
  fixture.queue().RunFor(Duration(200));
  fixture.node(0).router->runner().CheckpointTeam("smiths", 1);
  fixture.queue().RunFor(Duration(1'000));
  REQUIRE(reply->has_value());
  CHECK((*reply)->verdict == Verdict::kMayHaveRun);
  CHECK(fixture.node(0).slots.FreeOf("smiths") == 16);
}

}  // namespace
}  // namespace cranberryplank
