#include "cranberryplank/peers/peer_codec.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>
#include <utility>

#include "wire_conversion.h"

namespace cranberryplank {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

using Protocol = TCompactProtocolT<TMemoryBuffer>;

// Allows 930 teams on 25 pools in one heartbeat. The limit bounds memory, because Thrift allocates
// a container before it reads the entries.
constexpr int kMaxContainerEntries = 32'768;
constexpr int kMaxStringBytes = static_cast<int>(kMaxFramePayloadBytes);
// Valid frames nest an envelope, a message and entries. Only damaged or malicious frames nest
// deeper.
constexpr int kMaxNesting = 8;

std::shared_ptr<TConfiguration> Limits() {
  return std::make_shared<TConfiguration>(static_cast<int>(kMaxFramePayloadBytes),
                                          static_cast<int>(kMaxFramePayloadBytes), kMaxNesting);
}

std::optional<std::string> EncodeFrame(const wire::Envelope& envelope, std::string* last_reason) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  envelope.write(&protocol);
  std::uint8_t* data = nullptr;
  std::uint32_t size = 0;
  buffer->getBuffer(&data, &size);
  if (size > kMaxFramePayloadBytes) {
    *last_reason =
        fmt::format("message of {} bytes exceeds the limit of {}", size, kMaxFramePayloadBytes);
    return std::nullopt;
  }
  std::string frame;
  frame.reserve(kFrameHeaderBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((size >> shift) & 0xff));
  }
  frame.append(reinterpret_cast<const char*>(data), size);
  return frame;
}

template <typename Message>
std::optional<std::string> EncodeGuarded(const Message& message, std::string* last_reason) {
  try {
    return EncodeFrame(ToWire(message), last_reason);
  } catch (const std::exception& error) {
    *last_reason = fmt::format("message cannot be encoded: {}", error.what());
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::string> PeerCodec::Encode(const PeerMessage& message) {
  return EncodeGuarded(message, &m_last_reason);
}

std::optional<std::string> PeerCodec::Encode(const Introduction& introduction) {
  return EncodeGuarded(introduction, &m_last_reason);
}

std::optional<PeerCodec::Content> PeerCodec::Decode(std::string_view payload) {
  if (payload.size() > kMaxFramePayloadBytes) {
    m_last_reason = fmt::format("payload of {} bytes exceeds the limit of {}", payload.size(),
                                kMaxFramePayloadBytes);
    return std::nullopt;
  }
  try {
    // OBSERVE reads the caller's bytes without a copy and never writes to them.
    auto* bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(
        bytes, static_cast<std::uint32_t>(payload.size()), TMemoryBuffer::OBSERVE, Limits());
    Protocol protocol(buffer, kMaxStringBytes, kMaxContainerEntries);
    wire::Envelope envelope;
    envelope.read(&protocol);
    if (buffer->available_read() != 0) {
      m_last_reason = fmt::format("{} bytes after the message", buffer->available_read());
      return std::nullopt;
    }
    return FromWire(std::move(envelope));
  } catch (const std::exception& error) {
    m_last_reason = fmt::format("payload is not a message: {}", error.what());
    return std::nullopt;
  }
}

std::optional<std::size_t> PeerCodec::DecodeLength(std::string_view header, std::size_t limit) {
  if (header.size() < kFrameHeaderBytes) {
    m_last_reason = "frame header is incomplete";
    return std::nullopt;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(header[i]);
  }
  if (length == 0 || length > limit) {
    m_last_reason = fmt::format("frame of {} bytes is outside the limit of {}", length, limit);
    return std::nullopt;
  }
  return length;
}

}  // namespace cranberryplank
