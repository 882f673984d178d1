#ifndef CRANBERRYPLANK_ENTRY_TESTS_OWNER_FIXTURE_H_
#define CRANBERRYPLANK_ENTRY_TESTS_OWNER_FIXTURE_H_

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/entry/schedule_owner.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

/// Longest time in which a call about an unknown job must be answered.
constexpr Duration kAnswerBound{500};

/// Returns a queue of the pool "pool".
inline QueueConfig QueueAt(const std::string& name, const std::string& host,
                           const std::string& path_prefix) {
  QueueConfig queue;
  queue.name = name;
  queue.host = host;
  queue.path_prefix = path_prefix;
  queue.pool = "pool";
  queue.max_attempts = 3;
  return queue;
}

inline ClusterConfig ConfigWith(std::vector<QueueConfig> queues) {
  ClusterConfig config;
  config.queues = std::move(queues);
  return config;
}

/// Returns a call about a job as a daemon with the queue's configuration sends it.
inline OwnerCall CallAt(const QueueConfig& queue, OwnerCallKind kind, const std::string& job) {
  OwnerCall call;
  call.kind = kind;
  call.job = job;
  call.queue = queue.name;
  call.queue_path = queue.path();
  if (kind != OwnerCallKind::kSubmit) {
    return call;
  }
  JobSpec spec;
  spec.id = job;
  spec.queue = queue.name;
  spec.queue_path = queue.path();
  spec.pool = queue.pool;
  StepSpec step;
  step.count = 1;
  step.per_task = {1'000, 100, 0};
  spec.steps.push_back(step);
  call.spec = spec;
  call.queue_config = queue;
  return call;
}

/// An owner of the schedule with a store, and other daemons that may take over.
class OwnerFixture {
 public:
  using Answer = std::shared_ptr<std::optional<OwnerReply>>;

  explicit OwnerFixture(const ClusterConfig& config) { BeginOwner(config); }

  /// The operators store a configuration, which the owner receives at once.
  void Configure(const ClusterConfig& config) {
    m_config = std::make_shared<const ClusterConfig>(config);
    m_owner->SetConfig(Present(), m_config);
  }

  /// Calls the owner. @return the answer; it may come later
  Answer Call(const OwnerCall& call) {
    auto answer = std::make_shared<std::optional<OwnerReply>>();
    m_owner->Handle(Present(), call,
                    [answer](TimePoint, const OwnerReply& reply) { *answer = reply; });
    return answer;
  }
  /// Calls the owner and waits for the answer.
  OwnerReply Ask(const OwnerCall& call) {
    const Answer answer = Call(call);
    Run(kAnswerBound);
    REQUIRE(answer->has_value());
    return **answer;
  }
  OwnerReply Ask(const QueueConfig& queue, OwnerCallKind kind, const std::string& job) {
    return Ask(CallAt(queue, kind, job));
  }

  /// Lets another daemon take over. The owner has not heard of it, as after a freeze.
  void TakeOver() { ClaimBy(NewOwnership()); }

  /// Kills the owner, and lets another daemon take over with the newest configuration.
  void ReplaceOwner() {
    m_owner.reset();
    m_lost = false;
    BeginOwner(*m_config);
  }

  void Run(Duration time, bool store_answers = true) {
    for (const TimePoint end = m_now + time; m_now < end;) {
      m_now += Duration(10);
      if (m_owner) {
        m_owner->Tick(Present());
      }
      if (store_answers) {
        m_store.Deliver(m_now);
      }
      if (m_lost && m_owner) {
        m_owner->End(m_now);
        m_owner.reset();
      }
    }
  }

  ScheduleOwner& owner() { return *m_owner; }
  FakeKeyValueStore& store() { return m_store; }

 private:
  Now Present() const {
    return {m_now, std::chrono::duration_cast<Duration>(m_now.time_since_epoch()).count()};
  }

  ScheduleOwnership* NewOwnership() {
    const std::size_t number = m_ownerships.size();
    m_ownerships.push_back(std::make_unique<ScheduleOwnership>(
        &m_store, "duty/schedule",
        OwnershipRecord{fmt::format("vm-{}", number),
                        fmt::format("127.0.0.1:{}", 7'000 + number),
                        fmt::format("incarnation-{}", number),
                        0,
                        {}}));
    return m_ownerships.back().get();
  }

  void ClaimBy(ScheduleOwnership* ownership) {
    ownership->Read(m_now);
    m_store.Deliver(m_now);
    ownership->Claim(m_now);
    m_store.Deliver(m_now);
    REQUIRE(ownership->owned());
  }

  void BeginOwner(const ClusterConfig& config) {
    ScheduleOwnership* ownership = NewOwnership();
    ClaimBy(ownership);
    m_ownership = ownership;
    ownership->signal_lost().connect(
        [this, ownership](TimePoint) { m_lost = m_lost || ownership == m_ownership; });
    m_owner = std::make_unique<ScheduleOwner>(
        ScheduleOwnerParts{&m_store, &m_link, &m_format, ownership, nullptr}, SchedulerSettings{},
        VmFleetSettings{});
    Configure(config);
    m_owner->Begin(Present());
    Run(Duration(500));
    REQUIRE(m_owner->ready());
  }

  TimePoint m_now{std::chrono::seconds(50)};
  FakeKeyValueStore m_store;
  KeepingLink m_link;
  WaveFormat m_format;
  std::shared_ptr<const ClusterConfig> m_config;
  /// Of all daemons. Replies of the store may refer to those of earlier owners.
  std::vector<std::unique_ptr<ScheduleOwnership>> m_ownerships;
  ScheduleOwnership* m_ownership = nullptr;  ///< Of the owner.
  std::unique_ptr<ScheduleOwner> m_owner;
  bool m_lost = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_TESTS_OWNER_FIXTURE_H_
