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

/// Size of the length prefix, the payload length in big-endian order.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Largest payload of a frame. Larger content is split. For example, a HeadReply may omit parts,
/// which the receiver then requests again.
inline constexpr std::size_t kMaxFramePayloadBytes = std::size_t{1} << 20;

/// First message that each side sends on a connection. It identifies the sender of all later ones.
struct Introduction {
  std::string sender_id;
  std::string sender_incarnation;
  std::string receiver_incarnation;  ///< Empty if the sender does not know it yet.

  bool operator==(const Introduction&) const = default;
};

/// Encodes messages between daemons as frames and decodes them. A failed call returns std::nullopt
/// and sets `last_reason()`.
class PeerCodec {
 public:
  using Content = std::variant<PeerMessage, Introduction>;

  /// Returns the frame of `message` including the length prefix.
  std::optional<std::string> Encode(const PeerMessage& message);
  std::optional<std::string> Encode(const Introduction& introduction);

  /// Decodes the payload of one frame, without the length prefix.
  std::optional<Content> Decode(std::string_view payload);

  /// Decodes the length prefix, the first `kFrameHeaderBytes` bytes of a frame. A length of 0 or
  /// above `limit` is refused.
  std::optional<std::size_t> DecodeLength(std::string_view header, std::size_t limit);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PEERS_PEER_CODEC_H_
