#ifndef CRANBERRYPLANK_PEERS_PEER_CODEC_H_
#define CRANBERRYPLANK_PEERS_PEER_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Bytes of the big-endian payload length in front of each frame.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Largest payload of a frame. A sender of large content splits it: a HeadReply may leave out
/// parts, which the receiver then asks for again.
inline constexpr std::size_t kMaxFramePayloadBytes = std::size_t{1} << 20;

/// First message of each side of a connection. All later messages on it come from this sender.
struct Introduction {
  std::string sender_id;
  std::string sender_incarnation;
  std::string receiver_incarnation;  ///< Empty if the sender does not know it yet.

  bool operator==(const Introduction&) const = default;
};

/// Turns messages between daemons into frames and back. A failed call returns nothing and sets
/// `last_reason()`.
class PeerCodec {
 public:
  using Content = std::variant<PeerMessage, Introduction>;

  /// Returns the frame of `message`, its length in front.
  std::optional<std::string> Encode(const PeerMessage& message);
  std::optional<std::string> Encode(const Introduction& introduction);

  /// Reads the payload of one frame, without its length.
  std::optional<Content> Decode(std::string_view payload);

  /// Reads the length in front of a frame from its first `kFrameHeaderBytes` bytes. A length of 0
  /// or above `limit` is refused.
  std::optional<std::size_t> DecodeLength(std::string_view header, std::size_t limit);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_PEER_CODEC_H_
