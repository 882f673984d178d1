#ifndef CRANBERRYPLANK_PEERS_WIRE_CONVERSION_H_
#define CRANBERRYPLANK_PEERS_WIRE_CONVERSION_H_

#include "cranberryplank/peers/messages.h"
#include "cranberryplank/peers/peer_codec.h"
#include "peer_messages_types.h"

namespace cranberryplank {

/// Protocol version of the frame content.
inline constexpr int kWireProtocol = 1;

wire::Envelope ToWire(const PeerMessage& message);
wire::Envelope ToWire(const Introduction& introduction);

/// Converts the content of an envelope.
/// @throws std::invalid_argument if the envelope does not contain exactly one message, or if a
/// value is outside its range.
PeerCodec::Content FromWire(wire::Envelope&& envelope);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_WIRE_CONVERSION_H_
