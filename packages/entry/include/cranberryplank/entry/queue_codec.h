#ifndef CRANBERRYPLANK_ENTRY_QUEUE_CODEC_H_
#define CRANBERRYPLANK_ENTRY_QUEUE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/scheduler/queue_table.h"

namespace cranberryplank {

constexpr std::string_view kQueuePrefix = "queue/";

/// Returns the key of a queue's record. Long ids are replaced by a digest, because keys in the
/// store are limited.
/// @param queue `QueueConfig::id` of the queue
std::string QueueKey(std::string_view queue);

/// Encode and decode a queue's record, as MessagePack.
std::string EncodeQueue(const QueueRecord& record);
/// @return nothing if the value can not be decoded
std::optional<QueueRecord> DecodeQueue(std::string_view value);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_QUEUE_CODEC_H_
