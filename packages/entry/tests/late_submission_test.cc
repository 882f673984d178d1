#include <event2/event.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/entry/cancelled_jobs.h"
#include "cranberryplank/entry/pause_monitor.h"
#include "daemon_fixture.h"
#include "owner_fixture.h"

namespace cranberryplank {

namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";

QueueConfig Queue() { return QueueAt("r-archive", "x", "/"); }
QueueConfig OtherQueue() { return QueueAt("r-other", "x", "/other/"); }

struct LateSubmissionFixture : OwnerFixture {
  LateSubmissionFixture() : OwnerFixture(ConfigWith({Queue(), OtherQueue()})) {}

  OwnerStatus Submit(const std::string& job = kJob) {
    return Ask(Queue(), OwnerCallKind::kSubmit, job).status;
  }
  OwnerStatus Cancel(const std::string& job = kJob) {
    return Ask(Queue(), OwnerCallKind::kCancel, job).status;
  }
  bool Knows(const std::string& job = kJob) { return owner().scheduler()->SpecOf(job) != nullptr; }
};

/// A store's client in one daemon, which handles no reply while the daemon is frozen.
class DaemonStore : public KeyValueStore {
 public:
  explicit DaemonStore(KeyValueStore* store) : m_store(store) {}

  void Get(std::string_view key, ReadCallback done) override { m_store->Get(key, Held(done)); }
  void Range(std::string_view prefix, std::string_view after, ReadCallback done) override {
    m_store->Range(prefix, after, Held(done));
  }
  void Watch(std::string_view, std::uint64_t, Duration, ReadCallback) override {}
  void Commit(const KvTransaction& transaction, CommitCallback done) override {
    m_store->Commit(transaction, Held(done));
  }

  void Freeze() { m_frozen = true; }
  void Wake() {
    m_frozen = false;
    for (const auto& reply : std::exchange(m_held, {})) {
      reply();
    }
  }

 private:
  template <typename Reply>
  std::function<void(TimePoint, const Reply&)> Held(
      std::function<void(TimePoint, const Reply&)> done) {
    return [this, done = std::move(done)](TimePoint now, const Reply& reply) {
      if (m_frozen) {
        m_held.push_back([done, now, reply] { done(now, reply); });
      } else {
        done(now, reply);
      }
    };
  }

  KeyValueStore* m_store;
  bool m_frozen = false;
  std::vector<std::function<void()>> m_held;
};

/// Decodes submissions of jobs with one task, and cancellings.
class JobFormat : public SubmissionFormat {
 public:
  std::optional<JobRequest> DecodeCall(std::string_view method,
                                       std::string_view rest) const override {
    return JobRequest{method == "DELETE" ? CallKind::kCancel : CallKind::kSubmit,
                      std::string(rest)};
  }
  std::optional<std::string> DecodeJob(std::string_view, JobSpec* spec) const override {
    StepSpec step;
    step.count = 1;
    step.per_task = {1'000, 100, 0};
    spec->steps.push_back(step);
    return {};
  }
};

/// A daemon with an event loop of its own, so that it can be frozen.
class Daemon {
 public:
  /// @param seed of the identity of its process
  Daemon(const std::string& name, std::uint64_t seed, FakeKeyValueStore* store)
      : m_random(seed),
        m_base(event_base_new(), &event_base_free),
        m_http(m_base.get(), HttpClientLimits{}),
        m_store(store),
        m_settings(SettingsOf(name)),
        m_service(m_base.get(), m_settings,
                  {&m_store, &m_link, nullptr, &m_format, &m_http, &m_random}) {
    REQUIRE(m_service.Listen());
  }

  void Freeze() {
    m_frozen = true;
    m_store.Freeze();
  }
  void Wake() {
    m_frozen = false;
    m_store.Wake();
  }
  void Turn() {
    if (m_frozen) {
      return;
    }
    event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    m_service.Tick({Clock::now(), UnixMilliseconds()});
  }
  Endpoint callers() const { return m_settings.caller_listen; }

