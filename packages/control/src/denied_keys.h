#ifndef CRANBERRYPLANK_CONTROL_DENIED_KEYS_H_
#define CRANBERRYPLANK_CONTROL_DENIED_KEYS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/control/recorded_change.h"
#include "cranberryplank/model/digest.h"
#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/head.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Keys that are refused although the store does not yet record their withdrawal.
class DeniedKeys {
 public:
  DeniedKeys(std::string incarnation, RandomSource& random);

  /// Refuses a key from now on.
  /// @param newest newest revision known from any source; the withdrawal applies to grants up to
  ///     it.
  /// @param change_nonce nonce of the operator's change, or empty
  void Deny(TimePoint now, const Digest& key, std::uint64_t newest, std::string_view change_nonce);

  /// Adds the denials listed in a peer's heartbeat.
  void HeartbeatReceived(TimePoint now, const std::string& sender, const Heartbeat& heartbeat);

  /// Drops the denials whose withdrawal `fleet` records.
  void Applied(const Fleet& fleet);

  bool IsDenied(const Digest& key) const;
  std::optional<DenialStatus> StatusOf(const Digest& key, const Head& head) const;

  /// Denials to send in each heartbeat.
  std::vector<DeniedKey> ForHeartbeat() const;

  /// Withdrawal still to be recorded.
  struct UnrecordedWithdrawal {
    std::string nonce;  ///< Of the denial.
    Digest key;
    ChangeIdentity identity;
  };

  /// Returns the withdrawals to be recorded now and marks them as in progress.
  /// @param acting whether this daemon also records what other daemons denied.
  std::vector<UnrecordedWithdrawal> TakeUnrecordedWithdrawals(TimePoint now, bool acting);

  /// Schedules another attempt after recording failed.
  void RecordingFailed(TimePoint now, const std::string& nonce);

 private:
  struct Denial {
    Digest key;
    std::uint64_t newest = 0;
    bool own = false;
    TimePoint next_attempt;
    bool in_progress = false;
    std::set<std::string> refusing;  ///< Incarnations known to refuse the key.
  };

  struct RecordedDenial {
    std::string nonce;
    Digest key;
    std::uint64_t revision = 0;
    std::set<std::string> refusing;
  };

  bool WasRecorded(const std::string& nonce) const;

  std::string m_incarnation;
  RandomSource& m_random;
  std::map<std::string, Denial> m_denials;  ///< By nonce.
  std::deque<RecordedDenial> m_recorded;    ///< Oldest first.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_DENIED_KEYS_H_
