#ifndef CRANBERRYPLANK_PEERS_MESSAGES_H_
#define CRANBERRYPLANK_PEERS_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cranberryplank/model/time.h"
#include "cranberryplank/model/verdict.h"

namespace cranberryplank {

/// Demand of one team on one pool as seen by one daemon.
struct TeamDemand {
  std::string pool;
  std::string team;
  int running = 0;
  int waiting = 0;

  bool operator==(const TeamDemand&) const = default;
};

/// Free slots of one team held by one daemon.
struct FreeSlots {
  std::string team;
  int free = 0;

  bool operator==(const FreeSlots&) const = default;
};

/// Key that is refused although its withdrawal is not yet recorded in the store.
struct DeniedKey {
  std::string digest;  ///< SHA-256 of the key in hexadecimal.
  std::string nonce;   ///< Identifies the withdrawal.

  bool operator==(const DeniedKey&) const = default;
};

/// Worker that the sender suspects of failing tasks that other workers complete.
struct SuspectVm {
  std::string vm;
  bool quarantined = false;  ///< The sender places only probe tasks on it.
  bool reported = false;     ///< Suspected only because other daemons report it.

  bool operator==(const SuspectVm&) const = default;
};

/// Largest number of suspects in one heartbeat. Bounds the traffic that the failure of a rack adds.
/// At 20 bytes each, sent to 8 peers twice a second, they take half of the 11 KB/s that a daemon
/// may send.
inline constexpr std::size_t kMaxSuspectVms = 16;

/// Periodic heartbeat between two daemons.
struct Heartbeat {
  std::string sender_id;
  std::string incarnation;
  std::uint64_t sequence = 0;       ///< Incremented with each heartbeat to this peer.
  std::uint64_t echo_sequence = 0;  ///< Newest sequence that the sender received from this peer.
  std::string echo_incarnation;     ///< Incarnation of this peer which `echo_sequence` belongs to.
  std::uint64_t revision = 0;       ///< Head revision the sender has applied.
  std::uint64_t newest_revision = 0;  ///< Newest head revision known to the sender.
  std::vector<TeamDemand> demand;
  std::vector<FreeSlots> free_slots;
  std::vector<std::string> leaving_vms;
  std::vector<DeniedKey> denied_keys;
  std::vector<SuspectVm> suspect_vms;  ///< At most `kMaxSuspectVms`.

  bool operator==(const Heartbeat&) const = default;
};

/// Requests a peer's head and the parts that the sender lacks.
struct HeadRequest {
  std::uint64_t request_id = 0;
  std::vector<std::string> known_digests;

  bool operator==(const HeadRequest&) const = default;
};

/// Answer to a HeadRequest; `head` is empty if the peer has none.
struct HeadReply {
  std::uint64_t request_id = 0;
  std::string head;
  std::map<std::string, std::string> parts;  ///< Text by digest in hexadecimal.

  bool operator==(const HeadReply&) const = default;
};

/// Caller's request forwarded to the daemon that runs it.
struct ForwardRequest {
  std::uint64_t request_id = 0;
  std::string task_id;
  std::string ticket;  ///< Empty if the caller has none.
  std::string queue;
  std::string team;
  std::string key_digest;  ///< Empty on queues open to all.
  bool idempotent = false;
  bool urgent = false;
  std::int64_t remaining_ms = 0;  ///< Time until the caller's deadline.
  int hops = 0;
  std::string content_type;
  std::string body;

  bool operator==(const ForwardRequest&) const = default;
};

/// Outcome of a forwarded request.
struct ForwardReply {
  std::uint64_t request_id = 0;
  std::string task_id;
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;  ///< HTTP status for the caller.
  std::string reason;
  std::string content_type;
  std::string body;
  std::optional<Duration> retry_after;  ///< Time for the caller to wait before another attempt.

  bool operator==(const ForwardReply&) const = default;
};

using PeerMessage = std::variant<Heartbeat, HeadRequest, HeadReply, ForwardRequest, ForwardReply>;

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_MESSAGES_H_
