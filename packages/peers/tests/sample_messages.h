#ifndef CRANBERRYPLANK_PEERS_TESTS_SAMPLE_MESSAGES_H_
#define CRANBERRYPLANK_PEERS_TESTS_SAMPLE_MESSAGES_H_

#include <string>
#include <vector>

#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

inline Beat SampleBeat() {
  Beat beat;
  beat.sender_id = "e1";
  beat.incarnation = "inc-1";
  beat.sequence = UINT64_MAX;
  beat.echo_sequence = 41;
  beat.echo_incarnation = "inc-2";
  beat.revision = 7;
  beat.newest_revision = 8;
  beat.demand = {TeamDemand{"tone", "smiths", 3, 4}, TeamDemand{"tone", "clerks", 0, 1}};
  beat.free_slots = {FreeSlots{"smiths", 5}};
  beat.leaving_vms = {"vm-1", "vm-2"};
  beat.denied_keys = {DeniedKey{"ab12", "nonce"}};
  beat.suspect_vms = {SuspectVm{"vm-3", true, false}, SuspectVm{"vm-4", false, true}};
  return beat;
}

/// One message of each kind with every field set.
inline std::vector<PeerMessage> SampleMessages() {
  return {SampleBeat(), HeadRequest{1, {"ab12", "cd34"}},
          HeadReply{2, "{\"revision\":7}", {{"ab12", "[]"}, {"cd34", std::string("\0\xff", 2)}}},
          ForwardRequest{3, "task", "ticket", "tone", "smiths", "ab12", true, true, -5, 1,
                         "text/plain", std::string("a\0b", 3)},
          ForwardReply{4, "task", Verdict::kCompleted, 200, "reason", "text/plain", "body",
                       Duration(1'500)}};
}

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_TESTS_SAMPLE_MESSAGES_H_
