#ifndef CRANBERRYPLANK_CONTROL_EFFECT_TRACKER_H_
#define CRANBERRYPLANK_CONTROL_EFFECT_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/model/head.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Determines which revisions are in effect, from the acknowledgements of the registered daemons.
class EffectTracker {
 public:
  EffectTracker(std::string incarnation, MembershipRules rules);

  /// Records that this daemon now holds `head`.
  void Applied(TimePoint now, const Head& head);

  /// Records that a daemon holds `revision`.
  void Acknowledged(TimePoint now, const std::string& incarnation, std::uint64_t revision);

  /// Replaces the incarnations of missing daemons, whose acknowledgement is not needed.
  void SetMissing(TimePoint now, std::set<std::string> missing);

  void Tick(TimePoint now);

  EffectStatus StatusOf(std::uint64_t revision) const;

  /// Newest revision known to be in effect.
  std::uint64_t effective_revision() const { return m_effective; }

  /// Returns whether the removal of `incarnation` by the held head's last registration change is
  /// not yet in effect.
  bool RemovalPending(std::string_view incarnation) const;

  /// Returns whether any head held so far listed `incarnation`.
  bool SeenRegistered(const std::string& incarnation) const { return m_seen.contains(incarnation); }

 private:
  /// Revision held here and not yet in effect.
  struct Pending {
    std::uint64_t revision = 0;
    TimePoint applied;
    /// First time at which at most half of the acknowledgements were outstanding. Half suffices,
    /// because a daemon confirms an older head only with more than half of the daemons.
    std::optional<TimePoint> majority;
  };

  bool Acknowledges(const std::string& incarnation, std::uint64_t revision) const;
  int Outstanding(const std::vector<DaemonRecord>& daemons, std::uint64_t revision) const;
  bool MajorityMet(std::uint64_t revision) const;
  bool AllAcknowledged(std::uint64_t revision) const;
  bool InEffect(const Pending& pending, TimePoint now) const;
  bool PreviousSetInUse() const;

  std::string m_incarnation;
  MembershipRules m_rules;
  Head m_head;
  std::uint64_t m_effective = 0;
  std::deque<Pending> m_pending;  ///< By rising revision.
  std::map<std::string, std::uint64_t> m_acknowledged;
  std::set<std::string> m_missing;
  std::set<std::string> m_seen;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_EFFECT_TRACKER_H_
