#include "cranberryplank/peers/peer_codec.h"

#include <catch2/catch.hpp>

#include "sample_messages.h"

namespace cranberryplank {
namespace {

std::string_view Payload(std::string_view frame) { return frame.substr(kFrameHeaderBytes); }

// Guards against a field that is written but not read back, or the other way round.
TEST_CASE("every message survives encoding and decoding") {
  PeerCodec codec;
  for (const PeerMessage& message : SampleMessages()) {
    const auto frame = codec.Encode(message);
    REQUIRE(frame);
    CHECK(codec.DecodeLength(*frame, kMaxFramePayloadBytes) == frame->size() - kFrameHeaderBytes);
    const auto content = codec.Decode(Payload(*frame));
    REQUIRE(content);
    CHECK(std::get<PeerMessage>(*content) == message);
  }
  const Introduction introduction{"e1", "inc-1", "inc-2"};
  const auto content = codec.Decode(Payload(codec.Encode(introduction).value()));
  REQUIRE(content);
  CHECK(std::get<Introduction>(*content) == introduction);
}

// Guards against a verdict that is decoded as another one.
TEST_CASE("every verdict survives encoding and decoding") {
  PeerCodec codec;
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kCompleted}) {
    const PeerMessage message = ForwardReply{1, "t", verdict, 200, "", "", "", std::nullopt};
    const auto content = codec.Decode(Payload(codec.Encode(message).value()));
    CHECK(std::get<PeerMessage>(content.value()) == message);
  }
}

// Guards against accepting a truncated message, and against exceptions that leave Decode().
TEST_CASE("a message truncated at any byte or followed by another byte is refused") {
  PeerCodec codec;
  for (const PeerMessage& message : SampleMessages()) {
    const std::string frame = codec.Encode(message).value();
    const std::string_view payload = Payload(frame);
    for (std::size_t size = 0; size < payload.size(); ++size) {
      CHECK_FALSE(codec.Decode(payload.substr(0, size)));
      CHECK_FALSE(codec.last_reason().empty());
    }
    CHECK_FALSE(codec.Decode(std::string(payload) + '\0'));
  }
}

// Guards against a damaged verdict that is decoded as "not run".
TEST_CASE("an unknown verdict is refused") {
  PeerCodec codec;
  const std::string frame = codec
                                .Encode(PeerMessage(ForwardReply{1, "t", Verdict::kCompleted, 200,
                                                                 "", "", "", std::nullopt}))
                                .value();
  std::string payload(Payload(frame));
  // Compact protocol header of an i32 with a field id delta of 1, then the zigzag encoding of 3.
  const std::size_t verdict = payload.find("\x15\x06");
  REQUIRE(verdict != std::string::npos);
  for (const char code : {'\x00', '\x08', '\x7f'}) {
    payload[verdict + 1] = code;
    CHECK_FALSE(codec.Decode(payload));
    CHECK(codec.last_reason().find("unknown verdict") != std::string::npos);
  }
}

// Guards against negative counts, which would distort the share computation of every daemon, and
// against a negative Retry-After sent to a caller.
TEST_CASE("a negative count or time is refused") {
  PeerCodec codec;
  Heartbeat heartbeat = SampleHeartbeat();
  heartbeat.demand[0].waiting = -1;
  CHECK_FALSE(codec.Decode(Payload(codec.Encode(PeerMessage(heartbeat)).value())));
  CHECK(codec.last_reason().find("waiting is negative") != std::string::npos);
  ForwardReply reply;
  reply.retry_after = Duration(-1);
  CHECK_FALSE(codec.Decode(Payload(codec.Encode(PeerMessage(reply)).value())));
  CHECK(codec.last_reason().find("retry_after_ms is negative") != std::string::npos);
}

// Guards against sending a message that the receiver refuses by closing the link.
TEST_CASE("a message above the frame limit is not encoded and a longer frame is refused") {
  PeerCodec codec;
  HeadReply reply;
  reply.head = std::string(kMaxFramePayloadBytes, 'x');
  CHECK_FALSE(codec.Encode(PeerMessage(reply)));
  CHECK(codec.last_reason().find("exceeds the limit") != std::string::npos);
  CHECK_FALSE(codec.Decode(std::string(kMaxFramePayloadBytes + 1, 'x')));
  CHECK(codec.DecodeLength(std::string("\x00\x10\x00\x00", 4), kMaxFramePayloadBytes) ==
        kMaxFramePayloadBytes);
  CHECK_FALSE(codec.DecodeLength(std::string("\x00\x10\x00\x01", 4), kMaxFramePayloadBytes));
  CHECK_FALSE(codec.DecodeLength(std::string(4, '\0'), kMaxFramePayloadBytes));
  CHECK_FALSE(codec.DecodeLength("\x01\x02", kMaxFramePayloadBytes));
}

// Guards against a small frame that makes the reader allocate a large container.
TEST_CASE("a container that claims more entries than the limit is refused") {
  PeerCodec codec;
  // Envelope field 2 (HeadRequest), request id 1, then a list of 2^28 strings.
  const std::string payload("\x2c\x16\x02\x19\xf8\x80\x80\x80\x80\x01", 10);
  CHECK_FALSE(codec.Decode(payload));
  CHECK_FALSE(codec.last_reason().empty());
}

}  // namespace
}  // namespace cranberryplank
