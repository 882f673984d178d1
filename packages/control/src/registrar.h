#ifndef CRANBERRYPLANK_CONTROL_REGISTRAR_H_
#define CRANBERRYPLANK_CONTROL_REGISTRAR_H_

#include <sigc++/sigc++.h>

#include <set>
#include <string>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/model/head.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "effect_tracker.h"
#include "freshness_tracker.h"
#include "head_reader.h"
#include "head_writer.h"

namespace cranberryplank {

/// Registers this daemon, deregisters it on a planned stop and removes missing daemons. Each change
/// waits until the previous registration change is in effect.
class Registrar {
 public:
  using DecisionSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*line*/>;

  Registrar(DaemonRecord self, HeadReader& reader, HeadWriter& writer, const EffectTracker& effect,
            const FreshnessTracker& freshness, RandomSource& random, MembershipRules rules);

  /// Starts the registration change that is due; `missing` are incarnations whose VM or process no
  /// longer exists.
  void Tick(TimePoint now, const std::set<std::string>& missing);

  /// Removes this daemon from the head and keeps it from registering again.
  void Leave() { m_leaving = true; }

  bool leaving() const { return m_leaving; }

  /// Log line (key=value) for each registration change that this daemon recorded.
  DecisionSignal& signal_decision() { return m_decision; }

  /// Returns whether another daemon removed this one.
  bool removed() const;

  /// Returns whether this daemon acts for the whole fleet, as the first listed daemon that is
  /// neither missing nor silent. Two daemons may act at the same time; the compare-and-swap then
  /// accepts only one of their changes.
  bool IsActing(TimePoint now, const std::set<std::string>& missing) const;

 private:
  bool IsRegistered() const;
  bool IsDue(const Head& head) const;
  std::string DaemonToRemove(TimePoint now, const std::set<std::string>& missing) const;
  void Add(TimePoint now);
  void Remove(TimePoint now, const std::string& incarnation);
  std::string CauseOfRemoval(const std::string& incarnation) const;
  /// @param change event, daemon and cause for the log
  void Submit(TimePoint now, const std::string& change, HeadWriter::RegistrationEdit edit);

  DaemonRecord m_self;
  HeadReader& m_reader;
  HeadWriter& m_writer;
  const EffectTracker& m_effect;
  const FreshnessTracker& m_freshness;
  RandomSource& m_random;
  MembershipRules m_rules;
  bool m_leaving = false;
  bool m_submitted = false;
  TimePoint m_next_attempt;
  DecisionSignal m_decision;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_REGISTRAR_H_
