#ifndef CRANBERRYPLANK_CONTROL_SIMULATION_H_
#define CRANBERRYPLANK_CONTROL_SIMULATION_H_

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/support/event_queue.h"
#include "cranberryplank/support/key_table.h"

namespace cranberryplank {

/// Faults of one daemon's calls to the store, or of all calls.
struct StoreCallFaults {
  bool down = false;
  bool slow = false;        ///< Each call takes 2 s.
  double reply_lost = 0;    ///< Share of writes whose answer is lost after they took effect.
  double arrives_late = 0;  ///< Share of writes that take effect after their answer was lost.
};

/// Network partition between a group of daemons and all others, including those started later.
struct NetworkPartition {
  std::set<std::string> group;
  bool outward = true;  ///< Messages from the group are blocked.
  bool inward = true;   ///< Messages to the group are blocked.
};

/// Runs real `HeadReplica` objects on an in-memory store, VM list and links with a fake clock. The
/// guarantees of the head are checked after every event.
class Simulation {
 public:
  static constexpr Duration kListWatchStep{100};

  enum class Write { kPart, kSwap, kRecorded };
  /// Called before a part or head arrives at the store and after a head was recorded there.
  using WriteHook = std::function<void(Write write, const std::string& incarnation)>;

  explicit Simulation(std::uint64_t seed, MembershipRules rules = {})
      : m_random(seed), m_rules(rules) {}

  struct Node;

  class StoreClient : public Store {
   public:
    StoreClient(Simulation& simulation, Node& node) : m_simulation(simulation), m_node(node) {}
    void Read(std::string_view key, ReadCallback done) override {
      m_simulation.StoreRead(m_node.incarnation, std::string(key), std::move(done));
    }
    void Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
               ReadCallback done) override {
      m_simulation.StoreWatch(m_node.incarnation, std::string(key), watch_index,
                              m_simulation.Now() + wait, done);
    }
    void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                        WriteCallback done) override {
      m_simulation.StoreWrite(m_node.incarnation, std::string(key), std::string(value), index,
                              done);
    }

