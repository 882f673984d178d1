#include "cranberryplank/model/text.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <ctime>

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
  const std::time_t second = std::chrono::system_clock::to_time_t(now);
  // Formatting a date costs more than the rest of a typical log line.
  thread_local std::time_t formatted_second = 0;
  thread_local std::string formatted;
  if (formatted.empty() || second != formatted_second) {
    formatted_second = second;
    formatted = fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(second));
  }
  return fmt::format("{}.{:03}Z", formatted, millis);
}

}  // namespace cranberryplank
