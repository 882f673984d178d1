#ifndef CRANBERRYPLANK_ENTRY_SCHEDULE_OWNERSHIP_H_
#define CRANBERRYPLANK_ENTRY_SCHEDULE_OWNERSHIP_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/entry/key_value_store.h"

namespace cranberryplank {

/// Who owns a duty, as the store tells it. The revision of the record is the owner's epoch.
struct OwnershipRecord {
  std::string owner;        ///< Name of the daemon's VM.
  std::string address;      ///< For calls between daemons.
  std::string incarnation;  ///< Of the owner's process.
  int generation = 0;       ///< Number of earlier claims.
};

/// Key of the cursor that every transaction of the owner writes; a claim writes it too, so that its
/// revision is known to the new owner.
constexpr std::string_view kCursorKey = "schedule/cursor";

std::string EncodeOwnership(const OwnershipRecord& record);
std::optional<OwnershipRecord> DecodeOwnership(std::string_view value);

/// What a daemon knows of the owner of a duty when it decides whether to claim it.
struct ClaimInput {
  bool owner_known = false;
  bool own_stale_record = false;         ///< The record names an earlier process of this VM.
  bool denies_ownership = false;         ///< The daemon at the owner's address says it is not.
  bool refused = false;                  ///< The owner's address refuses connections.
  bool owner_store_unreachable = false;  ///< The owner says that the store does not answer it.
  Duration silence{0};                   ///< Since the owner last answered this daemon.
  Duration known_for{0};                 ///< Since this daemon learnt of the present record.
  Duration store_age{0};                 ///< Since sending the newest call that the store answered.
};

/// Tells whether to claim the duty. A claim is safe at any time, since each has an epoch of its
/// own; this keeps daemons from taking the duty from one another without need.
bool ShouldClaim(const ClaimInput& input);

/// Claims a duty in the store, and knows until when this daemon may act on it.
class ScheduleOwnership {
 public:
  /// An owner may act this long after sending the newest call that confirmed its ownership.
  static constexpr Duration kAuthority{8'000};

  ScheduleOwnership(KeyValueStore* store, std::string key, OwnershipRecord self);

  /// Reads the record if it is not known or may be out of date.
  void Tick(TimePoint now);
  /// Reads the record anew.
  void Read(TimePoint now);
  void Claim(TimePoint now);
  /// A transaction that names the record's revision succeeded; it was sent at `sent`.
  void Confirm(TimePoint sent);
  /// Ends the authority for good, before the duty is handed over.
  void StepDown() { m_stepped_down = true; }
  /// The duty is another's: a transaction or a worker said so.
  void Lose(TimePoint now, std::string_view reason);

  bool owned() const { return m_owned; }
  bool known() const { return m_known; }
  const std::optional<OwnershipRecord>& record() const { return m_record; }
  std::uint64_t revision() const { return m_revision; }
  const std::string& key() const { return m_key; }
  TimePoint authority_until() const {
    return m_stepped_down ? TimePoint{} : m_confirmed + kAuthority;
  }
  TimePoint record_changed_at() const { return m_record_changed_at; }
  /// Sending time of the newest call that the store answered.
  TimePoint store_answered() const { return m_store_answered; }
  /// The record names an earlier process of this VM, or an ownership that this one has lost: its
  /// epoch must not be used again, since workers may have seen higher fences under it.
  bool is_own_stale_record() const;
  const std::string& incarnation() const { return m_self.incarnation; }
  /// The owner before this daemon; nothing if there was none.
  const std::optional<OwnershipRecord>& predecessor() const { return m_predecessor; }

  /// This daemon has become the owner.
  sigc::signal<void, TimePoint>& signal_acquired() { return m_acquired; }
  /// This daemon is no longer the owner.
  sigc::signal<void, TimePoint>& signal_lost() { return m_lost; }

 private:
  void OnRecord(TimePoint now, TimePoint sent, const KvItem& item);
  void OnClaimReply(TimePoint now, TimePoint sent, const OwnershipRecord& claim,
                    const KvCommitReply& reply);
  void OnClaimSucceeded(TimePoint now, TimePoint sent, const OwnershipRecord& claim,
                        std::uint64_t revision);
  void Acquire(TimePoint now, TimePoint sent);

  KeyValueStore* m_store;
  std::string m_key;
  OwnershipRecord m_self;
  std::optional<OwnershipRecord> m_record;
  std::optional<OwnershipRecord> m_predecessor;
  std::uint64_t m_revision = 0;
  std::uint64_t m_lost_revision = 0;  ///< Epoch of the ownership that was lost last.
  bool m_known = false;
  bool m_owned = false;
  bool m_stepped_down = false;
  bool m_reading = false;
  bool m_claiming = false;
  TimePoint m_confirmed{};
  TimePoint m_record_changed_at{};
  TimePoint m_store_answered{};
  TimePoint m_next_read{};
  sigc::signal<void, TimePoint> m_acquired;
  sigc::signal<void, TimePoint> m_lost;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SCHEDULE_OWNERSHIP_H_
