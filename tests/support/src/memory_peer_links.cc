#include "cranberryplank/support/memory_peer_links.h"

#include <utility>

namespace cranberryplank {

MemoryPeerLinks::MemoryPeerLinks(MemoryPeerNetwork* network, std::string incarnation)
    : m_network(network), m_incarnation(std::move(incarnation)) {
  m_network->Add(this);
}

MemoryPeerLinks::~MemoryPeerLinks() { m_network->Remove(m_incarnation); }

void MemoryPeerLinks::SetPeers(TimePoint /*now*/, std::span<const DaemonRecord> daemons) {
  std::set<std::string> peers;
  for (const DaemonRecord& daemon : daemons) {
    if (daemon.incarnation != m_incarnation) {
      peers.insert(daemon.incarnation);
    }
  }
  const std::set<std::string> before = std::exchange(m_peers, std::move(peers));
  for (const std::string& incarnation : before) {
    if (!m_peers.contains(incarnation)) {
      m_retired.insert(incarnation);
      m_network->BreakLink(m_incarnation, incarnation);
    }
  }
  for (const std::string& incarnation : m_peers) {
    m_retired.erase(incarnation);
    m_network->RequestLink(m_incarnation, incarnation);
  }
}

SendOutcome MemoryPeerLinks::Send(std::string_view incarnation, const PeerMessage& message) {
  const std::string receiver(incarnation);
  const auto frame = m_codec.Encode(message);
  if (!frame || !m_network->Send(m_incarnation, receiver, frame->substr(kFrameHeaderBytes))) {
    return SendOutcome::kNotSent;
  }
  return SendOutcome::kSent;
}

void MemoryPeerLinks::Receive(TimePoint now, const std::string& sender,
                              const std::string& payload) {
  if (const auto content = m_codec.Decode(payload)) {
    m_message.emit(now, sender, std::get<PeerMessage>(*content));
  }
}

}  // namespace cranberryplank
