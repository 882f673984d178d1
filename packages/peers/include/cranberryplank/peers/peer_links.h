#ifndef CRANBERRYPLANK_PEERS_PEER_LINKS_H_
#define CRANBERRYPLANK_PEERS_PEER_LINKS_H_

#include <sigc++/sigc++.h>

#include <span>
#include <string_view>

#include "cranberryplank/model/head.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Whether a message may have reached the peer.
enum class SendOutcome {
  kNotSent,  ///< No byte was handed to the network.
  kSent,     ///< Handed to the network; delivery is not guaranteed.
};

/// Links to the other daemons, addressed by incarnation. A message arrives at most once and in
/// order of sending while a link stays up; any message may be lost.
class PeerLinks {
 public:
  using MessageSignal =
      sigc::signal<void, TimePoint /*now*/, const std::string& /*sender incarnation*/,
                   const PeerMessage& /*message*/>;
  using LostSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*incarnation*/>;
  using UpSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*incarnation*/>;

  virtual ~PeerLinks() = default;

  /// Maintains links to exactly these daemons, except to this process's own incarnation.
  virtual void SetPeers(TimePoint now, std::span<const DaemonRecord> daemons) = 0;

  virtual SendOutcome Send(std::string_view incarnation, const PeerMessage& message) = 0;

  MessageSignal& signal_message() { return m_message; }

  /// Emitted when a link breaks; replies to outstanding requests on it will not arrive.
  LostSignal& signal_lost() { return m_lost; }

  /// Emitted when messages can be sent to an incarnation. It is not among the peers if a daemon
  /// that is not registered yet has connected to this one. May be emitted again while a link is up.
  UpSignal& signal_up() { return m_up; }

 protected:
  MessageSignal m_message;
  LostSignal m_lost;
  UpSignal m_up;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_PEER_LINKS_H_
