#include <event2/event.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/entry/job_service.h"
#include "cranberryplank/jobs/job_codec.h"
#include "cranberryplank/platform/http_client.h"
#include "daemon_fixture.h"
#include "fake_key_value_store.h"

namespace cranberryplank {

namespace {

/// The path of one daemon to the store, which can be cut.
class CuttableStore : public KeyValueStore {
 public:
  explicit CuttableStore(FakeKeyValueStore* store) : m_store(store) {}

  void Get(std::string_view key, ReadCallback done) override {
    if (!cut) {
      m_store->Get(key, std::move(done));
    }
  }
  void Range(std::string_view prefix, std::string_view after, ReadCallback done) override {
    if (!cut) {
      m_store->Range(prefix, after, std::move(done));
    }
  }
  void Watch(std::string_view, std::uint64_t revision, Duration wait, ReadCallback done) override {
    m_watches.push_back({Clock::now() + wait, revision, std::move(done)});
  }
  void Commit(const KvTransaction& transaction, CommitCallback done) override {
    if (!cut) {
      m_store->Commit(transaction, std::move(done));
    }
  }

  /// Ends the watches whose wait is over, without a change.
  void Deliver(TimePoint now) {
    for (auto& watch : std::exchange(m_watches, {})) {
      if (cut || now < watch.due) {
        m_watches.push_back(std::move(watch));
        continue;
      }
      KvReadReply reply;
      reply.status = KvStatus::kOk;
      reply.revision = watch.revision;
      watch.done(now, reply);
    }
  }

  bool cut = false;

 private:
  struct OpenWatch {
    TimePoint due{};
    std::uint64_t revision = 0;
    ReadCallback done;
  };

  FakeKeyValueStore* m_store;
  std::vector<OpenWatch> m_watches;
};

/// A link on which the worker "servers/near" answers at once.
class AnsweringLink : public KeepingLink {
 public:
  void SetEvents(WorkerEvents* events) override { m_events = events; }

  void Answer(TimePoint now) {
    for (const auto& [id, order] : std::exchange(renewals, {})) {
      if (m_events != nullptr && id == "servers/near") {
        LeaseRenewalReply reply;
        reply.call = order.call;
        reply.outcome = CallOutcome::kOk;
        reply.clock_ms = std::chrono::duration_cast<Duration>(now.time_since_epoch()).count();
        m_events->OnLeaseRenewal(now, id, reply);
      }
    }
  }

 private:
  WorkerEvents* m_events = nullptr;
};

struct Daemon {
  explicit Daemon(FakeKeyValueStore* state) : store(state) {}

  CuttableStore store;
  AnsweringLink link;
  std::unique_ptr<JobService> service;
};

/// Three daemons with one store.
class OwnerChainFixture {
 public:
  OwnerChainFixture()
      : m_base(event_base_new(), &event_base_free), m_http(m_base.get(), HttpClientLimits{}) {
    m_store.Put("servers/near", "registered");
    AddDaemon("first", 1);
    RunUntil([&] { return OwnerInStore() == "first"; });
    AddDaemon("second", 1);
    AddDaemon("third", 0.6);
    RunFor(Duration(800));  // The others call the owner.
  }

  Daemon& daemon(std::size_t number) { return *m_daemons.at(number); }
  /// Returns the number of the daemon that owns the schedule according to the store.
  std::size_t OwnerNumber() const {
    const std::string owner = OwnerInStore();
    return owner == "first" ? 0 : owner == "second" ? 1 : 2;
  }

  /// Puts a job into the store, and two workers on which tasks may run.
  void StoreJob() {
    JobSpec spec;
    spec.id = "job";
    spec.queue = "queue";
    spec.pool = "pool";
    StepSpec step;
    step.count = 1;
    step.per_task = {10, 1, 0};
    step.estimate_ms = 500;
    spec.steps.push_back(step);
    m_store.Put(JobKey("job"), EncodeJob(spec));
    m_store.Put(std::string(kWorkersKey),
                EncodeWorkers(std::vector<RecordedWorker>{{"servers/near", "pool", 0, {}},
                                                          {"servers/far", "pool", 0, {}}}));
  }

  std::size_t Starts() const {
    std::size_t starts = 0;
    for (const auto& daemon : m_daemons) {
      starts += daemon->link.starts.size();
    }
    return starts;
  }

  void RunFor(Duration time) {
    const TimePoint end = Clock::now() + time;
    RunUntil([&] { return Clock::now() >= end; });
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const TimePoint limit = Clock::now() + Duration(12'000);
    while (!condition() && Clock::now() < limit) {
      const Now now{Clock::now(), UnixMilliseconds()};
      m_store.Deliver(now.time);
      for (const auto& daemon : m_daemons) {
        daemon->store.Deliver(now.time);
        daemon->link.Answer(now.time);
        daemon->service->Tick(now);
      }
      event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
      usleep(1'000);
    }
    REQUIRE(condition());
  }

 private:
  void AddDaemon(const std::string& node, double cores) {
    JobSettings settings = SettingsOf(node);
    settings.cpu_share = cores;
    auto daemon = std::make_unique<Daemon>(&m_store);
    daemon->service = std::make_unique<JobService>(
        m_base.get(), settings,
        JobServiceParts{&daemon->store, &daemon->link, nullptr, &m_format, &m_http, &m_random});
    REQUIRE(daemon->service->Listen());
    m_daemons.push_back(std::move(daemon));
  }

  std::string OwnerInStore() const {
    const auto record = DecodeOwnership(m_store.Value("duty/schedule"));
    return record ? record->owner : std::string();
  }

  ConfiguredStore m_store;
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  SeededRandom m_random{1};
  WorkerFormat m_format;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
};

}  // namespace

// Guards against two runs of one task (review/2): after two changes of the owner, the second one
// planned, the new owner waited for its direct predecessor only. The owner before that one was cut
// off from the store and still renewed the lease of a worker that nobody else reached.
TEST_CASE("an owner waits for an owner before its predecessor that may still act") {
  OwnerChainFixture fixture;
  fixture.StoreJob();
  fixture.daemon(0).store.cut = true;
  const TimePoint cut_at = Clock::now();
  fixture.RunUntil([&] { return fixture.OwnerNumber() != 0; });
  const std::size_t successor = fixture.OwnerNumber();
  fixture.RunFor(Duration(200));
  fixture.daemon(successor).service->BeginShutdown(Clock::now());
  fixture.RunUntil([&] { return fixture.OwnerNumber() != successor; });
  fixture.RunUntil([&] { return Clock::now() >= cut_at + Duration(7'300); });
  CHECK(fixture.daemon(0).service->owner());
  CHECK(fixture.Starts() == 0);
}

}  // namespace cranberryplank
