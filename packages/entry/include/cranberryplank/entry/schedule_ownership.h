#ifndef CRANBERRYPLANK_ENTRY_SCHEDULE_OWNERSHIP_H_
#define CRANBERRYPLANK_ENTRY_SCHEDULE_OWNERSHIP_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/entry/key_value_store.h"
#include "cranberryplank/scheduler/earlier_owners.h"

namespace cranberryplank {

/// Owner of the schedule as recorded in the store. The record's revision is the owner's epoch.
struct OwnershipRecord {
  std::string owner;        ///< Name of the daemon's VM.
  std::string address;      ///< Address for calls between daemons.
  std::string incarnation;  ///< Incarnation of the owner's process.
  int generation = 0;       ///< Number of earlier claims.
  /// Owners that might act at the time of the claim. A record of a version that does not list them
  /// has one that cannot be asked.
  std::vector<EarlierOwner> earlier;
};

/// Key of the cursor that every transaction of the owner writes. A claim writes it too, so that the
/// new owner knows its revision.
constexpr std::string_view kCursorKey = "schedule/cursor";
/// Stands between the writer's epoch and the transaction's number in the cursor's value.
constexpr char kCursorSeparator = '-';

std::string EncodeOwnership(const OwnershipRecord& record);
std::optional<OwnershipRecord> DecodeOwnership(std::string_view value);

/// Claims the ownership of the schedule in the store and tracks until when this daemon may act as
/// the owner.
class ScheduleOwnership {
 public:
  /// Time for which an owner may act after sending the newest call that confirmed its ownership.
  static constexpr Duration kAuthority{8'000};

  ScheduleOwnership(KeyValueStore* store, std::string key, OwnershipRecord self);

  /// Reads the record if it is unknown or may be out of date.
  void Tick(TimePoint now);
  /// Reads the record again, unless a read is under way that was sent a short while ago.
  void Read(TimePoint now);
  /// Reads the record soon, because a decision waits for a confirmation.
  void RequestConfirmation(TimePoint now);
  void Claim(TimePoint now);
  /// Extends the authority after a transaction with the record's revision as a precondition
  /// succeeded. The transaction was sent at `sent`.
  void Confirm(TimePoint sent);
  /// Ends the authority of this ownership before another daemon is asked to take over.
  void StepDown() { m_stepped_down = true; }
  /// Restores the authority after every daemon that was asked to take over has refused.
  void Resume() { m_stepped_down = false; }
  /// Ends the ownership because it has expired, or because the store or a worker shows that another
  /// daemon owns the schedule.
  void Lose(TimePoint now, std::string_view reason);

  bool owned() const { return m_owned; }
  bool known() const { return m_known; }
  const std::optional<OwnershipRecord>& record() const { return m_record; }
  std::uint64_t revision() const { return m_revision; }
  const std::string& key() const { return m_key; }
  /// Sending time of the newest call that confirmed the ownership.
  TimePoint confirmed() const { return m_confirmed; }
  TimePoint authority_until() const {
    return m_stepped_down ? TimePoint{} : m_confirmed + kAuthority;
  }
  TimePoint record_changed_at() const { return m_record_changed_at; }
  /// Sending time of the newest call that the store answered.
  TimePoint store_answered() const { return m_store_answered; }
  /// Returns whether the record names an earlier process of this VM, or an ownership that this
  /// process has lost. Its epoch must not be reused because workers may have seen higher fences
  /// under it.
  bool is_own_stale_record() const;
  const std::string& incarnation() const { return m_self.incarnation; }
  /// Emitted when this daemon becomes the owner.
  sigc::signal<void, TimePoint>& signal_acquired() { return m_acquired; }
  /// Emitted when this daemon stops being the owner.
  sigc::signal<void, TimePoint>& signal_lost() { return m_lost; }

 private:
  void OnRecord(TimePoint now, TimePoint sent, const KvItem& item);
  void OnClaimReply(TimePoint now, TimePoint sent, const OwnershipRecord& claim,
                    const KvCommitReply& reply);
  void OnClaimSucceeded(TimePoint now, TimePoint sent, const OwnershipRecord& claim,
                        std::uint64_t revision);
  void Acquire(TimePoint now, TimePoint sent);
  /// Returns the owners that may still act when this daemon claims the schedule.
  std::vector<EarlierOwner> OwnersBefore(TimePoint now) const;

  KeyValueStore* m_store;
  std::string m_key;
  OwnershipRecord m_self;
  std::optional<OwnershipRecord> m_record;
  std::uint64_t m_revision = 0;
  std::uint64_t m_lost_revision = 0;  ///< Epoch of the most recently lost ownership.
  bool m_known = false;
  bool m_owned = false;
  bool m_stepped_down = false;
  int m_reads_in_flight = 0;
  TimePoint m_read_sent{};      ///< Of the newest read.
  TimePoint m_read_answered{};  ///< Sending time of the newest read that was answered.
  bool m_claiming = false;
  TimePoint m_confirmed{};
  TimePoint m_record_changed_at{};
  TimePoint m_store_answered{};
  TimePoint m_next_read{};
  TimePoint m_next_requested_read{};
  sigc::signal<void, TimePoint> m_acquired;
  sigc::signal<void, TimePoint> m_lost;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SCHEDULE_OWNERSHIP_H_
