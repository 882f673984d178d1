#ifndef CRANBERRYPLANK_JOBS_MESSAGE_PACK_H_
#define CRANBERRYPLANK_JOBS_MESSAGE_PACK_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace cranberryplank {

std::string ToMessagePack(const nlohmann::json& value);

/// Decodes a value. Throws nlohmann::json::exception if the bytes are not MessagePack.
nlohmann::json FromMessagePack(std::string_view bytes);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_JOBS_MESSAGE_PACK_H_
