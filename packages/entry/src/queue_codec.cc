#include "cranberryplank/entry/queue_codec.h"

#include <fmt/format.h>

#include <cstddef>
#include <nlohmann/json.hpp>

#include "cranberryplank/jobs/message_pack.h"
#include "cranberryplank/model/digest.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;
/// Ids up to this length stand in the key; a digest has 64 bytes.
constexpr std::size_t kMaxIdInKey = 63;
/// First of two fields that are missing in records of earlier versions: host and path prefix.
constexpr std::size_t kPathFields = 9;

json ToJson(const std::optional<AdvicePolicy>& advice) {
  if (!advice) {
    return nullptr;
  }
  return json::array({advice->base_time.count(), advice->time_per_worker.count(),
                      advice->ticket_lifetime.count()});
}

std::optional<AdvicePolicy> AdviceFromJson(const json& fields) {
  if (fields.is_null()) {
    return std::nullopt;
  }
  return AdvicePolicy{Duration(fields.at(0).get<std::int64_t>()),
                      Duration(fields.at(1).get<std::int64_t>()),
                      Duration(fields.at(2).get<std::int64_t>())};
}

}  // namespace

std::string QueueKey(std::string_view queue) {
  return fmt::format("{}{}", kQueuePrefix,
                     queue.size() > kMaxIdInKey ? Sha256(queue).hex : std::string(queue));
}

std::string EncodeQueue(const QueueRecord& record) {
  const QueueConfig& queue = record.queue;
  return ToMessagePack(
      json::array({kFormat, queue.name, queue.pool, queue.priority, queue.max_attempts,
                   queue.stretch, queue.objective.count(), ToJson(queue.advice), record.pools,
                   queue.host, queue.path_prefix}));
}

std::optional<QueueRecord> DecodeQueue(std::string_view value) {
  try {
    const json fields = FromMessagePack(value);
    QueueRecord record;
    QueueConfig& queue = record.queue;
    queue.name = fields.at(1);
    queue.pool = fields.at(2);
    queue.priority = fields.at(3);
    queue.max_attempts = fields.at(4);
    queue.stretch = fields.at(5);
    queue.objective = Duration(fields.at(6).get<std::int64_t>());
    queue.advice = AdviceFromJson(fields.at(7));
    for (const json& pool : fields.at(8)) {
      record.pools.insert(pool.get<std::string>());
    }
    if (fields.size() > kPathFields) {
      queue.host = fields.at(kPathFields);
      queue.path_prefix = fields.at(kPathFields + 1);
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cranberryplank
