#ifndef CRANBERRYPLANK_DAEMON_TESTS_ROUTER_FIXTURE_H_
#define CRANBERRYPLANK_DAEMON_TESTS_ROUTER_FIXTURE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/policy/max_min_share_allocator.h"
#include "cranberryplank/policy/two_choice_placement.h"
#include "cranberryplank/support/event_queue.h"
#include "cranberryplank/support/memory_workers.h"
#include "cranberryplank/support/simulated_process.h"

namespace cranberryplank {

inline constexpr Duration kFakeFreshness{2'000};

/// Head that is set directly by a test. Fresh until `kFakeFreshness` after the last confirmation.
class FakeHead : public HeadControl {
 public:
  explicit FakeHead(std::string incarnation) : m_incarnation(std::move(incarnation)) {}

  const Head& head() const override { return m_head; }
  const Fleet& fleet() const override { return m_fleet; }
  std::string_view incarnation() const override { return m_incarnation; }

  std::optional<TimePoint> FreshUntil(TimePoint now, std::string* last_reason) const override {
    if (m_confirmed + kFakeFreshness > now) {
      return m_confirmed + kFakeFreshness;
    }
    *last_reason = "not fresh";
    return std::nullopt;
  }

  void Submit(TimePoint, std::string_view, FleetEdit, ChangeCallback) override {}
  EffectStatus StatusOf(std::uint64_t, TimePoint) const override { return {}; }
  bool MayStillDispatch(std::string_view, TimePoint) const override { return true; }

  void Confirm(TimePoint sent) { m_confirmed = std::max(m_confirmed, sent); }

  void Apply(TimePoint now, const Fleet& fleet, const std::vector<DaemonRecord>& daemons) {
    m_fleet = fleet;
    m_head.daemons = daemons;
    ++m_head.revision;
    Confirm(now);
    m_changed.emit(now);
  }

 private:
  std::string m_incarnation;
  Head m_head;
  Fleet m_fleet;
  TimePoint m_confirmed;
};

/// Slot control whose free slots are set by a test.
class FakeSlots : public SlotControl {
 public:
  bool Acquire(TimePoint, std::string_view team) override {
    int& free = m_free[std::string(team)];
    if (free <= 0) {
      return false;
    }
    --free;
    return true;
  }
  void Release(TimePoint, std::string_view team) override { ++m_free[std::string(team)]; }
  void SetWaiting(TimePoint, std::string_view, int) override {}
  std::vector<FreeSlots> Free() const override {
    std::vector<FreeSlots> slots;
    for (const auto& [team, free] : m_free) {
      if (free > 0) {
        slots.push_back(FreeSlots{team, free});
      }
    }
    return slots;
  }

  void Set(const std::string& team, int free) { m_free[team] = free; }
  int FreeOf(const std::string& team) { return m_free[team]; }

 private:
  std::map<std::string, int> m_free;
};

class FakeLinks;

/// Simulated network between the daemons of a test.
struct FakeNetwork {
  Scheduler* scheduler = nullptr;
  std::map<std::string, FakeLinks*> members;
  std::map<std::string, Scheduler*> processes;
  std::set<std::string> partitioned;  ///< Incarnations whose messages are lost in both directions.
  Duration delay{1};
};

/// Simulated links of one daemon.
class FakeLinks : public PeerLinks {
 public:
  FakeLinks(std::string self, FakeNetwork* network) : m_self(std::move(self)), m_network(network) {
    m_network->members[m_self] = this;
  }
  ~FakeLinks() override { m_network->members.erase(m_self); }

  void SetPeers(TimePoint, std::span<const DaemonRecord>) override {}

  SendOutcome Send(std::string_view incarnation, const PeerMessage& message) override {
    const std::string to(incarnation);
    if (!m_network->members.contains(to)) {
      return SendOutcome::kNotSent;
    }
    m_network->scheduler->Schedule(
        m_network->scheduler->Now() + m_network->delay,
        [network = m_network, from = m_self, to, message](TimePoint) {
          if (network->partitioned.contains(from) || network->partitioned.contains(to)) {
            return;
          }
          const auto process = network->processes.find(to);
          if (process == network->processes.end()) {
            return;
          }
          process->second->Schedule(network->scheduler->Now(), [=](TimePoint now) {
            const auto member = network->members.find(to);
            if (member != network->members.end()) {
              member->second->signal_message().emit(now, from, message);
            }
          });
        });
    return SendOutcome::kSent;
  }

 private:
  std::string m_self;
  FakeNetwork* m_network;
};

/// Request router of one daemon with fake dependencies.
struct RouterNode {
  RouterNode(EventQueue* queue, FakeNetwork* network, const std::shared_ptr<WorkerFleet>& fleet,
             const std::string& name, RouterRules rules = {})
      : incarnation(name),
        process(queue),
        random(std::hash<std::string>()(name)),
        head(name),
        links(name, network),
        workers(queue, &process, fleet),
        shares(SettingsFor(name)) {
    network->processes[name] = &process;
    RouterParts parts;
    parts.head = &head;
    parts.slots = &slots;
    parts.workers = &workers;
    parts.links = &links;
    parts.shares = &shares;
    parts.placement = &placement;
    parts.random = &random;
    parts.metrics = &metrics;
    parts.is_denied = [this](const Digest& key) { return denied.contains(key.hex); };
    RouterOptions options;
    options.zone = "az-1";
    options.rules = rules;
    router = std::make_unique<RequestRouter>(parts, options);
    links.signal_message().connect(
        [this](TimePoint now, const std::string&, const PeerMessage& message) {
          if (const auto* beat = std::get_if<Heartbeat>(&message)) {
            router->OnHeartbeat(now, *beat);
          }
        });
    ScheduleTick();
  }

  static MaxMinSettings SettingsFor(const std::string& name) {
    MaxMinSettings settings;
    settings.daemon = name;
    return settings;
  }

  void ScheduleTick() {
    process.Schedule(process.Now() + Duration(20), [this](TimePoint now) {
      if (confirming) {
        // Freshness counts from the send time, so an answer that is read after a pause extends it
        // only a little.
        process.Schedule(now + Duration(2), [this, now](TimePoint) { head.Confirm(now); });
      }
      router->Tick(now, static_cast<std::uint64_t>(now.time_since_epoch() / kRotationPeriod));
      if (++ticks % 10 == 0) {
        Heartbeat beat;
        beat.incarnation = incarnation;
        router->FillHeartbeat(now, &beat);
        if (!share_suspects) {
          beat.suspect_vms.clear();
        }
        for (const DaemonRecord& peer : head.head().daemons) {
          if (peer.incarnation != incarnation) {
            links.Send(peer.incarnation, beat);
          }
        }
      }
      ScheduleTick();
    });
  }

  std::string incarnation;
  SimulatedProcess process;
  SeededRandom random;
  FakeHead head;
  FakeSlots slots;
  FakeLinks links;
  MemoryWorkers workers;
  MaxMinShareAllocator shares;
  TwoChoicePlacement placement;
  Metrics metrics;
  std::set<std::string> denied;
  bool confirming = true;
  bool share_suspects = true;  ///< False simulates an older daemon without suspect reports.
  int ticks = 0;
  std::unique_ptr<RequestRouter> router;
};

/// Daemons and workers with a configuration of one pool, two queues and two teams.
class RouterFixture {
 public:
  explicit RouterFixture(int daemons = 1, int workers = 2, RouterRules rules = {}) {
    m_network.scheduler = &m_queue;
    m_workers = std::make_shared<WorkerFleet>();
    m_config.teams["smiths"] = Team{"smiths", Contract{1.0, 16}};
    m_config.teams["clerks"] = Team{"clerks", Contract{1.0, 16}};
    m_config.pools["tone"] = Pool{"tone", AvailabilityBudget{}, false};
    m_config.queues["tone"] =
        Queue{"tone", "tone", {"smiths"}, false, "", Duration(5'000), kMaxWaiting};
    m_config.queues["open"] = Queue{"open", "tone", {}, true, "clerks", Duration(5'000), 10};
    Grant("smiths-key", "smiths");
    Grant("clerks-key", "clerks");
    for (int i = 0; i < workers; ++i) {
      AddWorker(i);
    }
    for (int i = 0; i < daemons; ++i) {
      AddNode("d" + std::to_string(i), rules);
    }
    Apply();
    m_queue.RunFor(Duration(500));
  }

  RouterNode& AddNode(const std::string& name, RouterRules rules = {}) {
    m_nodes.push_back(std::make_unique<RouterNode>(&m_queue, &m_network, m_workers, name, rules));
    m_nodes.back()->slots.Set("smiths", 16);
    m_nodes.back()->slots.Set("clerks", 16);
    return *m_nodes.back();
  }

  /// Applies the current configuration to all daemons.
  void Apply() {
    std::vector<DaemonRecord> records;
    for (const auto& node : m_nodes) {
      DaemonRecord record;
      record.id = node->incarnation;
      record.incarnation = node->incarnation;
      records.push_back(record);
    }
    for (const auto& node : m_nodes) {
      node->head.Apply(m_queue.Now(), m_config, records);
    }
  }

  void Grant(const std::string& key, const std::string& team) {
    const Digest digest = Sha256(key);
    m_config.keys[digest.hex] = KeyGrant{digest, team};
  }

  static CallerRequest Request(const std::string& body, const std::string& key = "smiths-key") {
    CallerRequest request;
    request.queue = "tone";
    request.key_digest = key.empty() ? "" : Sha256(key).hex;
    request.body = body;
    return request;
  }

  /// Sends a request. Its reply is stored in the returned object when it arrives.
  std::shared_ptr<std::optional<CallerReply>> Send(int node, CallerRequest request,
                                                   Duration deadline = Duration(10'000)) {
    auto reply = std::make_shared<std::optional<CallerReply>>();
    request.deadline = m_queue.Now() + deadline;
    m_last_task = m_nodes[static_cast<std::size_t>(node)]->router->Accept(
        m_queue.Now(), std::move(request), [reply](TimePoint, const CallerReply& answer) {
          REQUIRE_FALSE(reply->has_value());
          *reply = answer;
        });
    return reply;
  }

  static WorkerAddress AddressOf(int worker) {
    return WorkerAddress{"127.0.0.1", static_cast<std::uint16_t>(9000 + worker)};
  }

  RouterNode& node(int i) { return *m_nodes[static_cast<std::size_t>(i)]; }
  SimulatedWorker& worker(int i) { return m_workers->worker(AddressOf(i)); }
  WorkerFaults& faults(int i) { return m_workers->faults(AddressOf(i)); }
  WorkerFleet& workers() { return *m_workers; }
  EventQueue& queue() { return m_queue; }
  FakeNetwork& network() { return m_network; }
  Fleet& config() { return m_config; }
  std::vector<std::unique_ptr<RouterNode>>& nodes() { return m_nodes; }
  const std::string& last_task() const { return m_last_task; }

  static constexpr int kMaxWaiting = 40;

 private:
  void AddWorker(int i) {
    const WorkerAddress address = AddressOf(i);
    m_workers->Add(&m_queue, address, WorkerSettings{4});
    Vm vm;
    vm.id = "vm-" + std::to_string(i);
    vm.host = address.host;
    vm.port = address.port;
    vm.zone = "az-" + std::to_string(i % 2 + 1);
    vm.rack = "rack-" + std::to_string(i);
    vm.pool = "tone";
    vm.slots = 4;
    m_config.vms[vm.id] = vm;
  }

  EventQueue m_queue;
  FakeNetwork m_network;
  std::shared_ptr<WorkerFleet> m_workers;
  Fleet m_config;
  std::vector<std::unique_ptr<RouterNode>> m_nodes;
  std::string m_last_task;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_TESTS_ROUTER_FIXTURE_H_
