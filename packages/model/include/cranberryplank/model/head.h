#ifndef CRANBERRYPLANK_MODEL_HEAD_H_
#define CRANBERRYPLANK_MODEL_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/digest.h"

namespace cranberryplank {

/// Store key of the head document.
inline constexpr std::string_view kHeadKey = "cranberryplank/head";

/// Maximum size of a part. Larger parts would exceed the store's limit of 1 MB per value or the
/// frame limit of the peer protocol.
inline constexpr std::size_t kMostPartBytes = 900'000;

/// Returns the store key of the immutable part with digest `digest`.
std::string PartKey(const Digest& digest);

/// Daemon registered in the head.
struct DaemonRecord {
  std::string id;           ///< Name of the entry VM.
  std::string incarnation;  ///< Random; generated at each start of the process.
  std::string zone;
  std::string peer_host;
  std::uint16_t peer_port = 0;
  std::string api_host;
  std::uint16_t api_port = 0;

  bool operator==(const DaemonRecord&) const = default;
};

/// Latest change of the head made by one incarnation.
struct WriteRecord {
  std::string incarnation;
  std::string nonce;
  std::uint64_t revision = 0;  ///< Revision created by the change.

  bool operator==(const WriteRecord&) const = default;
};

/// Root document of the configuration, on which all daemons agree. It references all other
/// configuration by digest.
struct Head {
  std::uint64_t revision = 0;  ///< Incremented by one with each change.
  std::string writer;          ///< Nonce of the write that created this revision.
  std::map<std::string, Digest> parts;
  std::vector<DaemonRecord> daemons;
  std::uint64_t registration_revision = 0;  ///< Revision of the last change of `daemons`.
  /// Daemons registered before the last change of `daemons`. A daemon that missed that change
  /// needs them to determine whether a revision is also in effect under the previous set.
  std::vector<DaemonRecord> previous_daemons;
  /// Latest change by each registered daemon and by some former ones. A writer that missed the
  /// answer to its compare-and-swap finds the outcome here, even if others have changed the head
  /// since.
  std::vector<WriteRecord> last_writes;

  bool operator==(const Head&) const = default;

  /// Returns the record of a registered daemon's incarnation, or nullptr.
  const DaemonRecord* FindIncarnation(std::string_view incarnation) const;
};

/// Returns `head` as JSON.
std::string EncodeHead(const Head& head);

/// Decodes a head from JSON; on failure returns nothing and sets `last_reason`.
std::optional<Head> DecodeHead(std::string_view text, std::string* last_reason);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_HEAD_H_
