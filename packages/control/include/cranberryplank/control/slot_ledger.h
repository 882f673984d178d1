#ifndef CRANBERRYPLANK_CONTROL_SLOT_LEDGER_H_
#define CRANBERRYPLANK_CONTROL_SLOT_LEDGER_H_

#include <sigc++/sigc++.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/ledger_shard.h"
#include "cranberryplank/control/slot_control.h"
#include "cranberryplank/control/store_document.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Settings of a SlotLedger.
struct SlotLedgerOptions {
  double writes_per_second = 4;
  double reads_per_second = 8;
  Duration store_retry{500};
  /// Read interval of a shard with a team whose requests wait here, or of which this daemon holds
  /// no slot although some are free.
  Duration poll_wanted{500};
  Duration poll_excess{1'000};  ///< Read interval of a shard with a team above its limit.
  Duration poll_idle{20'000};   ///< Read interval of any other shard.
  /// Time for which a peer must lack slots before slots move to it.
  Duration min_shortage_duration{1'000};
  Duration max_peer_demand_age{3'000};  ///< Older demand of a peer is ignored.
  Duration checkpoint_grace{1'000};     ///< Time for other daemons to retire free slots first.
  Duration checkpoint_repeat{5'000};
  /// Added to the longest lease before the slots of a failed daemon are reclaimed. Covers clock
  /// drift and the time that a worker needs to stop a task.
  Duration reclaim_margin{2'000};
  /// Additional delay before daemons other than the acting one of a shard reclaim slots or record
  /// limits.
  Duration takeover_delay{5'000};
  /// Interval at which an unchanged shard is planned again. Bounds the work of a tick.
  Duration plan_interval{500};
  /// Always true in production; tests disable them to verify that the invariant checks detect the
  /// fault.
  /// @{
  bool test_lower_before_swap = true;
  bool test_wait_before_reclaim = true;
  /// @}
};

/// Enforces the upper limits of teams by slots that are recorded in the ledger documents of the
/// store. Each slot has one holder, the incarnation of a daemon, and does not expire.
class SlotLedger : public SlotControl {
 public:
  using ExcessSignal =
      sigc::signal<void, TimePoint /*now*/, const std::string& /*team*/, int /*tasks*/>;
  using DecisionSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*line*/>;

  SlotLedger(HeadControl* head, Store* store, RandomSource* random,
             const SlotLedgerOptions& options = {});

  bool Acquire(TimePoint now, std::string_view team) override;
  void Release(TimePoint now, std::string_view team) override;
  void SetWaiting(TimePoint now, std::string_view team, int waiting) override;
  std::vector<FreeSlots> Free() const override;

  /// Replaces the demand of a peer by that of its newest heartbeat.
  void SetPeerDemand(TimePoint now, std::string_view incarnation,
                     std::span<const TeamDemand> demand);

  /// Starts to return all slots before a planned stop. No slot can be acquired afterwards.
  void BeginHandOver(TimePoint now);

  /// Returns whether this incarnation holds no slots and has no write with unknown outcome.
  bool HandedOver() const;

  /// Returns the number of slots of `team` that tasks of this daemon may use, including those of
  /// running tasks.
  int Usable(std::string_view team) const;
  int Running(std::string_view team) const;

  void Tick(TimePoint now);

  /// Emitted to request checkpoints of `tasks` running tasks of a team whose limit was lowered.
  ExcessSignal& signal_excess() { return m_excess; }

  /// Emitted with a log line (key=value) for each decision.
  DecisionSignal& signal_decision() { return m_decision; }

 private:
  struct TeamState {
    int running = 0;
    int waiting = 0;
    /// Number of slots to return, as they become free, because peers have waiting requests.
    int slots_to_release = 0;
    std::optional<TimePoint> surplus_since;
    std::optional<TimePoint> unallocated_since;
    std::optional<TimePoint> excess_since;
    std::optional<TimePoint> excess_signalled;
    int excess_count = 0;
  };
  struct Shard {
    std::unique_ptr<StoreDocument> document;
    LedgerShard ledger;
    std::optional<LedgerShard> pending;  ///< Content of a write whose outcome is unknown.
    /// False after this daemon was unregistered, until a write of its own ensures that other
    /// daemons' earlier writes fail, or until the document lists no lease of this daemon.
    bool fenced = true;
    bool fencing = false;  ///< The write that will set `fenced` is being sent or in flight.
    std::optional<TimePoint> read_at;
    std::optional<TimePoint> limits_differ_since;
    bool dirty = true;         ///< An input of the plan has changed.
    bool wanted = false;       ///< Requests of a team without a free slot wait here.
    bool lacks_slots = false;  ///< This daemon holds no slot of a team that has free slots.
    bool excess = false;       ///< More slots of a team are held than its limit allows.
    std::optional<TimePoint> planned;
    std::optional<TimePoint> updated;
    std::vector<std::pair<std::string, int>> limits;  ///< Upper limits of its teams, from the head.
  };
  /// Order in which shards use the rate limits.
  enum class Priority { kWanted, kLacksSlots, kAtRest };
  struct PeerDemand {
    TimePoint received_at;
    std::map<std::string, TeamDemand, std::less<>> teams;
  };
  class RateLimit {
   public:
    explicit RateLimit(double per_second) : m_per_second(per_second), m_tokens(per_second) {}
    bool Take(TimePoint now);

   private:
    double m_per_second;
    double m_tokens;
    std::optional<TimePoint> m_filled;
  };
  struct Demand {
    int target = 0;  ///< Number of slots that this daemon should hold.
    int peers_waiting = 0;
  };

  Shard& ShardOf(std::string_view team) {
    return m_shards[static_cast<std::size_t>(LedgerShardOf(team))];
  }
  const Shard& ShardOf(std::string_view team) const {
    return m_shards[static_cast<std::size_t>(LedgerShardOf(team))];
  }
  TeamState& StateOf(std::string_view team);
  const TeamState* FindState(std::string_view team) const;
  void OnResolved(TimePoint now, int number);
  void TrackMembership(TimePoint now);
  void ReadHead();
  bool ApplyLimits(TimePoint now, int number, LedgerShard* ledger) const;
  bool MayReclaim(TimePoint now, std::string_view holder, int number,
                  const LedgerShard& ledger) const;
  bool Reclaim(TimePoint now, int number, LedgerShard* ledger) const;
  Demand DemandFor(std::string_view team, int limit) const;
  int RunningLimit(std::string_view team, const LedgerTeam& entry) const;
  void UpdateTeam(TimePoint now, const std::string& team, const LedgerTeam& entry, bool peers_wait);
  void SignalExcess(TimePoint now, const std::string& team, const LedgerTeam& entry);
  std::optional<LedgerShard> Plan(TimePoint now, int number);
  void PlanTeam(TimePoint now, const std::string& team, bool fenced, LedgerTeam* entry);
  void LogPlan(TimePoint now, int number, const LedgerShard& before, const LedgerShard& after);
  void AdvanceShard(TimePoint now, int number);
  bool LacksSlots(const Shard& shard) const;
  static Priority PriorityOf(const Shard& shard);
  Duration PollInterval(const Shard& shard) const;
  Duration LongestLease() const;
  bool MayClaimSlots(TimePoint now) const;
  bool IsActingDaemon(int number) const;
  int HeldSlots(std::string_view team) const;

  HeadControl* m_head;
  SlotLedgerOptions m_options;
  std::string m_self;
  std::array<Shard, kLedgerShards> m_shards;
  std::map<std::string, TeamState, std::less<>> m_teams;
  std::map<std::string, PeerDemand, std::less<>> m_peers;
  /// By slot holder: time since which it is known to dispatch no tasks. Cleared by a gap in this
  /// daemon's freshness.
  std::map<std::string, TimePoint, std::less<>> m_inactive_since;
  std::optional<TimePoint> m_fresh_until;  ///< As of the last tick.
  bool m_registered = false;
  std::optional<std::uint64_t> m_read_revision;  ///< Head revision of `Shard::limits`.
  Duration m_longest_lease{0};                   ///< Longest task lease configured since the start.
  bool m_handing_over = false;
  RateLimit m_writes;
  RateLimit m_reads;
  int m_next_shard = 0;
  ExcessSignal m_excess;
  DecisionSignal m_decision;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_SLOT_LEDGER_H_
