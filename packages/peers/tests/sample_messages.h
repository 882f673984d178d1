#ifndef CRANBERRYPLANK_PEERS_TESTS_SAMPLE_MESSAGES_H_
#define CRANBERRYPLANK_PEERS_TESTS_SAMPLE_MESSAGES_H_

#include <string>
#include <vector>

#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

inline Heartbeat SampleHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender_id = "e1";
  heartbeat.incarnation = "inc-1";
  heartbeat.sequence = UINT64_MAX;
  heartbeat.echo_sequence = 41;
  heartbeat.echo_incarnation = "inc-2";
  heartbeat.revision = 7;
  heartbeat.newest_revision = 8;
  heartbeat.demand = {TeamDemand{"tone", "smiths", 3, 4}, TeamDemand{"tone", "clerks", 0, 1}};
  heartbeat.free_slots = {FreeSlots{"smiths", 5}};
  heartbeat.leaving_vms = {"vm-1", "vm-2"};
  heartbeat.denied_keys = {DeniedKey{"ab12", "nonce"}};
  heartbeat.suspect_vms = {SuspectVm{"vm-3", true, false}, SuspectVm{"vm-4", false, true}};
  return heartbeat;
}

/// One message of each kind with every field set.
inline std::vector<PeerMessage> SampleMessages() {
  return {SampleHeartbeat(), HeadRequest{1, {"ab12", "cd34"}},
          HeadReply{2, "{\"revision\":7}", {{"ab12", "[]"}, {"cd34", std::string("\0\xff", 2)}}},
          ForwardRequest{3, "task", "ticket", "tone", "smiths", "ab12", true, true, -5, 1,
                         "text/plain", std::string("a\0b", 3)},
          ForwardReply{4, "task", Verdict::kCompleted, 200, "reason", "text/plain", "body",
                       Duration(1'500)}};
}

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_TESTS_SAMPLE_MESSAGES_H_
