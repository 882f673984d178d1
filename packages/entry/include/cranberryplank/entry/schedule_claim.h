#ifndef CRANBERRYPLANK_ENTRY_SCHEDULE_CLAIM_H_
#define CRANBERRYPLANK_ENTRY_SCHEDULE_CLAIM_H_

#include <cstdint>
#include <optional>

#include "cranberryplank/entry/claim_rules.h"
#include "cranberryplank/entry/key_value_store.h"
#include "cranberryplank/entry/owner_client.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/model/random.h"

namespace cranberryplank {

/// Claims the schedule for this daemon when it has no owner that acts, or when the owner asks this
/// daemon to take over.
class ScheduleClaim {
 public:
  ScheduleClaim(KeyValueStore* store, ScheduleOwnership* ownership, const OwnerClient* owner_client,
                RandomSource* random)
      : m_store(store), m_ownership(ownership), m_owner_client(owner_client), m_random(random) {}

  /// Considers a claim. Must be called regularly while this daemon may become the owner.
  /// @param cores processing power of this VM, in cores of standard speed
  /// @param store_answered sending time of the newest call that the store answered
  void Tick(TimePoint now, double cores, TimePoint store_answered);
  /// Records that the owner asked this daemon to take over.
  void RequestTakeOver() { m_asked_to_take_over = true; }
  /// Drops a planned claim, because this daemon is the owner now.
  void Reset();

 private:
  ClaimInput InputAt(TimePoint now, TimePoint store_answered);
  /// Finds out whether an owner that does not answer still writes to the store.
  void ReadCursorOfSilentOwner(TimePoint now, Duration silence);
  /// Takes a change of the cursor for a sign of life of the owner only if the owner wrote it. A
  /// successor's writes would otherwise hide for seconds that the owner was replaced.
  void OnCursor(TimePoint now, const KvItem& cursor);

  KeyValueStore* m_store;
  ScheduleOwnership* m_ownership;
  const OwnerClient* m_owner_client;
  RandomSource* m_random;
  std::optional<TimePoint> m_claim_at;
  std::optional<std::uint64_t> m_cursor_seen;  ///< Its revision, read while the owner is silent.
  std::optional<TimePoint> m_owner_wrote_at;   ///< When the cursor was last seen to have changed.
  bool m_reading_cursor = false;
  TimePoint m_next_cursor_read{};
  bool m_asked_to_take_over = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SCHEDULE_CLAIM_H_
