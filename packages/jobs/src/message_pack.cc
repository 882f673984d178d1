#include "cranberryplank/jobs/message_pack.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace cranberryplank {

std::string ToMessagePack(const nlohmann::json& value) {
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

nlohmann::json FromMessagePack(std::string_view bytes) {
  return nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
}

}  // namespace cranberryplank
