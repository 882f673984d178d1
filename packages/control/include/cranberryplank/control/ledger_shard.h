#ifndef CRANBERRYPLANK_CONTROL_LEDGER_SHARD_H_
#define CRANBERRYPLANK_CONTROL_LEDGER_SHARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Ledger documents that teams are spread over. A constant: another number would need a
/// migration. With 930 teams and 9 daemons a document has about 2 KB.
inline constexpr int kLedgerShards = 32;

/// Returns the shard that holds the slots of `team`.
int LedgerShardOf(std::string_view team);

/// Returns the store key of a ledger shard: `cranberryplank/slots/00` to `.../31`.
std::string LedgerKey(int shard);

/// Slots of one team.
struct LedgerTeam {
  int limit = 0;
  std::map<std::string, int, std::less<>> held;  ///< By the holder's incarnation.

  int TotalHeld() const;
  int HeldBy(std::string_view holder) const;
  void SetHeld(std::string_view holder, int count);

  bool operator==(const LedgerTeam&) const = default;
};

/// Content of one ledger document.
struct LedgerShard {
  std::uint64_t revision = 0;  ///< Head revision that the limits were taken from.
  std::map<std::string, LedgerTeam, std::less<>> teams;
  /// Longest task lease that each holder may have used.
  std::map<std::string, Duration, std::less<>> leases;

  bool operator==(const LedgerShard&) const = default;
};

/// Returns the shard as JSON. Each incarnation is written once to keep the document small.
std::string EncodeLedgerShard(const LedgerShard& shard);

/// Reads a shard from JSON; an empty text is an empty shard.
std::optional<LedgerShard> DecodeLedgerShard(std::string_view text, std::string* last_reason);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_LEDGER_SHARD_H_