   private:
    Simulation& m_simulation;
    Node& m_node;
  };

  class Directory : public VmDirectory {
   public:
    Directory(Simulation& simulation, Node& node) : m_simulation(simulation), m_node(node) {}
    void List(std::string_view, ListCallback done) override {
      m_simulation.ListVms(m_node.incarnation, std::move(done));
    }
    void WatchIndex(std::string_view, std::uint64_t index, Duration wait,
                    IndexCallback done) override {
      m_simulation.WatchVms(m_node.incarnation, index, m_simulation.Now() + wait, std::move(done));
    }

   private:
    Simulation& m_simulation;
    Node& m_node;
  };

  class Links : public PeerLinks {
   public:
    Links(Simulation& simulation, Node& node) : m_simulation(simulation), m_node(node) {}
    void SetPeers(TimePoint, std::span<const DaemonRecord>) override {}
    SendOutcome Send(std::string_view incarnation, const PeerMessage& message) override {
      m_simulation.SendMessage(m_node.incarnation, std::string(incarnation), message);
      return SendOutcome::kSent;
    }

   private:
    Simulation& m_simulation;
    Node& m_node;
  };

  struct Node {
    Node(Simulation& simulation, const DaemonRecord& record, std::vector<DaemonRecord> first_peers)
        : id(record.id),
          incarnation(record.incarnation),
          store(simulation, *this),
          directory(simulation, *this),
          links(simulation, *this),
          random(simulation.m_random.Next()),
          offset(Duration(simulation.m_random.Below(1'000'000))),
          rate_per_mille(offset.count() % 61 - 30),
          replica(record, std::move(first_peers), store, directory, links, random,
                  simulation.m_rules) {}

    std::string id;
    std::string incarnation;
    StoreClient store;
    Directory directory;
    Links links;
    SeededRandom random;
    /// Reading of this daemon's clock, whose offset and rate are unknown to other daemons.
    TimePoint Local(TimePoint now) const {
      return TimePoint(now.time_since_epoch() + now.time_since_epoch() * rate_per_mille / 1'000) +
             offset;
    }

    Duration offset;
    /// Far above the error of real clocks, so that the runs exercise the margins in the rules.
    std::int64_t rate_per_mille;
    HeadReplica replica;
    bool paused = false;
    std::optional<TimePoint> dispatch_until;  ///< Limit of a dispatch checked before a pause.
    std::vector<std::function<void(TimePoint)>> backlog;
    std::uint64_t revision = 0;
  };

  /// Starts a daemon and returns its incarnation.
  std::string Start(const std::string& id) {
    std::string incarnation = fmt::format("{}.{}", id, ++m_started);
    const auto port = static_cast<std::uint16_t>(10'000 + m_started);
    std::vector<DaemonRecord> first_peers;
    for (const std::string& vm : m_vms) {
      if (vm != id) {
        first_peers.push_back(DaemonRecord{vm, "at:" + vm, "", vm, 1, "", 0});
      }
    }
    m_nodes[incarnation] = std::make_unique<Node>(
        *this, DaemonRecord{id, incarnation, "az-1", "127.0.0.1", port, "127.0.0.1", port},
        first_peers);
    m_vms.insert(id);
    RecordVms();
    // A removed daemon exits, and the platform restarts it.
    m_nodes[incarnation]->replica.signal_removed().connect([this, incarnation, id](TimePoint) {
      After(Duration(1), [this, incarnation, id] {
        if (m_nodes.erase(incarnation) > 0) {
          Trace(fmt::format("removed daemon {} starts again", incarnation));
          Start(id);
        }
      });
    });
    ScheduleTick(incarnation);
    return incarnation;
  }

  /// Ends a daemon's process; its VM keeps running.
  void Crash(const std::string& incarnation) { m_nodes.erase(incarnation); }

  /// Ends a daemon together with its VM.
  void LoseVm(const std::string& incarnation) {
    m_vms.erase(m_nodes.at(incarnation)->id);
    RecordVms();
    Crash(incarnation);
  }

  void Pause(const std::string& incarnation) {
    Node& node = *m_nodes.at(incarnation);
    std::string reason;
    node.paused = true;
    node.dispatch_until = node.replica.FreshUntil(node.Local(Now()), &reason);
  }

  void Resume(const std::string& incarnation) {
    Node* node = Find(incarnation);
    if (node == nullptr || !node->paused) {
      return;
    }
    node->paused = false;
    node->dispatch_until.reset();
    std::vector<std::function<void(TimePoint)>> backlog;
    backlog.swap(node->backlog);
    for (const auto& call : backlog) {
      if ((node = Find(incarnation)) != nullptr) {
        call(node->Local(Now()));
        CheckNode(*node);
      }
    }
    ScheduleTick(incarnation);
  }

  void At(TimePoint when, std::function<void()> call) {
    m_events.Schedule(when, [call = std::move(call)](TimePoint) { call(); });
  }
  void After(Duration delay, std::function<void()> call) { At(Now() + delay, std::move(call)); }

  /// Runs events for `time`, or until `done` holds or a rule is broken.
  /// @return whether `done` holds.
  bool Run(
      Duration time, const std::function<bool()>& done = [] { return false; }) {
    const TimePoint end = Now() + time;
    while (m_violation.empty() && !done()) {
      if (m_events.NextTime() > end) {
        m_events.RunUntil(end);
        return done();
      }
      m_events.RunNext();
      ++m_event_count;
      if (Now() >= m_next_dispatch_check) {
        m_next_dispatch_check = Now() + Duration(100);
        CheckMayStillDispatch();
      }
    }
    return done();
  }

  /// Submits a change with a unique tag; its outcome is checked by `CheckChanges`.
  /// @param contended whether the change replaces a value that other changes also replace.
  int SubmitChange(const std::string& incarnation, bool contended) {
    Node& node = *m_nodes.at(incarnation);
    const int tag = ++m_tags;
    const auto team = node.replica.fleet().teams.find("contended");
    const int seen =
        team == node.replica.fleet().teams.end() ? 0 : team->second.contract.upper_limit;
    node.replica.Submit(
        node.Local(Now()), "test",
        [tag, contended, seen](const Fleet& current,
                               std::string* last_reason) -> std::optional<Fleet> {
          Fleet fleet = current;
          const std::string name = contended ? "contended" : fmt::format("team-{}", tag);
          if (contended && fleet.teams[name].contract.upper_limit != seen) {
            *last_reason = "the limit is not the one expected";
            return std::nullopt;
          }
          fleet.teams[name] = Team{name, Contract{1.0, tag}};
          return fleet;
        },
        [this, tag](TimePoint, const ChangeResult& result) {
          Check(!m_results.contains(tag), fmt::format("change {} was answered twice", tag));
          m_results[tag] = result;
        });
    return tag;
  }

  /// Compares the reported outcome of each change with the store's history.
  void CheckChanges() {
    for (const auto& [tag, result] : m_results) {
      const std::vector<std::uint64_t>& recorded = m_recorded_tags[tag];
      if (result.outcome == ChangeOutcome::kRecorded) {
        Check(recorded == std::vector<std::uint64_t>{result.revision},
              fmt::format("change {} reported at {} was recorded {} times", tag, result.revision,
                          recorded.size()));
      } else if (result.outcome != ChangeOutcome::kUnknown) {
        Check(recorded.empty(), fmt::format("change {} reported without effect ({}) is in {}", tag,
                                            result.reason, recorded.empty() ? 0 : recorded[0]));
      }
    }
  }

  /// Ends all faults.
  void Heal() {
    store_faults = StoreCallFaults();
    node_faults.clear();
    partitions.clear();
    list_lag = Duration(0);
    list_truncated = false;
    for (const std::string& incarnation : Live()) {
      Resume(incarnation);
    }
  }

  /// Runs until `condition` holds; it is a violation if it does not hold within `limit`.
  void Require(Duration limit, const std::function<bool()>& condition, const std::string& failure) {
    const bool met = Run(limit, condition);
    Check(met, failure + ": " + DescribeMembers());
  }

  /// Checks that a new change is in effect within 3 s, and all outcomes reported so far.
  void RequireChangeTakesEffect() {
    const int tag = SubmitChange(Live().front(), false);
    Require(
        Duration(3'000),
        [&] {
          const auto result = m_results.find(tag);
          return result != m_results.end() && result->second.outcome == ChangeOutcome::kRecorded &&
                 m_reported >= result->second.revision;
        },
        "a change is not in effect after 3 s");
    Require(
        Duration(1'000), [&] { return AllFresh(); }, "a daemon is not fresh after a change");
    CheckChanges();
  }

  /// Starts `count` daemons and runs until all are registered and fresh.
  std::vector<std::string> StartFleet(int count) {
    std::vector<std::string> fleet;
    for (int i = 1; i <= count; ++i) {
      fleet.push_back(Start(fmt::format("vm-{}", i)));
    }
    Require(
        Duration(20'000), [&] { return RegisteredExactlyLive() && AllFresh() && AllInEffect(); },
        "the fleet does not start");
    return fleet;
  }
  bool AllInEffect() const { return m_reported == m_head.revision; }

  Node* Find(const std::string& incarnation) {
    const auto found = m_nodes.find(incarnation);
    return found == m_nodes.end() ? nullptr : found->second.get();
  }
  HeadReplica& Replica(const std::string& incarnation) { return m_nodes.at(incarnation)->replica; }
  TimePoint LocalNow(const std::string& incarnation) {
    return m_nodes.at(incarnation)->Local(Now());
  }
  std::vector<std::string> Live() const {
    std::vector<std::string> live;
    for (const auto& [incarnation, node] : m_nodes) {
      live.push_back(incarnation);
    }
    return live;
  }
  bool Fresh(const std::string& incarnation) {
    Node& node = *m_nodes.at(incarnation);
    std::string reason;
    return !node.paused && node.replica.FreshUntil(node.Local(Now()), &reason).has_value();
  }
  bool AllFresh() {
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [&](const auto& entry) { return Fresh(entry.first); });
  }
  std::string DescribeMembers() const {
    std::string text = "registered";
    for (const DaemonRecord& daemon : m_head.daemons) {
      text += " " + daemon.incarnation;
    }
    return fmt::format("{}; live {}", text, fmt::join(Live(), " "));
  }
  bool RegisteredExactlyLive() {
    std::set<std::string> registered;
    for (const DaemonRecord& daemon : m_head.daemons) {
      registered.insert(daemon.incarnation);
    }
    const std::vector<std::string> live = Live();
    return registered == std::set<std::string>(live.begin(), live.end());
  }

  void Check(bool holds, const std::string& violation) {
    if (!holds && m_violation.empty()) {
      m_violation = fmt::format("{} ms: {}", NowMs(), violation);
    }
  }
  TimePoint Now() const { return m_events.Now(); }
  std::int64_t NowMs() const {
    return std::chrono::duration_cast<Duration>(Now().time_since_epoch()).count();
  }
  /// Adds a line to the trace that is printed when a rule is broken.
  void Trace(const std::string& line) { m_trace += fmt::format("{} ms {}\n", NowMs(), line); }

  RandomSource& random() { return m_random; }
  const Head& recorded_head() const { return m_head; }
  std::uint64_t reported() const { return m_reported; }
  const std::string& violation() const { return m_violation; }
  const std::string& trace() const { return m_trace; }
  std::uint64_t event_count() const { return m_event_count; }
  const std::map<int, ChangeResult>& results() const { return m_results; }
  std::uint64_t heartbeats_from(const std::string& incarnation) const {
    const auto found = m_heartbeats.find(incarnation);
    return found == m_heartbeats.end() ? 0 : found->second;
  }
  /// Records a head whose part `name` has the text `text`.
  void Corrupt(const std::string& name, const std::string& text) {
    Head head = m_head;
    ++head.revision;
    head.writer = "test";
    head.parts[name] = Sha256(text);
    Apply("test", PartKey(head.parts[name]), text, 0);
    Apply("test", std::string(kHeadKey), EncodeHead(head), m_table.Get(kHeadKey).index);
  }
  std::uint64_t store_calls() const { return m_store_calls; }

  StoreCallFaults store_faults;                        ///< Of all calls.
  std::map<std::string, StoreCallFaults> node_faults;  ///< Of one daemon's calls, by incarnation.
  std::map<int, NetworkPartition> partitions;
  bool late_messages = false;  ///< Some blocked messages arrive seconds later instead of never.
  Duration list_lag{0};
  bool list_truncated = false;  ///< The VM list shows only a third of its entries.
  bool check_registrations = true;
  WriteHook write_hook;

 private:
  static constexpr Duration kCallTimeout{1'000};
  static constexpr Duration kSlowOneWayDelay{1'000};

  void Deliver(const std::string& incarnation, std::function<void(TimePoint)> call) {
    Node* node = Find(incarnation);
    if (node == nullptr) {
      return;
    }
    if (node->paused) {
      node->backlog.push_back(std::move(call));
      return;
    }
    call(node->Local(Now()));
    if ((node = Find(incarnation)) != nullptr) {
      CheckNode(*node);
    }
  }

  void ScheduleTick(const std::string& incarnation) {
    After(Duration(20 + m_random.Below(30)), [this, incarnation] {
      Node* node = Find(incarnation);
      if (node == nullptr || node->paused) {
        return;
      }
      node->replica.Tick(node->Local(Now()));
      if (Find(incarnation) != nullptr) {
        CheckNode(*node);
        ScheduleTick(incarnation);
      }
    });
  }

  bool CanDispatch(Node& node) {
    if (node.paused) {
      return node.dispatch_until && node.Local(Now()) < *node.dispatch_until;
    }
    std::string reason;
    return node.replica.FreshUntil(node.Local(Now()), &reason).has_value();
  }

  void CheckDispatch(Node& node) {
    if (node.replica.head().revision < m_reported && CanDispatch(node)) {
      Check(false,
            fmt::format("{} dispatches on {} although {} was reported in effect by {}",
                        node.incarnation, node.replica.head().revision, m_reported, m_reporter));
    }
  }

  /// Checks what an event of `node` may have changed. A daemon without an event can only lose
  /// its freshness, so the others are checked when a newer revision is reported in effect.
  void CheckNode(Node& node) {
    const std::uint64_t revision = node.replica.head().revision;
    Check(revision >= node.revision, fmt::format("{} reverted from revision {} to {}",
                                                 node.incarnation, node.revision, revision));
    node.revision = revision;
    CheckDispatch(node);
    if (node.replica.effective_revision() > m_reported) {
      m_reported = node.replica.effective_revision();
      m_reporter = node.incarnation;
      Check(m_reported <= m_head.revision, "a revision in effect is not in the store");
      for (const auto& [incarnation, other] : m_nodes) {
        CheckDispatch(*other);
      }
    }
  }

  void CheckMayStillDispatch() {
    for (const std::string& registered : m_ever_registered) {
      Node* holder = Find(registered);
      if (holder == nullptr || !CanDispatch(*holder)) {
        continue;
      }
      for (const auto& [incarnation, node] : m_nodes) {
        Check(node->paused || node->replica.MayStillDispatch(registered, node->Local(Now())),
              fmt::format("{} believes that {} cannot dispatch", incarnation, registered));
      }
    }
  }

  StoreCallFaults FaultsOf(const std::string& incarnation) const {
    const auto found = node_faults.find(incarnation);
    StoreCallFaults faults = found == node_faults.end() ? StoreCallFaults() : found->second;
    faults.down = faults.down || store_faults.down;
    faults.slow = faults.slow || store_faults.slow;
    faults.reply_lost = std::max(faults.reply_lost, store_faults.reply_lost);
    faults.arrives_late = std::max(faults.arrives_late, store_faults.arrives_late);
    return faults;
  }

  Duration OneWayDelay(const std::string& incarnation) {
    return FaultsOf(incarnation).slow ? kSlowOneWayDelay : Duration(1 + m_random.Below(4));
  }

  static StoreReadReply ReplyOf(const KeyEntry& entry) {
    return {StoreStatus::kOk, entry.found, entry.value, entry.index, entry.watch_index, ""};
  }

  void StoreRead(const std::string& incarnation, const std::string& key, Store::ReadCallback done) {
    ++m_store_calls;
    After(OneWayDelay(incarnation), [this, incarnation, key, done = std::move(done)] {
      if (FaultsOf(incarnation).down) {
        ReplyLater(incarnation, kCallTimeout, [done](TimePoint now) { done(now, Unreachable()); });
        return;
      }
      ReplyLater(incarnation, OneWayDelay(incarnation),
                 [done, reply = ReplyOf(m_table.Get(key))](TimePoint now) { done(now, reply); });
    });
  }

  void StoreWatch(const std::string& incarnation, const std::string& key, std::uint64_t index,
                  TimePoint deadline, const Store::ReadCallback& done) {
    ++m_store_calls;
    After(OneWayDelay(incarnation), [this, incarnation, key, index, deadline, done] {
      if (FaultsOf(incarnation).down) {
        ReplyLater(incarnation, kCallTimeout, [done](TimePoint now) { done(now, Unreachable()); });
      } else if (m_table.Get(key).watch_index != index) {
        ReplyLater(incarnation, OneWayDelay(incarnation),
                   [done, reply = ReplyOf(m_table.Get(key))](TimePoint now) { done(now, reply); });
      } else {
        const auto answer = [this, incarnation, done](const KeyEntry& entry) {
          const bool down = FaultsOf(incarnation).down;
          ReplyLater(incarnation, OneWayDelay(incarnation),
                     [done, reply = down ? Unreachable() : ReplyOf(entry)](TimePoint now) {
                       done(now, reply);
                     });
        };
        const std::uint64_t id = m_table.Watch(key, answer);
        At(deadline, [this, key, id, answer] {
          if (m_table.Unwatch(id)) {
            answer(m_table.Get(key));
          }
        });
      }
    });
  }

  static StoreReadReply Unreachable() {
    StoreReadReply reply;
    reply.reason = "unreachable";
    return reply;
  }

  void StoreWrite(const std::string& incarnation, const std::string& key, const std::string& value,
                  std::uint64_t index, const Store::WriteCallback& done) {
    ++m_store_calls;
    const auto answer = [this, incarnation, done](StoreStatus status, Duration delay) {
      ReplyLater(incarnation, delay, [done, status](TimePoint now) {
        done(now, StoreWriteReply{status, status == StoreStatus::kOk ? "" : "test"});
      });
    };
    After(OneWayDelay(incarnation), [this, incarnation, key, value, index, answer] {
      if (write_hook) {
        write_hook(key == kHeadKey ? Write::kSwap : Write::kPart, incarnation);
      }
      const StoreCallFaults faults = FaultsOf(incarnation);
      if (faults.down) {
        answer(m_random.Below(2) == 0 ? StoreStatus::kRefused : StoreStatus::kUnknown,
               kCallTimeout);
        return;
      }
      if (m_random.Fraction() < faults.arrives_late) {
        answer(StoreStatus::kUnknown, kCallTimeout);
        After(Duration(m_random.Below(6'000)),
              [this, incarnation, key, value, index] { Apply(incarnation, key, value, index); });
        return;
      }
      const bool lost = m_random.Fraction() < faults.reply_lost;
      const bool applied = Apply(incarnation, key, value, index);
      answer(lost      ? StoreStatus::kUnknown
             : applied ? StoreStatus::kOk
                       : StoreStatus::kConflict,
             lost ? kCallTimeout : OneWayDelay(incarnation));
    });
  }

  bool Apply(const std::string& incarnation, const std::string& key, const std::string& value,
             std::uint64_t index) {
    if (m_table.Get(key).index != index) {
      return false;
    }
    // The hook runs before the answers to watches, so that a fault it starts affects them.
    if (key == kHeadKey) {
      RecordHead(value);
      if (write_hook) {
        write_hook(Write::kRecorded, incarnation);
      }
    }
    return m_table.CompareAndSwap(key, value, index);
  }

  void RecordHead(const std::string& text) {
    std::string reason;
    const Head head = *DecodeHead(text, &reason);
    Check(head.revision == m_head.revision + 1, "a recorded revision does not follow the last one");
    if (head.daemons != m_head.daemons) {
      Trace(fmt::format("revision {} by {} registers {} daemons", head.revision,
                        head.last_writes.front().incarnation, head.daemons.size()));
      Check(!check_registrations || m_head.registration_revision <= m_reported,
            fmt::format("registration change {} was recorded before {} was in effect",
                        head.revision, m_head.registration_revision));
      for (const DaemonRecord& daemon : head.daemons) {
        m_ever_registered.insert(daemon.incarnation);
      }
      std::erase_if(m_ever_registered,
                    [&](const std::string& incarnation) { return Find(incarnation) == nullptr; });
    }
    for (const auto& [name, digest] : head.parts) {
      Check(m_table.Get(PartKey(digest)).found, "a recorded head names a missing part");
    }
    const auto teams = head.parts.find("teams");
    if (teams != head.parts.end()) {
      Fleet fleet;
      DecodePart("teams", m_table.Get(PartKey(teams->second)).value, &fleet, &reason);
      std::set<int> tags;
      for (const auto& [name, team] : fleet.teams) {
        tags.insert(team.contract.upper_limit);
        if (!m_tags_in_head.contains(team.contract.upper_limit)) {
          m_recorded_tags[team.contract.upper_limit].push_back(head.revision);
        }
      }
      m_tags_in_head = tags;
    }
    m_head = head;
  }

  void ReplyLater(const std::string& incarnation, Duration delay,
                  std::function<void(TimePoint)> call) {
    After(delay, [this, incarnation, call = std::move(call)] { Deliver(incarnation, call); });
  }

  void SendMessage(const std::string& sender, const std::string& receiver,
                   const PeerMessage& message) {
    const std::string target = Resolve(receiver);
    if (target == sender) {
      return;
    }
    m_heartbeats[sender] += std::holds_alternative<Heartbeat>(message) ? 1 : 0;
    Duration delay(1 + m_random.Below(10));
    if (IsPartitioned(sender, target)) {
      if (!late_messages || m_random.Below(3) != 0) {
        return;
      }
      delay = Duration(m_random.Below(6'000));
    }
    TimePoint& last = m_last_delivery[{sender, target}];
    last = std::max(last, Now() + delay);
    At(last, [this, sender, target, message] {
      Deliver(target, [this, sender, target, message](TimePoint now) {
        m_nodes.at(target)->links.signal_message().emit(now, sender, message);
      });
    });
  }

  bool IsPartitioned(const std::string& sender, const std::string& receiver) const {
    return std::any_of(partitions.begin(), partitions.end(), [&](const auto& entry) {
      const NetworkPartition& partition = entry.second;
      const bool from = partition.group.contains(sender);
      const bool to = partition.group.contains(receiver);
      return from != to && (from ? partition.outward : partition.inward);
    });
  }

  /// Returns the incarnation at a first peer's address.
  std::string Resolve(const std::string& receiver) const {
    if (!receiver.starts_with("at:")) {
      return receiver;
    }
    for (const auto& [incarnation, node] : m_nodes) {
      if (node->id == receiver.substr(3)) {
        return incarnation;
      }
    }
    return receiver;
  }

  void RecordVms() { m_vm_history.emplace_back(Now(), m_vms); }

  void ListVms(const std::string& incarnation, VmDirectory::ListCallback done) {
    const TimePoint as_of = Now() - list_lag;
    std::set<std::string> vms = m_vm_history.front().second;
    for (const auto& [since, set] : m_vm_history) {
      if (since <= as_of) {
        vms = set;
      }
    }
    std::vector<VmListing> listings;
    listings.reserve(vms.size());
    for (const std::string& vm : vms) {
      listings.push_back(VmListing{vm, false});
    }
    if (list_truncated) {
      listings.resize(listings.size() / 3);
    }
    ReplyLater(incarnation, Duration(5),
               [done = std::move(done), list = VmList{listings, ListIndex()}](TimePoint now) {
                 done(now, list, "");
               });
  }

  /// A truncated list has its own index, lower than that of the whole list after it.
  std::uint64_t ListIndex() const {
    const TimePoint as_of = Now() - list_lag;
    const auto seen = std::count_if(m_vm_history.begin(), m_vm_history.end(),
                                    [&](const auto& entry) { return entry.first <= as_of; });
    return 2 + 2 * static_cast<std::uint64_t>(seen) - (list_truncated ? 1 : 0);
  }

  void WatchVms(const std::string& incarnation, std::uint64_t index, TimePoint until,
                VmDirectory::IndexCallback done) {
    const std::uint64_t current = ListIndex();
    if (index == current && Now() < until) {
      After(kListWatchStep, [this, incarnation, index, until, done = std::move(done)] {
        WatchVms(incarnation, index, until, done);
      });
      return;
    }
    ReplyLater(incarnation, Duration(5),
               [done = std::move(done), current](TimePoint now) { done(now, current, ""); });
  }

  SeededRandom m_random;
  MembershipRules m_rules;
  EventQueue m_events{TimePoint(Duration(0))};
  std::uint64_t m_event_count = 0;
  std::uint64_t m_store_calls = 0;
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  std::set<std::string> m_vms;
  std::vector<std::pair<TimePoint, std::set<std::string>>> m_vm_history;
  int m_started = 0;
  KeyTable m_table;
  std::map<std::pair<std::string, std::string>, TimePoint> m_last_delivery;
  Head m_head;
  std::set<std::string> m_ever_registered;
  std::map<std::string, std::uint64_t> m_heartbeats;
  std::uint64_t m_reported = 0;
  std::string m_reporter;
  TimePoint m_next_dispatch_check;
  int m_tags = 0;
  std::map<int, ChangeResult> m_results;
  std::set<int> m_tags_in_head;
  std::map<int, std::vector<std::uint64_t>> m_recorded_tags;
  std::string m_violation;
  std::string m_trace;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_SIMULATION_H_
