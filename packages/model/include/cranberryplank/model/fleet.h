#ifndef CRANBERRYPLANK_MODEL_FLEET_H_
#define CRANBERRYPLANK_MODEL_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/digest.h"
#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/queue.h"
#include "cranberryplank/model/team.h"
#include "cranberryplank/model/vm.h"

namespace cranberryplank {

inline constexpr std::string_view kTeamsPart = "teams";
inline constexpr std::string_view kKeysPart = "keys";
inline constexpr std::string_view kPoolsPart = "pools";
inline constexpr std::string_view kQueuesPart = "queues";
inline constexpr std::string_view kBundlePart = "bundle";
inline constexpr std::string_view kChangesPart = "changes";
inline constexpr std::string_view kCandidatePart = "candidate";

/// Number of recent changes whose nonces are stored, so that a repeated change is recognised.
inline constexpr std::size_t kRememberedChanges = 64;

/// Number of parts that VM records are distributed over, so that every value stays well below the
/// store's limit of 1 MB.
inline constexpr int kVmShards = 16;

/// Returns the name of the part that holds the VMs of `rack`: `vms/00` to `vms/15`.
std::string VmPartName(std::string_view rack);

/// Recorded change by an operator. A client that missed the answer repeats the change with the same
/// nonce, so that it is not applied twice.
struct ChangeRecord {
  std::string nonce;        ///< Idempotency key chosen by the client.
  std::string fingerprint;  ///< Hash of the requested change.
  std::uint64_t revision = 0;

  bool operator==(const ChangeRecord&) const = default;
};

/// Most recently submitted bundle. Its text is stored under `PartKey(digest)`, but the head does
/// not reference it until the bundle is activated. A daemon applies a head only after reading all
/// of its parts, so a damaged candidate would prevent it from applying the newest configuration.
struct BundleCandidate {
  std::uint64_t version = 0;
  Digest digest;
  std::uint64_t revision = 0;   ///< Revision that recorded the candidate.
  std::uint64_t activated = 0;  ///< Revision that activated the bundle; 0 if not activated.

  bool operator==(const BundleCandidate&) const = default;
};

/// Configuration of the whole fleet at one head revision.
struct Fleet {
  std::uint64_t revision = 0;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, KeyGrant, std::less<>> keys;  ///< By digest in hexadecimal.
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Queue, std::less<>> queues;
  std::map<std::string, Vm, std::less<>> vms;
  std::vector<ChangeRecord> changes;  ///< Newest last, at most `kRememberedChanges`.
  std::string bundle;                 ///< Text of the active bundle; parsed by package `bundle`.
  std::optional<BundleCandidate> candidate;

  bool operator==(const Fleet&) const = default;
};

/// Returns the text of each part of `fleet`, by part name. Equal content gives equal text.
std::map<std::string, std::string> EncodeFleet(const Fleet& fleet);

/// Decodes one part into `fleet` and replaces the previous content of that part.
/// @return false, with `last_reason` set, if the part's name or text is not valid.
bool DecodePart(std::string_view name, std::string_view text, Fleet* fleet,
                std::string* last_reason);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_FLEET_H_
