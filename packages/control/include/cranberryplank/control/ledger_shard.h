#ifndef CRANBERRYPLANK_CONTROL_LEDGER_SHARD_H_
#define CRANBERRYPLANK_CONTROL_LEDGER_SHARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Number of ledger documents over which teams are distributed. Changing it requires a migration
/// of the stored documents. With 930 teams and 9 daemons a document has about 2 KB.
inline constexpr int kLedgerShards = 32;

/// Returns the number of the shard that contains the slots of `team`.
int LedgerShardOf(std::string_view team);

/// Returns the store key of a ledger shard: `cranberryplank/slots/00` to `.../31`.
std::string LedgerKey(int shard);

/// Slot allocation of one team.
struct LedgerTeam {
  int limit = 0;
  std::map<std::string, int, std::less<>> held;  ///< Slots held, by incarnation of the holder.

  int TotalHeld() const;
  int HeldBy(std::string_view holder) const;
  void SetHeld(std::string_view holder, int count);

  bool operator==(const LedgerTeam&) const = default;
};

/// Content of one ledger document.
struct LedgerShard {
  std::uint64_t revision = 0;  ///< Head revision from which the limits were read.
  std::map<std::string, LedgerTeam, std::less<>> teams;
  /// Longest task lease that each holder may have used. Delays the reclaim of its slots.
  std::map<std::string, Duration, std::less<>> leases;

  bool operator==(const LedgerShard&) const = default;
};

/// Encodes the shard as JSON. Each incarnation is written once to keep the document small.
std::string EncodeLedgerShard(const LedgerShard& shard);

/// Decodes a shard from JSON. An empty text yields an empty shard.
std::optional<LedgerShard> DecodeLedgerShard(std::string_view text, std::string* last_reason);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_LEDGER_SHARD_H_
