#include "effect_tracker.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

/// Bounds the memory used while nothing takes effect. A dropped revision counts as in effect with
/// the next newer one, which can only delay the answer.
constexpr std::size_t kMaxPending = 64;

}  // namespace

EffectTracker::EffectTracker(std::string incarnation, MembershipRules rules)
    : m_incarnation(std::move(incarnation)), m_rules(rules) {}

void EffectTracker::Applied(TimePoint now, const Head& head) {
  m_head = head;
  for (const DaemonRecord& daemon : head.daemons) {
    m_seen.insert(daemon.incarnation);
  }
  m_acknowledged[m_incarnation] = head.revision;
  std::erase_if(m_acknowledged, [&](const auto& entry) {
    const auto listed = [&](const DaemonRecord& daemon) {
      return daemon.incarnation == entry.first;
    };
    return entry.first != m_incarnation && head.FindIncarnation(entry.first) == nullptr &&
           std::none_of(head.previous_daemons.begin(), head.previous_daemons.end(), listed);
  });
  m_pending.push_back(Pending{head.revision, now, std::nullopt});
  if (m_pending.size() > kMaxPending) {
    m_pending.pop_front();
  }
  Tick(now);
}

void EffectTracker::Acknowledged(TimePoint now, const std::string& incarnation,
                                 std::uint64_t revision) {
  std::uint64_t& newest = m_acknowledged[incarnation];
  if (revision > newest) {
    newest = revision;
    Tick(now);
  }
}

void EffectTracker::SetMissing(TimePoint now, std::set<std::string> missing) {
  if (missing != m_missing) {
    m_missing = std::move(missing);
    Tick(now);
  }
}

void EffectTracker::Tick(TimePoint now) {
  for (Pending& pending : m_pending) {
    if (!pending.majority && MajorityMet(pending.revision)) {
      pending.majority = now;
    }
  }
  const auto newest = std::find_if(m_pending.rbegin(), m_pending.rend(),
                                   [&](const Pending& entry) { return InEffect(entry, now); });
  if (newest != m_pending.rend()) {
    m_effective = newest->revision;
    m_pending.erase(m_pending.begin(), newest.base());
  }
}

EffectStatus EffectTracker::StatusOf(std::uint64_t revision) const {
  EffectStatus status;
  status.in_effect = revision <= m_effective;
  if (status.in_effect) {
    return status;
  }
  for (const DaemonRecord& daemon : m_head.daemons) {
    if (!Acknowledges(daemon.incarnation, revision)) {
      status.pending.push_back(daemon.id);
    }
  }
  return status;
}

bool EffectTracker::RemovalPending(std::string_view incarnation) const {
  const auto listed = [&](const DaemonRecord& daemon) { return daemon.incarnation == incarnation; };
  return PreviousSetInUse() && m_head.FindIncarnation(incarnation) == nullptr &&
         std::any_of(m_head.previous_daemons.begin(), m_head.previous_daemons.end(), listed);
}

bool EffectTracker::Acknowledges(const std::string& incarnation, std::uint64_t revision) const {
  const auto found = m_acknowledged.find(incarnation);
  return m_missing.contains(incarnation) ||
         (found != m_acknowledged.end() && found->second >= revision);
}

int EffectTracker::Outstanding(const std::vector<DaemonRecord>& daemons,
                               std::uint64_t revision) const {
  return static_cast<int>(std::count_if(
      daemons.begin(), daemons.end(),
      [&](const DaemonRecord& daemon) { return !Acknowledges(daemon.incarnation, revision); }));
}

bool EffectTracker::PreviousSetInUse() const {
  // Sets before the previous one are no longer in use, because the change that replaced them was in
  // effect before the last registration change was written.
  return m_head.registration_revision > m_effective;
}

bool EffectTracker::MajorityMet(std::uint64_t revision) const {
  if (!m_rules.wait_for_acknowledgements) {
    return true;
  }
  const auto met = [&](const std::vector<DaemonRecord>& daemons) {
    return 2 * Outstanding(daemons, revision) <= static_cast<int>(daemons.size());
  };
  return met(m_head.daemons) && (!PreviousSetInUse() || met(m_head.previous_daemons));
}

bool EffectTracker::AllAcknowledged(std::uint64_t revision) const {
  return Outstanding(m_head.daemons, revision) == 0 &&
         (!PreviousSetInUse() || Outstanding(m_head.previous_daemons, revision) == 0);
}

bool EffectTracker::InEffect(const Pending& pending, TimePoint now) const {
  if (!pending.majority) {
    return false;
  }
  const TimePoint since = m_rules.count_from_swap ? pending.applied : *pending.majority;
  return now >= since + kFreshness + kEffectMargin || AllAcknowledged(pending.revision);
}

}  // namespace cranberryplank
