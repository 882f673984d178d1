#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "router_fixture.h"

namespace cranberryplank {
namespace {

constexpr int kSlotsPerDaemon = 4;

/// State of a request at daemon d0 when the fault is injected.
struct Step {
  std::string name;
  Duration after_sending;     ///< Time from sending to the fault.
  bool waiting = false;       ///< No slot is free until the fault has ended.
  bool forwarded = false;     ///< Daemon d0 holds no slot, so d1 runs the request.
  bool with_ticket = false;   ///< The caller retries through d1 after the fault.
  bool slow_network = false;  ///< The start takes 1 s to reach the worker.
};

/// Fault that is injected and ends after 2.5 s.
struct Fault {
  std::string name;
  std::function<void(RouterFixture*)> inject;
  std::function<void(RouterFixture*)> recover;
};

void ForWorkers(RouterFixture* fixture, const std::function<void(int)>& apply) {
  for (int i = 0; i < 2; ++i) {
    apply(i);
  }
  fixture->queue().RunFor(Duration(1));
}

std::vector<Step> Steps() {
  return {{"waits", Duration(100), true},
          {"start on its way", Duration(100), false, false, false, true},
          {"runs", Duration(200)},
          {"is forwarded", Duration(300), false, true},
          {"runs with a ticket", Duration(200), false, false, true}};
}

std::vector<Fault> Faults() {
  const auto nothing = [](RouterFixture*) {};
  return {
      {"worker crashes",
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->worker(i).Crash(); }); }, nothing},
      {"worker paused",
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->worker(i).process().Pause(); }); },
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->worker(i).process().Resume(); }); }},
      {"worker cut off",
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->faults(i).silent = true; }); },
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->faults(i).silent = false; }); }},
      {"answer lost",
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->faults(i).lose_answers = 3; }); },
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->faults(i).lose_answers = 0; }); }},
      {"worker drains",
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->worker(i).SetDraining(true); }); },
       [](RouterFixture* f) { ForWorkers(f, [f](int i) { f->worker(i).SetDraining(false); }); }},
      {"daemon paused", [](RouterFixture* f) { f->node(0).process.Pause(); },
       [](RouterFixture* f) { f->node(0).process.Resume(); }},
      {"other daemon paused", [](RouterFixture* f) { f->node(1).process.Pause(); },
       [](RouterFixture* f) { f->node(1).process.Resume(); }},
      {"daemons cut off from each other",
       [](RouterFixture* f) { f->network().partitioned = {"d1"}; },
       [](RouterFixture* f) { f->network().partitioned.clear(); }},
      {"store and peers out of reach",
       [](RouterFixture* f) { f->node(0).confirming = f->node(1).confirming = false; },
       [](RouterFixture* f) { f->node(0).confirming = f->node(1).confirming = true; }},
      {"key withdrawn",
       [](RouterFixture* f) {
         f->config().keys.erase(Sha256("smiths-key").hex);
         f->Apply();
       },
       nothing},
      {"queue removed",
       [](RouterFixture* f) {
         f->config().queues.erase("tone");
         f->Apply();
       },
       nothing},
  };
}

int Starts(RouterFixture* fixture) {
  int starts = 0;
  ForWorkers(fixture, [&](int i) {
    for (const auto& [id, logged] : fixture->worker(i).log()) {
      starts += logged.starts;
    }
  });
  return starts;
}

std::string TicketOf(RouterFixture* fixture) {
  Refusal refusal;
  return fixture->node(0)
      .router->IssueTickets(fixture->queue().Now(), Sha256("smiths-key").hex, 1, &refusal)
      ->front();
}

// Combines every step of a request with every fault. The request runs at most once, a verdict of
// "not run" or "completed" agrees with the workers' logs, and each caller gets one reply.
TEST_CASE("request fault matrix") {
  for (const Step& step : Steps()) {
    for (const Fault& fault : Faults()) {
      DYNAMIC_SECTION("a request that " << step.name << ", " << fault.name) {
        RouterFixture fixture(2);
        fixture.node(0).slots.Set("smiths", step.waiting || step.forwarded ? 0 : kSlotsPerDaemon);
        fixture.node(1).slots.Set("smiths", step.waiting ? 0 : kSlotsPerDaemon);
        fixture.queue().RunFor(Duration(1'000));
        if (step.slow_network) {
          ForWorkers(&fixture, [&](int i) { fixture.faults(i).request_delay = Duration(1'000); });
        }
        CallerRequest request = RouterFixture::Request(R"({"run_ms":1500,"reply":"A flat"})");
        if (step.with_ticket) {
          request.ticket = TicketOf(&fixture);
        }
        std::vector<std::shared_ptr<std::optional<CallerReply>>> replies;
        replies.push_back(fixture.Send(0, request));
        fixture.queue().RunFor(step.after_sending);
        fault.inject(&fixture);
        fixture.queue().RunFor(Duration(2'500));
        fault.recover(&fixture);
        fixture.node(0).slots.Set("smiths", kSlotsPerDaemon);
        if (step.with_ticket) {
          replies.push_back(fixture.Send(1, request));
        }
        fixture.queue().RunFor(Duration(30'000));
        const int starts = Starts(&fixture);
        CHECK(starts <= 1);
        for (const auto& reply : replies) {
          REQUIRE(reply->has_value());
          if ((*reply)->verdict == Verdict::kNotRun) {
            CHECK(starts == 0);
          }
          if ((*reply)->verdict == Verdict::kCompleted) {
            CHECK(starts == 1);
            CHECK((*reply)->body.find("A flat") != std::string::npos);
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace cranberryplank
