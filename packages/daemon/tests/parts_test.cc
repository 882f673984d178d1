#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/ticket_table.h"
#include "cranberryplank/daemon/vm_list_tracker.h"
#include "cranberryplank/daemon/worker_table.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/support/event_queue.h"

namespace cranberryplank {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

Fleet FleetOf(int vms) {
  Fleet fleet;
  for (int i = 0; i < vms; ++i) {
    Vm vm;
    vm.id = "vm-" + std::to_string(i);
    vm.pool = "tone";
    vm.slots = 8;
    fleet.vms[vm.id] = vm;
  }
  return fleet;
}

// Guards against a start-by deadline that is later on the worker's clock than intended.
TEST_CASE("a deadline on the worker's clock is never later than the original") {
  WorkerTable table;
  table.SetFleet(FleetOf(1));
  CHECK_FALSE(table.StartByOf("vm-0", kStart).has_value());
  WorkerStatus status;
  status.boot_id = "boot-1";
  status.clock = Duration(5'000);
  table.OnStatus(kStart, "vm-0", status);
  const auto soon = table.StartByOf("vm-0", kStart + Duration(1'000));
  REQUIRE(soon.has_value());
  CHECK(soon->worker_clock <= Duration(6'000));
  CHECK(soon->worker_clock >= Duration(5'990));
  // After a minute, the drift between the two clocks must be subtracted.
  const auto later = table.StartByOf("vm-0", kStart + Duration(60'000));
  CHECK(later->worker_clock < Duration(65'000));
}

TEST_CASE("a worker that has not answered a probe takes no work") {
  WorkerTable table;
  table.SetFleet(FleetOf(1));
  CHECK(table.Views(kStart, "tone")[0].leaving);
  WorkerStatus status;
  status.clock = Duration(1);
  table.OnStatus(kStart, "vm-0", status);
  CHECK_FALSE(table.Views(kStart, "tone")[0].leaving);
  table.OnNoAnswer("vm-0");
  CHECK(table.Views(kStart, "tone")[0].leaving);
}

// Guards against views with an outdated load or state of a worker, since only the views of changed
// workers are updated.
TEST_CASE("the views of workers follow every change") {
  WorkerTable table;
  const Fleet fleet = FleetOf(5);
  table.SetFleet(fleet);
  SeededRandom random(3);
  TimePoint now = kStart;
  for (int i = 0; i < 2'000; ++i) {
    const std::string vm = "vm-" + std::to_string(random.Below(5));
    const auto refusal = static_cast<WorkerRefusal>(random.Below(4));
    switch (random.Below(7)) {
      case 0:
        table.TaskStarted(vm);
        break;
      case 1:
        table.TaskEnded(vm);
        break;
      case 2:
        table.OnNoAnswer(vm);
        break;
      case 3:
        table.OnRefusal(now, vm, refusal, Duration(random.Below(50)));
        break;
      case 4:
        table.SetLeavingVms({vm});
        break;
      case 5:
        table.SetRunningElsewhere("tone", static_cast<int>(random.Below(20)));
        break;
      default:
        table.OnStatus(now, vm, {"boot", Duration(1'000), 4, 0, random.Below(4) == 0});
    }
    now += Duration(random.Below(20));
    const auto views = table.Views(now, "tone");
    const std::vector<WorkerView> renewed(views.begin(), views.end());
    table.SetFleet(fleet);  // Updates all views.
    const auto expected = table.Views(now, "tone");
    REQUIRE(std::equal(renewed.begin(), renewed.end(), expected.begin(), expected.end(),
                       [](const WorkerView& a, const WorkerView& b) {
                         return a.vm == b.vm && a.running == b.running && a.leaving == b.leaving;
                       }));
  }
}

class ScriptedDirectory : public VmDirectory {
 public:
  explicit ScriptedDirectory(EventQueue* queue) : m_queue(queue) {}

  void List(std::string_view, ListCallback done) override {
    m_queue->Schedule(m_queue->Now(), [this, done](TimePoint now) {
      listings ? done(now, VmList{*listings, 0}, "") : done(now, std::nullopt, "no answer");
    });
  }

  void WatchIndex(std::string_view, std::uint64_t, Duration, IndexCallback) override {}

  std::optional<std::vector<VmListing>> listings;

 private:
  EventQueue* m_queue;
};

std::vector<VmListing> Listing(int vms, int leaving = 0) {
  std::vector<VmListing> listings;
  listings.reserve(static_cast<std::size_t>(vms));
  for (int i = 0; i < vms; ++i) {
    listings.push_back(VmListing{"vm-" + std::to_string(i), i < leaving});
  }
  return listings;
}

// Guards against a nearly empty VM list taking the whole fleet out of service.
TEST_CASE("a list that loses more than a third of its VMs at once is rejected") {
  EventQueue queue;
  ScriptedDirectory directory(&queue);
  VmListReader reader(&directory, "worker", Duration(100));
  VmListTracker tracker(&reader);
  const Fleet fleet = FleetOf(9);
  const auto read = [&](std::optional<std::vector<VmListing>> listings) {
    directory.listings = std::move(listings);
    queue.RunFor(Duration(150));
    reader.Tick(queue.Now());
    queue.RunFor(Duration(1));
    tracker.Tick(queue.Now(), fleet);
  };
  read(Listing(2));
  CHECK(tracker.leaving().empty());
  CHECK(tracker.rejected_lists() == 1);
  read(Listing(9, 2));
  CHECK(tracker.leaving().size() == 2);
  read(std::nullopt);
  CHECK(tracker.leaving().size() == 2);
  read(Listing(6));
  CHECK(tracker.leaving().size() == 3);
  read(Listing(1));
  CHECK(tracker.leaving().size() == 3);
}

CallerRequest Request(const std::string& ticket) {
  CallerRequest request;
  request.ticket = ticket;
  request.team = "smiths";
  request.body = "body";
  return request;
}

// Guards against unbounded memory use while callers request tickets.
TEST_CASE("a ticket table keeps no more tickets and replies than its limits") {
  SeededRandom random(1);
  TicketTable ticket_table("inc", TicketLimits{Duration(1'000), 10, 100}, &random);
  const auto tickets = ticket_table.Issue(kStart, "smiths", 30);
  CHECK(ticket_table.size() <= 10);
  CallerReply reply;
  REQUIRE(ticket_table.Admit(kStart, Request(tickets.front()), &reply, nullptr) ==
          TicketTable::Admission::kUnknown);
  for (std::size_t i = 20; i < 30; ++i) {
    REQUIRE(ticket_table.Admit(kStart, Request(tickets[i]), &reply, nullptr) ==
            TicketTable::Admission::kRun);
    CallerReply ended;
    ended.verdict = Verdict::kCompleted;
    ended.body = std::string(60, 'x');
    ticket_table.Finish(kStart, tickets[i], ended);
  }
  CHECK(ticket_table.Admit(kStart, Request(tickets[20]), &reply, nullptr) ==
        TicketTable::Admission::kUnknown);
  CHECK(ticket_table.Admit(kStart, Request(tickets[29]), &reply, nullptr) ==
        TicketTable::Admission::kReplay);
}

TEST_CASE("a ticket of a running request outlives its lifetime") {
  SeededRandom random(1);
  TicketTable ticket_table("inc", TicketLimits{Duration(1'000), 10, 100}, &random);
  const auto tickets = ticket_table.Issue(kStart, "smiths", 1);
  CallerReply reply;
  REQUIRE(ticket_table.Admit(kStart, Request(tickets[0]), &reply, nullptr) ==
          TicketTable::Admission::kRun);
  const TimePoint later = kStart + Duration(1'500);
  CHECK(ticket_table.Admit(later, Request(tickets[0]), &reply,
                           [](TimePoint, const CallerReply&) {}) == TicketTable::Admission::kWait);
}

TEST_CASE("metrics are rendered in the Prometheus text format") {
  Metrics metrics;
  metrics.Count("requests_total", "status=\"200\"");
  metrics.Count("requests_total", "status=\"200\"", 2);
  metrics.SetGauge("fresh", 1);
  metrics.RecordLatency(Metrics::Latency(1'500));
  const std::string text = metrics.Render();
  CHECK(text.find("# TYPE requests_total counter\nrequests_total{status=\"200\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("fresh 1\n") != std::string::npos);
  CHECK(text.find("cranberryplank_request_seconds_count 1\n") != std::string::npos);
  CHECK(text.find("cranberryplank_request_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
}

}  // namespace
}  // namespace cranberryplank
