#include "cranberryplank/control/slot_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

#include "cranberryplank/control/acting_daemon.h"
#include "cranberryplank/model/invariant.h"

namespace cranberryplank {

namespace {

/// Slots in use move to another daemon only if the surplus exceeds the held slots divided by this.
constexpr int kBusySurplusDivisor = 8;

/// Divides `total` in proportion to `weights` by the largest remainder method. Ties go to the
/// first index in an order rotated by `rotation`.
std::vector<int> DivideByWeights(int total, const std::vector<int>& weights, std::size_t rotation) {
  const std::int64_t sum = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  std::vector<int> portions(weights.size(), 0);
  if (sum == 0 || total <= 0) {
    return portions;
  }
  const std::size_t count = weights.size();
  // Negated remainder and rotated index.
  std::vector<std::pair<std::int64_t, std::size_t>> remainders;
  int left = total;
  for (std::size_t i = 0; i < count; ++i) {
    const std::int64_t product = std::int64_t{total} * weights[i];
    portions[i] = static_cast<int>(product / sum);
    left -= portions[i];
    remainders.emplace_back(-(product % sum), (i + rotation) % count);
  }
  std::sort(remainders.begin(), remainders.end());
  for (int i = 0; i < left; ++i) {
    const std::size_t rotated = remainders[static_cast<std::size_t>(i)].second;
    ++portions[(rotated + count - rotation % count) % count];
  }
  return portions;
}

}  // namespace

bool SlotLedger::RateLimit::Take(TimePoint now) {
  if (m_filled) {
    const double seconds = std::chrono::duration<double>(now - *m_filled).count();
    m_tokens = std::min(m_per_second, m_tokens + seconds * m_per_second);
  }
  m_filled = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

SlotLedger::SlotLedger(HeadControl* head, Store* store, RandomSource* random,
                       const SlotLedgerOptions& options)
    : m_head(head),
      m_options(options),
      m_self(head->incarnation()),
      m_writes(options.writes_per_second),
      m_reads(options.reads_per_second) {
  for (int number = 0; number < kLedgerShards; ++number) {
    Shard& shard = m_shards[static_cast<std::size_t>(number)];
    shard.document =
        std::make_unique<StoreDocument>(store, random, LedgerKey(number), options.store_retry);
    shard.document->signal_resolved().connect(
        [this, number](TimePoint now) { OnResolved(now, number); });
  }
}

SlotLedger::TeamState& SlotLedger::StateOf(std::string_view team) {
  const auto entry = m_teams.find(team);
  return entry != m_teams.end() ? entry->second : m_teams[std::string(team)];
}

const SlotLedger::TeamState* SlotLedger::FindState(std::string_view team) const {
  const auto entry = m_teams.find(team);
  return entry == m_teams.end() ? nullptr : &entry->second;
}

int SlotLedger::HeldSlots(std::string_view team) const {
  const Shard& shard = ShardOf(team);
  const auto entry = shard.ledger.teams.find(team);
  const int held = entry == shard.ledger.teams.end() ? 0 : entry->second.HeldBy(m_self);
  if (!shard.pending || !m_options.test_lower_before_swap) {
    return held;
  }
  const auto pending = shard.pending->teams.find(team);
  return std::min(held, pending == shard.pending->teams.end() ? 0 : pending->second.HeldBy(m_self));
}

int SlotLedger::Usable(std::string_view team) const {
  const Shard& shard = ShardOf(team);
  const auto entry = shard.ledger.teams.find(team);
  if (!shard.fenced || entry == shard.ledger.teams.end()) {
    return 0;
  }
  const int held = HeldSlots(team);
  const TeamState* state = FindState(team);
  const int slots_to_release = state == nullptr ? 0 : state->slots_to_release;
  return std::max(0, std::min(held - slots_to_release, RunningLimit(team, entry->second)));
}

int SlotLedger::Running(std::string_view team) const {
  const TeamState* state = FindState(team);
  return state == nullptr ? 0 : state->running;
}

bool SlotLedger::Acquire(TimePoint now, std::string_view team) {
  std::string reason;
  // A daemon that was paused until it was replaced must not use slots that were reassigned.
  if (m_handing_over || !m_head->FreshUntil(now, &reason)) {
    return false;
  }
  if (Running(team) >= Usable(team)) {
    return false;
  }
  TeamState& state = StateOf(team);
  ++state.running;
  CP_INVARIANT(state.running <= HeldSlots(team), "team={} running={} held={}", team, state.running,
               HeldSlots(team));
  return true;
}

void SlotLedger::Release(TimePoint, std::string_view team) {
  TeamState& state = StateOf(team);
  CP_INVARIANT(state.running > 0, "team={}", team);
  state.running = std::max(0, state.running - 1);
  ShardOf(team).dirty = true;
}

void SlotLedger::SetWaiting(TimePoint, std::string_view team, int waiting) {
  TeamState& state = StateOf(team);
  ShardOf(team).dirty = ShardOf(team).dirty || state.waiting != waiting;
  state.waiting = waiting;
}

std::vector<FreeSlots> SlotLedger::Free() const {
  std::vector<FreeSlots> free;
  if (m_handing_over) {
    return free;
  }
  for (const Shard& shard : m_shards) {
    for (const auto& [team, entry] : shard.ledger.teams) {
      const int count = Usable(team) - Running(team);
      if (count > 0) {
        free.push_back(FreeSlots{team, count});
      }
    }
  }
  return free;
}

void SlotLedger::SetPeerDemand(TimePoint now, std::string_view incarnation,
                               std::span<const TeamDemand> demand) {
  PeerDemand& peer = m_peers[std::string(incarnation)];
  peer.received_at = now;
  peer.teams.clear();
  for (const TeamDemand& item : demand) {
    TeamDemand& sum = peer.teams[item.team];
    sum.running += item.running;
    sum.waiting += item.waiting;
  }
}

void SlotLedger::BeginHandOver(TimePoint now) {
  m_handing_over = true;
  m_decision.emit(now, "slots event=hand_over");
}

bool SlotLedger::HandedOver() const {
  return std::all_of(m_shards.begin(), m_shards.end(), [this](const Shard& shard) {
    return !shard.pending && !shard.ledger.leases.contains(m_self);
  });
}

void SlotLedger::Tick(TimePoint now) {
  ReadHead();
  TrackMembership(now);
  std::erase_if(m_peers, [&](const auto& peer) {
    return now - peer.second.received_at > m_options.max_peer_demand_age ||
           m_head->head().FindIncarnation(peer.first) == nullptr;
  });
  std::set<std::string_view> peers_wait;
  for (const auto& [incarnation, peer] : m_peers) {
    for (const auto& [team, demand] : peer.teams) {
      if (demand.waiting > 0) {
        peers_wait.insert(team);
      }
    }
  }
  for (Shard& shard : m_shards) {
    if (!shard.dirty && shard.updated && now - *shard.updated < m_options.plan_interval) {
      continue;
    }
    shard.updated = now;
    shard.wanted = shard.excess = false;
    shard.lacks_slots = MayClaimSlots(now) && LacksSlots(shard);
    for (const auto& [team, entry] : shard.ledger.teams) {
      UpdateTeam(now, team, entry, peers_wait.contains(team));
      const TeamState& state = StateOf(team);
      shard.wanted = shard.wanted || (state.waiting > 0 && state.running >= entry.HeldBy(m_self));
      shard.excess = shard.excess || entry.TotalHeld() > entry.limit;
    }
  }
  // Shards of equal priority are served in round-robin order, so that the rate limit starves none
  // of them.
  for (const Priority priority : {Priority::kWanted, Priority::kLacksSlots, Priority::kAtRest}) {
    for (int i = 0; i < kLedgerShards; ++i) {
      const int number = (m_next_shard + i) % kLedgerShards;
      if (PriorityOf(m_shards[static_cast<std::size_t>(number)]) == priority) {
        AdvanceShard(now, number);
      }
    }
  }
  m_next_shard = (m_next_shard + 1) % kLedgerShards;
}

void SlotLedger::OnResolved(TimePoint now, int number) {
  Shard& shard = m_shards[static_cast<std::size_t>(number)];
  std::string reason;
  std::optional<LedgerShard> ledger = DecodeLedgerShard(shard.document->content(), &reason);
  if (!ledger) {
    m_decision.emit(now,
                    fmt::format("slots event=unreadable shard={} reason=\"{}\"", number, reason));
    return;
  }
  if (shard.fencing) {
    shard.fenced = shard.fenced || shard.document->LastSwapRecorded();
    shard.fencing = false;
  }
  shard.ledger = std::move(*ledger);
  shard.pending.reset();
  shard.dirty = true;
}

void SlotLedger::ReadHead() {
  const Fleet& fleet = m_head->fleet();
  if (m_read_revision == fleet.revision) {
    return;
  }
  m_read_revision = fleet.revision;
  m_longest_lease = std::max(m_longest_lease, LongestLease());
  for (Shard& shard : m_shards) {
    shard.limits.clear();
    shard.dirty = true;
  }
  for (const auto& [name, team] : fleet.teams) {
    ShardOf(name).limits.emplace_back(name, std::max(0, team.contract.upper_limit));
  }
}

void SlotLedger::TrackMembership(TimePoint now) {
  std::string reason;
  const std::optional<TimePoint> fresh = m_head->FreshUntil(now, &reason);
  // During a gap in freshness a holder may have been registered again unnoticed by this daemon, so
  // the waiting times restart.
  if (!fresh || !m_fresh_until || *m_fresh_until < now) {
    m_inactive_since.clear();
  }
  m_fresh_until = fresh;
  const bool registered = m_head->head().FindIncarnation(m_self) != nullptr;
  if (m_registered && !registered) {
    for (Shard& shard : m_shards) {
      shard.fenced = false;
      shard.fencing = false;
    }
  }
  m_registered = registered;
  if (!fresh) {
    return;
  }
  std::set<std::string_view> holders;
  for (const Shard& shard : m_shards) {
    for (const auto& [holder, lease] : shard.ledger.leases) {
      holders.insert(holder);
    }
  }
  std::erase_if(m_inactive_since,
                [&](const auto& inactive) { return !holders.contains(inactive.first); });
  for (const std::string_view holder : holders) {
    const bool inactive = m_options.test_wait_before_reclaim
                              ? !m_head->MayStillDispatch(holder, now)
                              : m_head->head().FindIncarnation(holder) == nullptr;
    if (holder != m_self && inactive) {
      m_inactive_since.try_emplace(std::string(holder), now);
    } else {
      m_inactive_since.erase(std::string(holder));
    }
  }
}

Duration SlotLedger::LongestLease() const {
  Duration longest{0};
  for (const auto& [name, queue] : m_head->fleet().queues) {
    longest = std::max(longest, queue.max_run);
  }
  return longest;
}

bool SlotLedger::MayClaimSlots(TimePoint now) const {
  return !m_handing_over && m_registered && m_fresh_until && now <= *m_fresh_until;
}

bool SlotLedger::IsActingDaemon(int number) const {
  const DaemonRecord* acting = ActingDaemon(m_head->head(), LedgerKey(number));
  return acting != nullptr && acting->incarnation == m_self;
}

bool SlotLedger::ApplyLimits(TimePoint now, int number, LedgerShard* ledger) const {
  const Fleet& fleet = m_head->fleet();
  if (!MayClaimSlots(now) || fleet.revision < ledger->revision) {
    return false;
  }
  bool changed = false;
  for (auto& [name, entry] : ledger->teams) {
    if (!fleet.teams.contains(name) && entry.limit != 0) {
      entry.limit = 0;
      changed = true;
    }
  }
  for (const auto& [name, limit] : m_shards[static_cast<std::size_t>(number)].limits) {
    if ((limit > 0 || ledger->teams.contains(name)) && ledger->teams[name].limit != limit) {
      ledger->teams[name].limit = limit;
      changed = true;
    }
  }
  if (changed) {
    ledger->revision = fleet.revision;
  }
  return changed;
}

bool SlotLedger::MayReclaim(TimePoint now, std::string_view holder, int number,
                            const LedgerShard& ledger) const {
  const auto inactive = m_inactive_since.find(holder);
  if (inactive == m_inactive_since.end()) {
    return false;
  }
  if (!m_options.test_wait_before_reclaim) {
    return true;
  }
  const auto lease = ledger.leases.find(holder);
  const Duration longest =
      std::max(m_longest_lease, lease == ledger.leases.end() ? Duration{0} : lease->second);
  const Duration extra = IsActingDaemon(number) ? Duration{0} : m_options.takeover_delay;
  return now - inactive->second >= longest + m_options.reclaim_margin + extra;
}

bool SlotLedger::Reclaim(TimePoint now, int number, LedgerShard* ledger) const {
  bool changed = false;
  if (!MayClaimSlots(now)) {
    return false;
  }
  for (const auto& [holder, lease] : std::map(ledger->leases)) {
    if (!MayReclaim(now, holder, number, *ledger)) {
      continue;
    }
    for (auto& [name, entry] : ledger->teams) {
      entry.SetHeld(holder, 0);
    }
    ledger->leases.erase(holder);
    changed = true;
  }
  return changed;
}

SlotLedger::Demand SlotLedger::DemandFor(std::string_view team, int limit) const {
  const std::vector<DaemonRecord>& daemons = m_head->head().daemons;
  const TeamState* state = FindState(team);
  std::vector<int> weights;
  Demand demand;
  std::size_t self = daemons.size();
  int sum = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    int weight = 0;
    if (daemons[i].incarnation == m_self) {
      self = i;
      weight = state == nullptr ? 0 : state->running + state->waiting;
    } else if (const auto peer = m_peers.find(daemons[i].incarnation); peer != m_peers.end()) {
      if (const auto item = peer->second.teams.find(team); item != peer->second.teams.end()) {
        weight = item->second.running + item->second.waiting;
        demand.peers_waiting += item->second.waiting;
      }
    }
    weights.push_back(weight);
    sum += weight;
  }
  if (self == daemons.size()) {
    return demand;
  }
  const std::size_t rotation = StableHash(team) % daemons.size();
  if (sum > limit) {
    demand.target = DivideByWeights(limit, weights, rotation)[self];
  } else {
    const std::vector<int> even(daemons.size(), 1);
    demand.target = weights[self] + DivideByWeights(limit - sum, even, rotation)[self];
  }
  return demand;
}

int SlotLedger::RunningLimit(std::string_view team, const LedgerTeam& entry) const {
  if (entry.TotalHeld() <= entry.limit) {
    return std::numeric_limits<int>::max();
  }
  std::vector<int> weights;
  std::size_t self = entry.held.size();
  for (const auto& [holder, count] : entry.held) {
    if (holder == m_self) {
      self = weights.size();
    }
    weights.push_back(count);
  }
  return self == weights.size() ? 0 : DivideByWeights(entry.limit, weights, StableHash(team))[self];
}

void SlotLedger::UpdateTeam(TimePoint now, const std::string& team, const LedgerTeam& entry,
                            bool peers_wait) {
  TeamState& state = StateOf(team);
  const int held = entry.HeldBy(m_self);
  const bool excess = entry.TotalHeld() > entry.limit;
  Demand demand;
  if (held > 0 && peers_wait && !excess) {
    demand = DemandFor(team, entry.limit);
  }
  const int release_before = state.slots_to_release;
  const int surplus = std::min(held - demand.target, demand.peers_waiting);
  const bool idle = state.waiting == 0 && state.running < held;
  if (surplus <= 0 || (!idle && surplus <= held / kBusySurplusDivisor)) {
    state.surplus_since.reset();
    state.slots_to_release = 0;
  } else {
    state.surplus_since = state.surplus_since.value_or(now);
    state.slots_to_release =
        now - *state.surplus_since >= m_options.min_shortage_duration ? surplus : 0;
  }
  if (state.slots_to_release != release_before) {
    ShardOf(team).dirty = true;
  }
  if (entry.TotalHeld() < entry.limit) {
    state.unallocated_since = state.unallocated_since.value_or(now);
  } else {
    state.unallocated_since.reset();
  }
  SignalExcess(now, team, entry);
}

void SlotLedger::SignalExcess(TimePoint now, const std::string& team, const LedgerTeam& entry) {
  TeamState& state = StateOf(team);
  const int running_limit = RunningLimit(team, entry);
  if (state.running <= running_limit) {
    state.excess_since.reset();
    state.excess_signalled.reset();
    return;
  }
  state.excess_since = state.excess_since.value_or(now);
  if (now - *state.excess_since < m_options.checkpoint_grace) {
    return;
  }
  const int tasks = state.running - running_limit;
  const bool more = !state.excess_signalled || tasks > state.excess_count;
  state.excess_count = tasks;
  if (more || now - *state.excess_signalled >= m_options.checkpoint_repeat) {
    state.excess_signalled = now;
    m_decision.emit(now, fmt::format("slots event=excess team={} tasks={} limit={} held={}", team,
                                     tasks, entry.limit, entry.TotalHeld()));
    m_excess.emit(now, team, tasks);
  }
}

void SlotLedger::PlanTeam(TimePoint now, const std::string& team, bool fenced, LedgerTeam* entry) {
  const TeamState& state = StateOf(team);
  const int held = entry->HeldBy(m_self);
  const int unallocated = entry->limit - entry->TotalHeld();
  if (m_handing_over || unallocated < 0) {
    const int surplus = m_handing_over ? held : -unallocated;
    entry->SetHeld(m_self, held - std::clamp(held - state.running, 0, surplus));
    return;
  }
  if (state.slots_to_release > 0) {
    entry->SetHeld(m_self, std::min(held, std::max(state.running, held - state.slots_to_release)));
    return;
  }
  if (unallocated == 0 || !fenced || !MayClaimSlots(now)) {
    return;
  }
  int wanted = DemandFor(team, entry->limit).target - held;
  const bool unclaimed = state.unallocated_since &&
                         now - *state.unallocated_since >= 2 * m_options.min_shortage_duration;
  if (wanted <= 0 && unclaimed) {
    wanted = state.running + state.waiting - held;
  }
  entry->SetHeld(m_self, held + std::clamp(wanted, 0, unallocated));
}

std::optional<LedgerShard> SlotLedger::Plan(TimePoint now, int number) {
  Shard& shard = m_shards[static_cast<std::size_t>(number)];
  LedgerShard next = shard.ledger;
  bool changed = false;
  if (ApplyLimits(now, number, &next)) {
    shard.limits_differ_since = shard.limits_differ_since.value_or(now);
    changed =
        IsActingDaemon(number) || now - *shard.limits_differ_since >= m_options.takeover_delay;
  } else {
    shard.limits_differ_since.reset();
  }
  changed = Reclaim(now, number, &next) || changed;
  bool holds_slots = false;
  for (auto& [team, entry] : next.teams) {
    const int before = entry.HeldBy(m_self);
    PlanTeam(now, team, shard.fenced, &entry);
    const int after = entry.HeldBy(m_self);
    holds_slots = holds_slots || after > 0;
    changed = changed || before != after;
  }
  if (holds_slots) {
    Duration& lease = next.leases[m_self];
    changed = changed || lease < m_longest_lease;
    lease = std::max(lease, m_longest_lease);
  } else {
    changed = next.leases.erase(m_self) > 0 || changed;
  }
  std::erase_if(next.teams, [](const auto& entry) {
    return entry.second.limit == 0 && entry.second.held.empty();
  });
  if (!shard.fenced) {
    const bool held_before = shard.ledger.leases.contains(m_self);
    const bool may_fence =
        MayClaimSlots(now) && m_head->StatusOf(m_head->head().registration_revision, now).in_effect;
    // Another daemon's write that reclaims these slots may be in flight from the time when this
    // incarnation was unregistered. Any new write of the document makes such a write fail.
    shard.fenced = !held_before;
    shard.fencing = held_before && may_fence;
    changed = changed || shard.fencing;
  }
  return changed ? std::optional(std::move(next)) : std::nullopt;
}

bool SlotLedger::LacksSlots(const Shard& shard) const {
  return std::any_of(shard.limits.begin(), shard.limits.end(), [&](const auto& item) {
    const auto& [team, limit] = item;
    const auto entry = shard.ledger.teams.find(team);
    const LedgerTeam known = entry == shard.ledger.teams.end() ? LedgerTeam{} : entry->second;
    return known.TotalHeld() < limit && known.HeldBy(m_self) == 0;
  });
}

SlotLedger::Priority SlotLedger::PriorityOf(const Shard& shard) {
  if (shard.wanted) {
    return Priority::kWanted;
  }
  return shard.lacks_slots ? Priority::kLacksSlots : Priority::kAtRest;
}

Duration SlotLedger::PollInterval(const Shard& shard) const {
  if (shard.wanted || shard.lacks_slots) {
    return m_options.poll_wanted;
  }
  return shard.excess ? m_options.poll_excess : m_options.poll_idle;
}

void SlotLedger::AdvanceShard(TimePoint now, int number) {
  Shard& shard = m_shards[static_cast<std::size_t>(number)];
  shard.document->Tick(now);
  if (!shard.document->Idle()) {
    return;
  }
  const bool due = !shard.read_at || now - *shard.read_at >= PollInterval(shard);
  if (!shard.document->Current() || due) {
    if (m_reads.Take(now)) {
      shard.read_at = now;
      shard.document->Refresh(now);
    }
    return;
  }
  if (!shard.dirty && shard.planned && now - *shard.planned < m_options.plan_interval) {
    return;
  }
  shard.planned = now;
  std::optional<LedgerShard> plan = Plan(now, number);
  shard.dirty = plan.has_value();
  if (!plan || !m_writes.Take(now)) {
    shard.fencing = false;
    return;
  }
  LogPlan(now, number, shard.ledger, *plan);
  shard.pending = std::move(*plan);
  shard.document->Swap(now, EncodeLedgerShard(*shard.pending));
}

void SlotLedger::LogPlan(TimePoint now, int number, const LedgerShard& before,
                         const LedgerShard& after) {
  for (const auto& [team, entry] : after.teams) {
    const auto old = before.teams.find(team);
    const LedgerTeam previous = old == before.teams.end() ? LedgerTeam{} : old->second;
    if (entry != previous) {
      m_decision.emit(
          now, fmt::format("slots event=swap shard={} team={} held={} was={} total={} limit={}",
                           number, team, entry.HeldBy(m_self), previous.HeldBy(m_self),
                           entry.TotalHeld(), entry.limit));
    }
  }
}

}  // namespace cranberryplank
