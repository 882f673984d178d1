#include "denied_keys.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace cranberryplank {

namespace {

/// Recorded denials kept, so that a late heartbeat does not restore them.
constexpr std::size_t kMaxRecordedDenials = 1'024;

/// Time after which another daemon records a withdrawal that the daemon which accepted it has not
/// recorded.
constexpr Duration kOwnerRecordingTime{3'000};
constexpr Duration kRetryInterval{1'000};

/// Hexadecimal digits of an operator's nonce; a generated denial number has 16.
constexpr std::size_t kChangeNonceLength = 32;

/// Returns the revision that a nonce starts with, or nothing if the nonce has another form.
std::optional<std::uint64_t> RevisionOf(std::string_view nonce) {
  std::uint64_t revision = 0;
  const char* end = nonce.data() + nonce.size();
  const auto [rest, error] = std::from_chars(nonce.data(), end, revision);
  if (error != std::errc() || rest == end || *rest != '-') {
    return std::nullopt;
  }
  return revision;
}

/// Returns the nonce of the operator's change that a denial's nonce ends with, or an empty view if
/// the denial has a generated number. The denial's nonce carries it, so that any daemon that
/// records the withdrawal also records the operator's change.
std::string_view ChangeNonceOf(std::string_view nonce) {
  const std::string_view rest = nonce.substr(nonce.find('-') + 1);
  return rest.size() == kChangeNonceLength ? rest : std::string_view();
}

}  // namespace

std::string DenialStatus::ToString() const {
  if (revision) {
    return fmt::format("refused on {} of {} daemons, recorded in revision {}", refused_on,
                       registered, *revision);
  }
  return fmt::format("refused on {} of {} daemons, not yet recorded", refused_on, registered);
}

DeniedKeys::DeniedKeys(std::string incarnation, RandomSource& random)
    : m_incarnation(std::move(incarnation)), m_random(random) {}

void DeniedKeys::Deny(TimePoint now, const Digest& key, std::uint64_t newest,
                      std::string_view change_nonce) {
  const auto same = [&](const auto& entry) {
    return entry.second.key == key &&
           (change_nonce.empty() || ChangeNonceOf(entry.first) == change_nonce);
  };
  if (std::any_of(m_denials.begin(), m_denials.end(), same)) {
    return;
  }
  // The revision distinguishes a daemon that lags behind from one whose configuration records the
  // withdrawal, because both may hold a configuration without the key.
  const std::string nonce = change_nonce.empty()
                                ? fmt::format("{}-{:016x}", newest, m_random.Next())
                                : fmt::format("{}-{}", newest, change_nonce);
  m_denials[nonce] = Denial{key, newest, true, now, false, {m_incarnation}};
}

void DeniedKeys::HeartbeatReceived(TimePoint now, const std::string& sender,
                                   const Heartbeat& heartbeat) {
  for (const DeniedKey& denied : heartbeat.denied_keys) {
    const std::optional<std::uint64_t> newest = RevisionOf(denied.nonce);
    if (!newest || WasRecorded(denied.nonce)) {
      continue;
    }
    const auto [entry, added] =
        m_denials.try_emplace(denied.nonce, Denial{Digest{denied.digest},
                                                   *newest,
                                                   false,
                                                   now + kOwnerRecordingTime,
                                                   false,
                                                   {m_incarnation}});
    entry->second.refusing.insert(sender);
  }
}

void DeniedKeys::Applied(const Fleet& fleet) {
  for (auto entry = m_denials.begin(); entry != m_denials.end();) {
    const Denial& denial = entry->second;
    // A recorded nonce ends the denial even if the key is listed, because the key was granted again
    // or the nonce belongs to another change.
    const auto recorded =
        FindRecorded(fleet, WithdrawalIdentity(ChangeNonceOf(entry->first), denial.key.hex));
    const bool listed = fleet.revision < denial.newest || fleet.keys.contains(denial.key.hex);
    if (!recorded && listed) {
      ++entry;
      continue;
    }
    m_recorded.push_back(RecordedDenial{
        entry->first, denial.key, recorded ? recorded->revision : fleet.revision, denial.refusing});
    if (m_recorded.size() > kMaxRecordedDenials) {
      m_recorded.pop_front();
    }
    entry = m_denials.erase(entry);
  }
}

bool DeniedKeys::IsDenied(const Digest& key) const {
  return std::any_of(m_denials.begin(), m_denials.end(),
                     [&](const auto& entry) { return entry.second.key == key; });
}

std::optional<DenialStatus> DeniedKeys::StatusOf(const Digest& key, const Head& head) const {
  const auto count = [&](const std::set<std::string>& refusing) {
    return static_cast<int>(std::count_if(
        head.daemons.begin(), head.daemons.end(),
        [&](const DaemonRecord& daemon) { return refusing.contains(daemon.incarnation); }));
  };
  const int registered = static_cast<int>(head.daemons.size());
  for (const auto& [nonce, denial] : m_denials) {
    if (denial.key == key) {
      return DenialStatus{count(denial.refusing), registered, std::nullopt};
    }
  }
  const auto recorded = std::find_if(m_recorded.rbegin(), m_recorded.rend(),
                                     [&](const RecordedDenial& entry) { return entry.key == key; });
  if (recorded == m_recorded.rend()) {
    return std::nullopt;
  }
  return DenialStatus{count(recorded->refusing), registered, recorded->revision};
}

std::vector<DeniedKey> DeniedKeys::ForHeartbeat() const {
  std::vector<DeniedKey> denied;
  for (const auto& [nonce, denial] : m_denials) {
    denied.push_back(DeniedKey{denial.key.hex, nonce});
  }
  return denied;
}

std::vector<DeniedKeys::UnrecordedWithdrawal> DeniedKeys::TakeUnrecordedWithdrawals(TimePoint now,
                                                                                    bool acting) {
  std::vector<UnrecordedWithdrawal> unrecorded;
  for (auto& [nonce, denial] : m_denials) {
    if (!denial.in_progress && now >= denial.next_attempt && (denial.own || acting)) {
      denial.in_progress = true;
      unrecorded.push_back(UnrecordedWithdrawal{
          nonce, denial.key, WithdrawalIdentity(ChangeNonceOf(nonce), denial.key.hex)});
    }
  }
  return unrecorded;
}

void DeniedKeys::RecordingFailed(TimePoint now, const std::string& nonce) {
  const auto denial = m_denials.find(nonce);
  if (denial != m_denials.end()) {
    denial->second.in_progress = false;
    denial->second.next_attempt = now + kRetryInterval;
  }
}

bool DeniedKeys::WasRecorded(const std::string& nonce) const {
  return std::any_of(m_recorded.begin(), m_recorded.end(),
                     [&](const RecordedDenial& entry) { return entry.nonce == nonce; });
}

}  // namespace cranberryplank
