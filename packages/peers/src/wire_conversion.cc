#include "wire_conversion.h"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace cranberryplank {

namespace {

std::int64_t Signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }

std::uint64_t Unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

int NotNegative(std::int32_t value, std::string_view field) {
  if (value < 0) {
    throw std::invalid_argument(fmt::format("{} is negative", field));
  }
  return value;
}

std::int32_t ToWire(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return wire::Verdict::NOT_RUN;
    case Verdict::kMayHaveRun:
      return wire::Verdict::MAY_HAVE_RUN;
    case Verdict::kCompleted:
      return wire::Verdict::COMPLETED;
  }
  throw std::invalid_argument("unknown verdict");
}

Verdict VerdictFromWire(std::int32_t verdict) {
  switch (verdict) {
    case wire::Verdict::NOT_RUN:
      return Verdict::kNotRun;
    case wire::Verdict::MAY_HAVE_RUN:
      return Verdict::kMayHaveRun;
    case wire::Verdict::COMPLETED:
      return Verdict::kCompleted;
  }
  throw std::invalid_argument("unknown verdict");
}

void Fill(const Heartbeat& heartbeat, wire::Envelope* envelope) {
  wire::Beat out;
  out.sender_id = heartbeat.sender_id;
  out.incarnation = heartbeat.incarnation;
  out.sequence = Signed(heartbeat.sequence);
  out.echo_sequence = Signed(heartbeat.echo_sequence);
  out.echo_incarnation = heartbeat.echo_incarnation;
  out.revision = Signed(heartbeat.revision);
  out.newest_revision = Signed(heartbeat.newest_revision);
  for (const TeamDemand& demand : heartbeat.demand) {
    wire::TeamDemand& entry = out.demand.emplace_back();
    entry.pool = demand.pool;
    entry.team = demand.team;
    entry.running = demand.running;
    entry.waiting = demand.waiting;
  }
  for (const FreeSlots& slots : heartbeat.free_slots) {
    wire::FreeSlots& entry = out.free_slots.emplace_back();
    entry.team = slots.team;
    entry.free = slots.free;
  }
  out.leaving_vms = heartbeat.leaving_vms;
  for (const DeniedKey& key : heartbeat.denied_keys) {
    wire::DeniedKey& entry = out.denied_keys.emplace_back();
    entry.digest = key.digest;
    entry.nonce = key.nonce;
  }
  for (const SuspectVm& suspect : heartbeat.suspect_vms) {
    wire::SuspectVm& entry = out.suspect_vms.emplace_back();
    entry.vm = suspect.vm;
    entry.quarantined = suspect.quarantined;
    entry.reported = suspect.reported;
  }
  envelope->__set_beat(out);
}

void Fill(const HeadRequest& request, wire::Envelope* envelope) {
  wire::HeadRequest out;
  out.request_id = Signed(request.request_id);
  out.known_digests = request.known_digests;
  envelope->__set_head_request(out);
}

void Fill(const HeadReply& reply, wire::Envelope* envelope) {
  wire::HeadReply out;
  out.request_id = Signed(reply.request_id);
  out.head = reply.head;
  out.parts = reply.parts;
  envelope->__set_head_reply(out);
}

void Fill(const ForwardRequest& request, wire::Envelope* envelope) {
  wire::ForwardRequest out;
  out.request_id = Signed(request.request_id);
  out.task_id = request.task_id;
  out.ticket = request.ticket;
  out.queue = request.queue;
  out.team = request.team;
  out.key_digest = request.key_digest;
  out.idempotent = request.idempotent;
  out.urgent = request.urgent;
  out.remaining_ms = request.remaining_ms;
  out.hops = request.hops;
  out.content_type = request.content_type;
  out.body = request.body;
  envelope->__set_forward_request(out);
}

void Fill(const ForwardReply& reply, wire::Envelope* envelope) {
  wire::ForwardReply out;
  out.request_id = Signed(reply.request_id);
  out.task_id = reply.task_id;
  out.verdict = ToWire(reply.verdict);
  out.status = reply.status;
  out.reason = reply.reason;
  out.content_type = reply.content_type;
  out.body = reply.body;
  if (reply.retry_after) {
    out.__set_retry_after_ms(reply.retry_after->count());
  }
  envelope->__set_forward_reply(out);
}

