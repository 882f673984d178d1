#include "cranberryplank/model/text.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>

namespace cranberryplank {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

std::string LogTimestamp() {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

}  // namespace cranberryplank
