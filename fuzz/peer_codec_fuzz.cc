#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "cranberryplank/peers/peer_codec.h"

// Feeds arbitrary frame payloads to the peer codec. An accepted message must survive encoding and
// decoding unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using cranberryplank::PeerMessage;
  cranberryplank::PeerCodec codec;
  const auto content = codec.Decode({reinterpret_cast<const char*>(data), size});
  if (!content || !std::holds_alternative<PeerMessage>(*content)) {
    return 0;
  }
  const auto frame = codec.Encode(std::get<PeerMessage>(*content));
  if (!frame ||
      codec.Decode(std::string_view(*frame).substr(cranberryplank::kFrameHeaderBytes)) != content) {
    std::abort();
  }
  return 0;
}
