#include "registrar.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryplank {

namespace {

/// Spreads the attempts of daemons that wait for the same registration change, so that they do not
/// all write at once.
constexpr Duration kRetryInterval{100};
constexpr int kRetrySpreadMs = 200;

}  // namespace

Registrar::Registrar(DaemonRecord self, HeadReader& reader, HeadWriter& writer,
                     const EffectTracker& effect, const FreshnessTracker& freshness,
                     RandomSource& random, MembershipRules rules)
    : m_self(std::move(self)),
      m_reader(reader),
      m_writer(writer),
      m_effect(effect),
      m_freshness(freshness),
      m_random(random),
      m_rules(rules) {}

void Registrar::Tick(TimePoint now, const std::set<std::string>& missing) {
  if (m_submitted || now < m_next_attempt || !m_reader.store_head() || !IsDue(m_reader.head())) {
    return;
  }
  const std::string remove = DaemonToRemove(now, missing);
  if (!remove.empty()) {
    Remove(now, remove);
  } else if (!IsRegistered() && !m_leaving && !removed()) {
    Add(now);
  }
}

bool Registrar::removed() const {
  return !IsRegistered() && m_effect.SeenRegistered(m_self.incarnation);
}

bool Registrar::IsActing(TimePoint now, const std::set<std::string>& missing) const {
  for (const DaemonRecord& daemon : m_reader.head().daemons) {
    if (daemon.incarnation == m_self.incarnation) {
      return true;
    }
    const std::optional<TimePoint> last_alive = m_freshness.LastAliveAt(daemon.incarnation);
    if (!missing.contains(daemon.incarnation) && last_alive && now < *last_alive + kFreshness) {
      return false;
    }
  }
  return false;
}

bool Registrar::IsRegistered() const {
  return m_reader.head().FindIncarnation(m_self.incarnation) != nullptr;
}

bool Registrar::IsDue(const Head& head) const {
  return !m_rules.one_registration_at_a_time ||
         head.registration_revision <= m_effect.effective_revision();
}

std::string Registrar::DaemonToRemove(TimePoint now, const std::set<std::string>& missing) const {
  const std::vector<DaemonRecord>& daemons = m_reader.head().daemons;
  if (IsRegistered()) {
    if (m_leaving) {
      return m_self.incarnation;
    }
    const auto lost = std::find_if(daemons.begin(), daemons.end(), [&](const DaemonRecord& daemon) {
      return missing.contains(daemon.incarnation) && daemon.incarnation != m_self.incarnation;
    });
    return lost != daemons.end() && IsActing(now, missing) ? lost->incarnation : std::string();
  }
  // A restarted process replaces its predecessor on the same VM, which the VM list never reports as
  // missing. The removal is a change of its own, because an addition and a removal in one change
  // would change the set by two.
  const auto predecessor =
      std::find_if(daemons.begin(), daemons.end(),
                   [&](const DaemonRecord& daemon) { return daemon.id == m_self.id; });
  return predecessor != daemons.end() && !m_leaving && !removed() ? predecessor->incarnation
                                                                  : std::string();
}

std::string Registrar::CauseOfRemoval(const std::string& incarnation) const {
  if (incarnation == m_self.incarnation) {
    return "planned stop";
  }
  return IsRegistered() ? "VM or process lost" : "replaced by a later process on its VM";
}

void Registrar::Add(TimePoint now) {
  const std::string change =
      fmt::format("add id={} incarnation={} cause=\"started\"", m_self.id, m_self.incarnation);
  Submit(now, change,
         [this](TimePoint, const Head&, std::vector<DaemonRecord>* daemons, std::string*) {
           daemons->push_back(m_self);
           return true;
         });
}

void Registrar::Remove(TimePoint now, const std::string& incarnation) {
  const DaemonRecord* record = m_reader.head().FindIncarnation(incarnation);
  const std::string change =
      fmt::format("remove id={} incarnation={} cause=\"{}\"", record == nullptr ? "" : record->id,
                  incarnation, CauseOfRemoval(incarnation));
  Submit(now, change,
         [incarnation](TimePoint, const Head& base, std::vector<DaemonRecord>* daemons,
                       std::string* last_reason) {
           if (base.FindIncarnation(incarnation) == nullptr) {
             *last_reason = fmt::format("{} is not registered", incarnation);
             return false;
           }
           std::erase_if(*daemons, [&](const DaemonRecord& daemon) {
             return daemon.incarnation == incarnation;
           });
           return true;
         });
}

void Registrar::Submit(TimePoint now, const std::string& change,
                       HeadWriter::RegistrationEdit edit) {
  m_submitted = true;
  m_writer.SubmitRegistration(
      now,
      [this, edit = std::move(edit)](TimePoint when, const Head& base,
                                     std::vector<DaemonRecord>* daemons, std::string* last_reason) {
        if (!IsDue(base)) {
          *last_reason = fmt::format("registration change {} is not yet in effect",
                                     base.registration_revision);
          return false;
        }
        return edit(when, base, daemons, last_reason);
      },
      [this, change](TimePoint when, const ChangeResult& result) {
        m_submitted = false;
        if (result.outcome != ChangeOutcome::kRecorded) {
          // Not logged, since several daemons try the same change and repeat it in an outage.
          m_next_attempt = when + kRetryInterval + Duration(m_random.Below(kRetrySpreadMs));
          return;
        }
        m_decision.emit(when,
                        fmt::format("membership event={} revision={}", change, result.revision));
      });
}

}  // namespace cranberryplank