 private:
  SeededRandom m_random;
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  KeepingLink m_link;
  DaemonStore m_store;
  JobFormat m_format;
  JobSettings m_settings;
  JobService m_service;
  bool m_frozen = false;
};

/// A caller's connection. It is closed when the caller gives up.
class Caller {
 public:
  Caller(const Endpoint& daemon, const std::string& method)
      : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(daemon.port);
    REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    const std::string text =
        method + " /" + kJob + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    REQUIRE(send(m_socket, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
  }
  ~Caller() { close(m_socket); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Returns the status that has arrived, or an empty string.
  std::string Status() {
    std::string text(1'024, '\0');
    const ssize_t size = recv(m_socket, text.data(), text.size(), MSG_DONTWAIT);
    constexpr std::size_t kAfterVersion = 9;
    constexpr std::size_t kStatusSize = 3;
    return size > 0 ? text.substr(kAfterVersion, kStatusSize) : std::string();
  }

 private:
  int m_socket;
};

/// Two daemons, of which the first becomes the owner of the schedule.
class TwoDaemons {
 public:
  TwoDaemons() {
    m_daemons.push_back(std::make_unique<Daemon>("owner", 1, &m_store));
    RunUntil([&] { return m_store.Value("duty/schedule").find("owner") != std::string::npos; });
    m_daemons.push_back(std::make_unique<Daemon>("other", 2, &m_store));
    RunFor(Duration(800));
  }

  Daemon& owner() { return *m_daemons[0]; }
  Daemon& other() { return *m_daemons[1]; }

  std::string Answer(Caller* caller) {
    std::string status;
    RunUntil([&] {
      status = status.empty() ? caller->Status() : status;
      return !status.empty();
    });
    return status;
  }
  void RunFor(Duration time) {
    const TimePoint end = Clock::now() + time;
    RunUntil([&] { return Clock::now() >= end; });
  }
  /// Returns whether the store has the job.
  bool HasJob() const { return !m_store.Value(JobKey(kJob)).empty(); }

 private:
  template <typename Condition>
  void RunUntil(Condition condition) {
    const TimePoint limit = Clock::now() + Duration(5'000);
    while (!condition() && Clock::now() < limit) {
      m_store.Deliver(Clock::now());
      for (const auto& daemon : m_daemons) {
        daemon->Turn();
      }
      usleep(1'000);
    }
    REQUIRE(condition());
  }

  ConfiguredStore m_store;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
};

}  // namespace

// Guards against a job that is accepted and run after its cancelling was acknowledged (review/15):
// a frozen daemon had not read the submission, its client gave up and cancelled at another daemon,
// and the frozen one woke. It may be the owner or another daemon.
TEST_CASE("a submission that a frozen daemon reads after the job's cancelling is not accepted") {
  TwoDaemons daemons;
  daemons.other().Freeze();
  {
    Caller gives_up(daemons.other().callers(), "POST");
    daemons.RunFor(Duration(300));
  }
  Caller cancels(daemons.owner().callers(), "DELETE");
  CHECK(daemons.Answer(&cancels) == "410");
  daemons.other().Wake();
  daemons.RunFor(Duration(500));
  CHECK_FALSE(daemons.HasJob());
}

// Guards against the same where the owner's own callers wait: the cancelling comes to the owner
// first, by another connection, with the submission still unread there.
TEST_CASE("a submission that the owner reads after the job's cancelling is not accepted") {
  TwoDaemons daemons;
  Caller cancels(daemons.other().callers(), "DELETE");
  CHECK(daemons.Answer(&cancels) == "410");
  Caller late(daemons.owner().callers(), "POST");
  CHECK(daemons.Answer(&late) == "503");
  CHECK_FALSE(daemons.HasJob());
}

// Guards against the same (review/15) with a change of the owner between the cancelling and the
// submission, before or after it was stored.
TEST_CASE("every later owner refuses the submission of a job whose cancelling was acknowledged") {
  const int changes = GENERATE(0, 1, 2);
  LateSubmissionFixture fixture;
  REQUIRE(fixture.Cancel() == OwnerStatus::kNoSuchJob);
  for (int i = 0; i < changes; ++i) {
    fixture.ReplaceOwner();
  }
  const OwnerReply refusal = fixture.Ask(Queue(), OwnerCallKind::kSubmit, kJob);
  CHECK(refusal.status == OwnerStatus::kRefused);
  CHECK(refusal.retry_after_ms > 50'000);
  CHECK_FALSE(fixture.Knows());
  CHECK(fixture.Ask(Queue(), OwnerCallKind::kGetState, kJob).status == OwnerStatus::kNoSuchJob);
  CHECK(fixture.Cancel() == OwnerStatus::kNoSuchJob);
  // A job with the same id at another path is another one.
  CHECK(fixture.Ask(OtherQueue(), OwnerCallKind::kSubmit, kJob).status == OwnerStatus::kOk);
}

// Guards against an acknowledgement that rests on the owner's memory alone.
TEST_CASE("the cancelling of an unknown job is acknowledged only once it is stored") {
  LateSubmissionFixture fixture;
  const auto answer = fixture.Call(CallAt(Queue(), OwnerCallKind::kCancel, kJob));
  fixture.Run(kAnswerBound, false);
  REQUIRE(answer->has_value());
  CHECK((*answer)->status == OwnerStatus::kNotReady);
  fixture.Run(kAnswerBound);
  CHECK(fixture.Cancel() == OwnerStatus::kNoSuchJob);
}

// Guards against a submission that an owner accepts between a cancelling and its storing.
TEST_CASE("a submission beside the cancelling of its job is either cancelled or refused") {
  LateSubmissionFixture fixture;
  const auto cancelling = fixture.Call(CallAt(Queue(), OwnerCallKind::kCancel, kJob));
  const auto submission = fixture.Call(CallAt(Queue(), OwnerCallKind::kSubmit, kJob));
  fixture.Run(kAnswerBound);
  CHECK((*submission)->status == OwnerStatus::kRefused);
  CHECK((*cancelling)->status == OwnerStatus::kNoSuchJob);
  const std::string other = "5c0e7a21d94b36f9";
  const auto first = fixture.Call(CallAt(Queue(), OwnerCallKind::kSubmit, other));
  const auto second = fixture.Call(CallAt(Queue(), OwnerCallKind::kCancel, other));
  fixture.Run(kAnswerBound);
  CHECK((*first)->status == OwnerStatus::kOk);
  CHECK((*second)->status == OwnerStatus::kOk);
  CHECK(fixture.owner().scheduler()->StateOf(other) == JobState::kCancelled);
}

// Guards against a memory of cancellings that ends before the last submission can arrive, or never.
TEST_CASE("a cancelled job is refused for the whole time, and then forgotten") {
  LateSubmissionFixture fixture;
  REQUIRE(fixture.Cancel() == OwnerStatus::kNoSuchJob);
  const Duration kept = SchedulerSettings{}.retention;
  fixture.Run(kept - 2 * kAnswerBound);
  CHECK(fixture.Submit() == OwnerStatus::kRefused);
  const bool cancelled_again = GENERATE(false, true);
  if (cancelled_again) {
    REQUIRE(fixture.Cancel() == OwnerStatus::kNoSuchJob);
  }
  fixture.Run(Duration(10'000));
  CHECK(fixture.store().KeysWith(kCancelledPrefix) == (cancelled_again ? 1 : 0));
  CHECK(fixture.Submit() == (cancelled_again ? OwnerStatus::kRefused : OwnerStatus::kOk));
}

// Guards against clients that cancel jobs that do not exist, without end: they must not take the
// owner's memory, nor make it forget a cancelling early, nor cost a call to the store each.
TEST_CASE("a crowd of cancellings of unknown jobs is bounded in memory and in calls") {
  LateSubmissionFixture fixture;
  REQUIRE(fixture.Cancel() == OwnerStatus::kNoSuchJob);
  const int before = fixture.store().commits;
  const std::size_t crowd = CancelledJobs::kMaxJobs + 500;
  std::vector<OwnerFixture::Answer> answers;
  for (std::size_t i = 0; i < crowd; ++i) {
    answers.push_back(
        fixture.Call(CallAt(Queue(), OwnerCallKind::kCancel, fmt::format("{:016x}", i))));
  }
  std::size_t refused = 0;
  for (int i = 0; i < 10 && refused == 0; ++i) {
    fixture.Run(kAnswerBound);
    for (const auto& answer : answers) {
      refused += *answer && (*answer)->status == OwnerStatus::kRefused ? 1 : 0;
    }
  }
  CHECK(refused == 501);
  fixture.Run(Duration(10'000));
  CHECK(fixture.store().KeysWith(kCancelledPrefix) == 101);
  CHECK(fixture.store().commits - before < 150);
  CHECK(fixture.Submit() == OwnerStatus::kRefused);
  // Known jobs are cancelled as always.
  const std::string known = "5c0e7a21d94b36f9";
  CHECK(fixture.Submit(known) == OwnerStatus::kOk);
  CHECK(fixture.Cancel(known) == OwnerStatus::kOk);
}

// Guards against a price for calm operation.
TEST_CASE("submissions and cancellings of known jobs cost no further call to the store") {
  LateSubmissionFixture fixture;
  const int before = fixture.store().commits;
  REQUIRE(fixture.Submit() == OwnerStatus::kOk);
  REQUIRE(fixture.Cancel() == OwnerStatus::kOk);
  CHECK(fixture.store().commits - before == 2);
  CHECK(fixture.store().KeysWith(kCancelledPrefix) == 0);
}

// Guards against any order of delayed submissions, cancellings and changes of the owner in which a
// job that was cancelled is accepted later (review/15).
TEST_CASE("no order of late submissions, cancellings and new owners revives a cancelled job") {
  constexpr int kJobs = 40;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LateSubmissionFixture fixture;
    SeededRandom random(seed);
    std::set<std::string> cancelled;
    std::vector<std::pair<std::string, OwnerFixture::Answer>> cancellings;
    const auto acknowledge = [&] {
      for (const auto& [job, answer] : cancellings) {
        const bool acknowledged = *answer && ((*answer)->status == OwnerStatus::kOk ||
                                              (*answer)->status == OwnerStatus::kNoSuchJob);
        if (acknowledged) {
          cancelled.insert(job);
        }
      }
    };
    for (int step = 0; step < 400; ++step) {
      const std::string job = fmt::format("{:016x}", random.Below(kJobs));
      const std::uint64_t action = random.Below(20);
      if (action == 0) {
        fixture.ReplaceOwner();
      } else if (action < 8) {
        const auto answer = fixture.Call(CallAt(Queue(), OwnerCallKind::kCancel, job));
        cancellings.emplace_back(job, answer);
      } else {
        fixture.Call(CallAt(Queue(), OwnerCallKind::kSubmit, job));
      }
      fixture.Run(Duration(10 * static_cast<int>(random.Below(8))), random.Below(10) != 0);
      acknowledge();
      for (const auto& [id, active] : fixture.owner().scheduler()->job_table().active()) {
        INFO("seed " << seed << " step " << step << " job " << id);
        REQUIRE_FALSE(cancelled.contains(id));
      }
    }
    CHECK_FALSE(cancelled.empty());
  }
}

// Guards against a submission that lay unread for longer than cancellings are remembered.
TEST_CASE("after a long pause requests may be old for a short time") {
  const TimePoint start{std::chrono::seconds(100)};
  PauseMonitor monitor;
  monitor.Observe(start);
  CHECK_FALSE(monitor.MayReadOldRequests(start));
  const TimePoint short_pause = start + PauseMonitor::kLongPause - Duration(1);
  monitor.Observe(short_pause);
  CHECK_FALSE(monitor.MayReadOldRequests(short_pause));
  const TimePoint resumed = short_pause + PauseMonitor::kLongPause;
  monitor.Observe(resumed);
  CHECK(monitor.MayReadOldRequests(resumed));
  const TimePoint later = resumed + PauseMonitor::kCatchUp;
  monitor.Observe(later);
  CHECK_FALSE(monitor.MayReadOldRequests(later));
}

}  // namespace cranberryplank
