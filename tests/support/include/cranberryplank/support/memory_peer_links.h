#ifndef CRANBERRYPLANK_SUPPORT_MEMORY_PEER_LINKS_H_
#define CRANBERRYPLANK_SUPPORT_MEMORY_PEER_LINKS_H_

#include <set>
#include <string>
#include <vector>

#include "cranberryplank/peers/peer_codec.h"
#include "cranberryplank/peers/peer_links.h"
#include "cranberryplank/support/memory_peer_network.h"

namespace cranberryplank {

/// Links of one daemon over a MemoryPeerNetwork. Peers are identified by incarnation; addresses are
/// ignored. Destroying the object simulates a crash of the process.
class MemoryPeerLinks : public PeerLinks {
 public:
  MemoryPeerLinks(MemoryPeerNetwork* network, std::string incarnation);
  ~MemoryPeerLinks() override;
  MemoryPeerLinks(const MemoryPeerLinks&) = delete;
  MemoryPeerLinks& operator=(const MemoryPeerLinks&) = delete;

  void SetPeers(TimePoint now, std::span<const DaemonRecord> daemons) override;
  SendOutcome Send(std::string_view incarnation, const PeerMessage& message) override;

  const std::string& incarnation() const { return m_incarnation; }

 private:
  friend class MemoryPeerNetwork;

  void Receive(TimePoint now, const std::string& sender, const std::string& payload);

  MemoryPeerNetwork* m_network;
  std::string m_incarnation;
  std::set<std::string> m_peers;
  std::set<std::string> m_retired;
  PeerCodec m_codec;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_MEMORY_PEER_LINKS_H_
