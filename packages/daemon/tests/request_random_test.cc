#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cstdlib>

#include "cranberryplank/model/invariant.h"
#include "router_fixture.h"

namespace cranberryplank {
namespace {

constexpr int kDaemons = 4;
constexpr int kWorkers = 6;
constexpr int kSlotsPerDaemon = 3;
constexpr int kUpperLimit = kDaemons * kSlotsPerDaemon;
constexpr Duration kRunTime{20'000};
constexpr Duration kRecoveryTime{40'000};

/// Violations found by a run, and counts of its requests and verdicts.
struct Findings {
  int requests = 0;
  int completed = 0;
  int not_run = 0;
  int may_have_run = 0;
  int ran_twice = 0;
  int not_run_but_started = 0;
  int wrong_answer = 0;
  int over_limit = 0;
  int no_reply = 0;
  int after_withdrawal = 0;

  int Violations() const {
    return ran_twice + not_run_but_started + wrong_answer + over_limit + no_reply +
           after_withdrawal;
  }
};

/// Sends requests through four daemons while workers, network and daemons fail at random.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, RouterRules rules)
      : m_random(seed), m_fixture(kDaemons, kWorkers, rules) {
    m_fixture.config().queues["tone"].max_run = Duration(4'000);
    m_fixture.Apply();
    for (const auto& node : m_fixture.nodes()) {
      node->slots.Set("smiths", kSlotsPerDaemon);
    }
  }

  Findings Run() {
    const TimePoint end = m_fixture.queue().Now() + kRunTime;
    while (m_fixture.queue().Now() < end) {
      m_fixture.queue().RunFor(Duration(static_cast<int>(m_random.Below(40)) + 1));
      Step();
      CheckLimit();
    }
    ClearFaults();
    m_fixture.queue().RunFor(kRecoveryTime);
    Evaluate();
    return m_findings;
  }

 private:
  struct Sent {
    std::string task_id;
    std::string text;
    std::string ticket;
    int node = 0;
    bool idempotent = false;
    std::shared_ptr<std::optional<CallerReply>> reply;
  };

  int Pick(int bound) {
    return static_cast<int>(m_random.Below(static_cast<std::uint64_t>(bound)));
  }
  bool Chance(int percent) { return Pick(100) < percent; }
  RouterNode& AnyNode() { return m_fixture.node(Pick(kDaemons)); }

  void Step() {
    if (Chance(35)) {
      SendRequest();
    }
    if (Chance(12)) {
      WorkerFault();
    }
    if (Chance(6)) {
      DaemonFault();
    }
    if (!m_withdrawn && m_findings.requests > 100 && Chance(2)) {
      Withdraw();
    }
    CheckWithdrawal();
  }

  void SendRequest() {
    Sent sent;
    sent.node = Pick(kDaemons);
    if (m_fixture.node(sent.node).process.paused()) {
      return;
    }
    sent.text = fmt::format("answer-{}", m_findings.requests++);
    sent.idempotent = Chance(30);
    CallerRequest request = RouterFixture::Request(
        fmt::format(R"({{"run_ms":{},"reply":"{}"}})", Pick(1'500) + 1, sent.text),
        m_withdrawn && Chance(50) ? "other-key" : "smiths-key");
    request.idempotent = sent.idempotent;
    request.urgent = Chance(10);
    sent.reply = m_fixture.Send(sent.node, request, Duration(Pick(6'000) + 200));
    sent.task_id = m_fixture.last_task();
    if (Chance(5)) {
      m_fixture.node(sent.node).router->Cancel(m_fixture.queue().Now(), sent.task_id);
    }
    m_sent.push_back(std::move(sent));
  }

  void WorkerFault() {
    const int i = Pick(kWorkers);
    WorkerFaults& faults = m_fixture.faults(i);
    switch (Pick(9)) {
      case 0:
        faults.unreachable = Chance(25);
        break;
      case 1:
        faults.silent = Chance(25);
        break;
      case 2:
        faults.lose_answers = 1;
        break;
      case 3:
        faults.truncate_answers = 1;
        break;
      case 4:
        faults.swap_answers = 2;
        break;
      case 5:
        faults.request_delay = Duration(Chance(75) ? 1 : Pick(4'000));
        break;
      case 6:
        m_fixture.worker(i).SetDraining(Chance(30));
        break;
      case 7:
        m_fixture.worker(i).SetFailAll(Chance(20));
        break;
      default:
        m_fixture.worker(i).Crash();
        break;
    }
  }

  void DaemonFault() {
    RouterNode& node = AnyNode();
    switch (Pick(3)) {
      case 0:
        if (node.process.paused()) {
          node.process.Resume();
        } else if (Chance(50)) {
          node.process.Pause();
        }
        break;
      case 1:
        if (!m_fixture.network().partitioned.erase(node.incarnation) && Chance(50)) {
          m_fixture.network().partitioned.insert(node.incarnation);
          for (const auto& other : m_fixture.nodes()) {
            other->links.signal_lost().emit(m_fixture.queue().Now(), node.incarnation);
          }
        }
        break;
      default:
        // A daemon that missed the withdrawal cannot confirm its head before it applies it.
        node.confirming = !m_missed.contains(node.incarnation) && Chance(70);
        break;
    }
  }

  /// Withdraws a key. A daemon that is paused or not confirming receives the withdrawal only in
  /// ClearFaults().
  void Withdraw() {
    m_withdrawn = true;
    m_withdrawn_at = m_fixture.queue().Now();
    m_fixture.config().keys.erase(Sha256("smiths-key").hex);
    m_fixture.Grant("other-key", "smiths");
    for (const auto& node : m_fixture.nodes()) {
      if (node->process.paused() || !node->confirming) {
        node->confirming = false;
        m_missed.insert(node->incarnation);
      } else {
        node->head.Apply(m_fixture.queue().Now(), m_fixture.config(), node->head.head().daemons);
      }
    }
    m_old_key_requests = m_sent.size();
  }

  int StartsWithOldKey() {
    int starts = 0;
    for (std::size_t i = 0; i < m_old_key_requests; ++i) {
      starts += Starts(m_sent[i]);
    }
    return starts;
  }

  void CheckWithdrawal() {
    if (!m_withdrawn || m_fixture.queue().Now() < m_withdrawn_at + kFakeFreshness) {
      return;
    }
    const int starts = StartsWithOldKey();
    if (!m_starts_at_withdrawal) {
      m_starts_at_withdrawal = starts;
    }
    m_findings.after_withdrawal += starts > *m_starts_at_withdrawal ? 1 : 0;
    m_starts_at_withdrawal = starts;
  }

  void CheckLimit() {
    int running = 0;
    for (int i = 0; i < kWorkers; ++i) {
      running += m_fixture.worker(i).Status().running;
    }
    m_findings.over_limit += running > kUpperLimit ? 1 : 0;
  }

  void ClearFaults() {
    for (int i = 0; i < kWorkers; ++i) {
      m_fixture.faults(i) = WorkerFaults{};
      m_fixture.worker(i).SetDraining(false);
      m_fixture.worker(i).SetFailAll(false);
    }
    m_fixture.network().partitioned.clear();
    for (const auto& node : m_fixture.nodes()) {
      node->head.Apply(m_fixture.queue().Now(), m_fixture.config(), node->head.head().daemons);
      node->confirming = true;
      if (node->process.paused()) {
        node->process.Resume();
      }
    }
  }

  int Starts(const Sent& sent) {
    int starts = 0;
    for (int i = 0; i < kWorkers; ++i) {
      for (const auto& [id, logged] : m_fixture.worker(i).log()) {
        const bool attempt = id == sent.task_id || id.starts_with(sent.task_id + ".");
        starts += attempt ? logged.starts : 0;
      }
    }
    return starts;
  }

  void Evaluate() {
    for (const Sent& sent : m_sent) {
      const int starts = Starts(sent);
      m_findings.ran_twice += !sent.idempotent && starts > 1 ? 1 : 0;
      if (!sent.reply->has_value()) {
        ++m_findings.no_reply;
        continue;
      }
      const CallerReply& reply = **sent.reply;
      switch (reply.verdict) {
        case Verdict::kNotRun:
          ++m_findings.not_run;
          m_findings.not_run_but_started += starts > 0 ? 1 : 0;
          break;
        case Verdict::kMayHaveRun:
          ++m_findings.may_have_run;
          break;
        case Verdict::kCompleted:
          ++m_findings.completed;
          const bool own = reply.status != 200 || reply.body == sent.text;
          m_findings.wrong_answer += own && starts > 0 ? 0 : 1;
          break;
      }
    }
  }

  SeededRandom m_random;
  RouterFixture m_fixture;
  Findings m_findings;
  std::vector<Sent> m_sent;
  bool m_withdrawn = false;
  TimePoint m_withdrawn_at;
  std::size_t m_old_key_requests = 0;
  std::optional<int> m_starts_at_withdrawal;
  std::set<std::string> m_missed;
};

int SeedsToRun(int by_default) {
  const char* text = std::getenv("CRANBERRYPLANK_SEEDS");
  return text == nullptr ? by_default : std::atoi(text);
}

// Checks the guarantees of the request path while workers, links and daemons fail in any order. A
// request that is not idempotent runs at most once, a refused request did not run, each caller gets
// exactly one reply with its own answer, teams stay within their upper limit, and no request starts
// with a key whose withdrawal is older than the freshness period.
TEST_CASE("random faults violate no guarantee of the request path") {
  SetAbortOnInvariantViolation(true);
  const int seeds = SeedsToRun(60);
  Findings total;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Findings found = RandomRun(static_cast<std::uint64_t>(seed), RouterRules{}).Run();
    INFO(
        fmt::format("seed {}: ran twice {}, not run but started {}, wrong answer {}, over limit "
                    "{}, no reply {}, after withdrawal {}",
                    seed, found.ran_twice, found.not_run_but_started, found.wrong_answer,
                    found.over_limit, found.no_reply, found.after_withdrawal));
    CHECK(found.Violations() == 0);
    total.requests += found.requests;
    total.completed += found.completed;
    total.not_run += found.not_run;
    total.may_have_run += found.may_have_run;
  }
  SetAbortOnInvariantViolation(false);
  fmt::print("{} seeds, {} requests: {} completed, {} not run, {} may have run\n", seeds,
             total.requests, total.completed, total.not_run, total.may_have_run);
  CHECK(total.completed > total.requests / 10);
}

/// Returns the first seed for which `violated` is counted, or `std::nullopt`.
std::optional<int> SeedsUntil(RouterRules rules, int Findings::*violated) {
  constexpr int kMaxSeeds = 40;
  for (int seed = 1; seed <= kMaxSeeds; ++seed) {
    if (RandomRun(static_cast<std::uint64_t>(seed), rules).Run().*violated > 0) {
      return seed;
    }
  }
  return std::nullopt;
}

// Guards against a random run that does not detect a missing rule.
TEST_CASE("the random run detects each rule that is disabled") {
  RouterRules rerun;
  rerun.never_rerun_after_may_have_run = false;
  CHECK(SeedsUntil(rerun, &Findings::ran_twice).has_value());
  RouterRules slots;
  slots.keep_uncertain_slots = false;
  CHECK(SeedsUntil(slots, &Findings::over_limit).has_value());
  RouterRules stale;
  stale.check_freshness = false;
  CHECK(SeedsUntil(stale, &Findings::after_withdrawal).has_value());
}

}  // namespace
}  // namespace cranberryplank