Heartbeat FromWire(wire::Beat&& in) {
  Heartbeat heartbeat;
  heartbeat.sender_id = std::move(in.sender_id);
  heartbeat.incarnation = std::move(in.incarnation);
  heartbeat.sequence = Unsigned(in.sequence);
  heartbeat.echo_sequence = Unsigned(in.echo_sequence);
  heartbeat.echo_incarnation = std::move(in.echo_incarnation);
  heartbeat.revision = Unsigned(in.revision);
  heartbeat.newest_revision = Unsigned(in.newest_revision);
  for (wire::TeamDemand& entry : in.demand) {
    heartbeat.demand.push_back(TeamDemand{std::move(entry.pool), std::move(entry.team),
                                          NotNegative(entry.running, "running"),
                                          NotNegative(entry.waiting, "waiting")});
  }
  for (wire::FreeSlots& entry : in.free_slots) {
    heartbeat.free_slots.push_back(
        FreeSlots{std::move(entry.team), NotNegative(entry.free, "free")});
  }
  heartbeat.leaving_vms = std::move(in.leaving_vms);
  for (wire::DeniedKey& entry : in.denied_keys) {
    heartbeat.denied_keys.push_back(DeniedKey{std::move(entry.digest), std::move(entry.nonce)});
  }
  if (in.suspect_vms.size() > kMaxSuspectVms) {
    in.suspect_vms.resize(kMaxSuspectVms);
  }
  for (wire::SuspectVm& entry : in.suspect_vms) {
    heartbeat.suspect_vms.push_back(
        SuspectVm{std::move(entry.vm), entry.quarantined, entry.reported});
  }
  return heartbeat;
}

HeadRequest FromWire(wire::HeadRequest&& in) {
  return HeadRequest{Unsigned(in.request_id), std::move(in.known_digests)};
}

HeadReply FromWire(wire::HeadReply&& in) {
  return HeadReply{Unsigned(in.request_id), std::move(in.head), std::move(in.parts)};
}

ForwardRequest FromWire(wire::ForwardRequest&& in) {
  ForwardRequest request;
  request.request_id = Unsigned(in.request_id);
  request.task_id = std::move(in.task_id);
  request.ticket = std::move(in.ticket);
  request.queue = std::move(in.queue);
  request.team = std::move(in.team);
  request.key_digest = std::move(in.key_digest);
  request.idempotent = in.idempotent;
  request.urgent = in.urgent;
  request.remaining_ms = in.remaining_ms;
  request.hops = NotNegative(in.hops, "hops");
  request.content_type = std::move(in.content_type);
  request.body = std::move(in.body);
  return request;
}

ForwardReply FromWire(wire::ForwardReply&& in) {
  ForwardReply reply;
  reply.request_id = Unsigned(in.request_id);
  reply.task_id = std::move(in.task_id);
  reply.verdict = VerdictFromWire(in.verdict);
  reply.status = NotNegative(in.status, "status");
  reply.reason = std::move(in.reason);
  reply.content_type = std::move(in.content_type);
  reply.body = std::move(in.body);
  if (in.__isset.retry_after_ms) {
    if (in.retry_after_ms < 0) {
      throw std::invalid_argument("retry_after_ms is negative");
    }
    reply.retry_after = Duration(in.retry_after_ms);
  }
  return reply;
}

Introduction FromWire(wire::Introduction&& in) {
  if (in.protocol != kWireProtocol) {
    throw std::invalid_argument(fmt::format("protocol version {} is not supported", in.protocol));
  }
  if (in.sender_incarnation.empty()) {
    throw std::invalid_argument("introduction without incarnation");
  }
  return Introduction{std::move(in.sender_id), std::move(in.sender_incarnation),
                      std::move(in.receiver_incarnation)};
}

}  // namespace

wire::Envelope ToWire(const PeerMessage& message) {
  wire::Envelope envelope;
  std::visit([&](const auto& content) { Fill(content, &envelope); }, message);
  return envelope;
}

wire::Envelope ToWire(const Introduction& introduction) {
  wire::Introduction out;
  out.protocol = kWireProtocol;
  out.sender_id = introduction.sender_id;
  out.sender_incarnation = introduction.sender_incarnation;
  out.receiver_incarnation = introduction.receiver_incarnation;
  wire::Envelope envelope;
  envelope.__set_introduction(out);
  return envelope;
}

PeerCodec::Content FromWire(wire::Envelope&& envelope) {
  const auto& set = envelope.__isset;
  const int contents = int{set.beat} + int{set.head_request} + int{set.head_reply} +
                       int{set.forward_request} + int{set.forward_reply} + int{set.introduction};
  if (contents != 1) {
    throw std::invalid_argument(fmt::format("envelope with {} contents", contents));
  }
  if (set.beat) {
    return PeerMessage(FromWire(std::move(envelope.beat)));
  }
  if (set.head_request) {
    return PeerMessage(FromWire(std::move(envelope.head_request)));
  }
  if (set.head_reply) {
    return PeerMessage(FromWire(std::move(envelope.head_reply)));
  }
  if (set.forward_request) {
    return PeerMessage(FromWire(std::move(envelope.forward_request)));
  }
  if (set.forward_reply) {
    return PeerMessage(FromWire(std::move(envelope.forward_reply)));
  }
  return FromWire(std::move(envelope.introduction));
}

}  // namespace cranberryplank
