#include "cranberryplank/entry/owner_messages.h"

#include <nlohmann/json.hpp>

#include "cranberryplank/entry/queue_codec.h"
#include "cranberryplank/jobs/job_codec.h"
#include "cranberryplank/jobs/message_pack.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

json ToJson(const std::optional<QueueConfig>& queue) {
  return queue ? json(EncodeQueue({*queue, {}, false})) : json(nullptr);
}

std::optional<QueueConfig> QueueFromJson(const json& value) {
  if (value.is_null()) {
    return std::nullopt;
  }
  const auto record = DecodeQueue(value.get<std::string>());
  return record ? std::optional(record->queue) : std::nullopt;
}

}  // namespace

std::string_view ToString(OwnerStatus status) {
  switch (status) {
    case OwnerStatus::kOk:
      return "ok";
    case OwnerStatus::kNoSuchJob:
      return "no_such_job";
    case OwnerStatus::kNotOwner:
      return "not_owner";
    case OwnerStatus::kNotReady:
      return "not_ready";
    case OwnerStatus::kRefused:
      return "refused";
    case OwnerStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string EncodeOwnerCall(const OwnerCall& call) {
  return ToMessagePack(json::array(
      {static_cast<int>(call.kind), call.incarnation, call.job, call.queue, call.sender,
       call.config_version, call.spec ? json(EncodeJob(*call.spec)) : json(nullptr), call.cores,
       call.state_format,
       call.earlier_owners_act_for ? json(call.earlier_owners_act_for->count()) : json(nullptr),
       ToJson(call.queue_config), call.queue_path}));
}

std::optional<OwnerCall> DecodeOwnerCall(std::string_view bytes) {
  try {
    const json fields = FromMessagePack(bytes);
    OwnerCall call;
    call.kind = static_cast<OwnerCallKind>(fields.at(0));
    call.incarnation = fields.at(1);
    call.job = fields.at(2);
    call.queue = fields.at(3);
    call.sender = fields.at(4);
    call.config_version = fields.at(5);
    call.cores = fields.at(7);
    call.state_format = fields.size() > 8 ? fields.at(8).get<int>() : kSingleProgressFormat;
    if (fields.size() > 9 && !fields.at(9).is_null()) {
      call.earlier_owners_act_for = Duration(fields.at(9).get<std::int64_t>());
    }
    if (fields.size() > 10) {
      call.queue_config = QueueFromJson(fields.at(10));
    }
    if (fields.size() > 11) {
      call.queue_path = fields.at(11);
    }
    if (!fields.at(6).is_null()) {
      const auto record = DecodeJob(call.job, fields.at(6).get<std::string>());
      if (!record || !record->spec) {
        return std::nullopt;
      }
      call.spec = *record->spec;
    }
    return call;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeOwnerReply(const OwnerReply& reply) {
  return ToMessagePack(json::array(
      {static_cast<int>(reply.status), static_cast<int>(reply.state), reply.waiting,
       reply.retry_after_ms, reply.config_version, reply.epoch, reply.store_reached, reply.reason,
       reply.incarnation, reply.strongest_cores, reply.ping_interval_ms}));
}

std::optional<OwnerReply> DecodeOwnerReply(std::string_view bytes) {
  try {
    const json fields = FromMessagePack(bytes);
    OwnerReply reply;
    reply.status = static_cast<OwnerStatus>(fields.at(0));
    reply.state = static_cast<JobState>(fields.at(1));
    reply.waiting = fields.at(2);
    reply.retry_after_ms = fields.at(3);
    reply.config_version = fields.at(4);
    reply.epoch = fields.at(5);
    reply.store_reached = fields.at(6);
    reply.reason = fields.at(7);
    reply.incarnation = fields.at(8);
    reply.strongest_cores = fields.at(9);
    reply.ping_interval_ms = fields.size() > 10 ? fields.at(10).get<std::int64_t>() : 0;
    return reply;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cranberryplank
