#ifndef CRANBERRYPLANK_MODEL_TEXT_H_
#define CRANBERRYPLANK_MODEL_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace cranberryplank {

/// Parses a decimal number that spans the whole text.
/// @return nothing if the text is empty, has other characters or does not fit into `Number`
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

/// Returns the text with the letters A to Z in lower case, independent of the locale.
std::string LowerCase(std::string_view text);

/// Returns the current time for a log line, in UTC with milliseconds.
std::string LogTimestamp();

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_TEXT_H_
