// Messages between daemons. The generated code is committed; after a change run, in this directory:
//   thrift -gen cpp:no_skeleton -out ../src/generated peer_messages.thrift
//
// Daemons of neighbouring releases run side by side during a rollout. Fields are only ever added,
// with new numbers and without `required`; older daemons skip them.

namespace cpp cranberryplank.wire

// Numbered from 1 so that a missing or zeroed field never reads as a verdict.
enum Verdict {
  NOT_RUN = 1,
  MAY_HAVE_RUN = 2,
  COMPLETED = 3,
}

struct TeamDemand {
  1: required string pool,
  2: required string team,
  3: i32 running,
  4: i32 waiting,
}

struct FreeSlots {
  1: required string team,
  2: i32 free,
}

struct DeniedKey {
  1: required string digest,
  2: required string nonce,
}

struct SuspectVm {
  1: required string vm,
  2: bool quarantined,
  3: bool reported,
}

struct Beat {
  1: required string sender_id,
  2: required string incarnation,
  3: required i64 sequence,
  4: required i64 echo_sequence,
  5: required string echo_incarnation,
  6: required i64 revision,
  7: required i64 newest_revision,
  8: list<TeamDemand> demand,
  9: list<FreeSlots> free_slots,
  10: list<string> leaving_vms,
  11: list<DeniedKey> denied_keys,
  12: list<SuspectVm> suspect_vms,
}

struct HeadRequest {
  1: required i64 request_id,
  2: list<string> known_digests,
}

struct HeadReply {
  1: required i64 request_id,
  2: required string head,
  3: map<string, binary> parts,
}

struct ForwardRequest {
  1: required i64 request_id,
  2: required string task_id,
  3: string ticket,
  4: required string queue,
  5: required string team,
  6: string key_digest,
  7: required bool idempotent,
  8: bool urgent,
  9: required i64 remaining_ms,
  10: required i32 hops,
  11: string content_type,
  12: binary body,
}

struct ForwardReply {
  1: required i64 request_id,
  2: required string task_id,
  // A Verdict. Generated code loads unknown values into its enum unchecked, which is undefined.
  3: required i32 verdict,
  4: required i32 status,
  5: string reason,
  6: string content_type,
  7: binary body,
  8: optional i64 retry_after_ms,
}

// First frame of each side of a connection.
struct Introduction {
  1: required i32 protocol,
  2: required string sender_id,
  3: required string sender_incarnation,
  // Empty if the sender does not know it yet.
  4: required string receiver_incarnation,
}

// Content of one frame: exactly one field is set.
struct Envelope {
  1: optional Beat beat,
  2: optional HeadRequest head_request,
  3: optional HeadReply head_reply,
  4: optional ForwardRequest forward_request,
  5: optional ForwardReply forward_reply,
  6: optional Introduction introduction,
}
