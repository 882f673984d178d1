#ifndef CRANBERRYPLANK_MODEL_LOG_H_
#define CRANBERRYPLANK_MODEL_LOG_H_

#include <fmt/format.h>

#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cranberryplank {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

std::string_view ToString(LogLevel level);

/// Returns the level called `name`, or nothing.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

/// Sets the minimum level that is logged.
void SetLogLevel(LogLevel level);

/// One structured log line for standard output, queued when the object goes out of scope:
/// `LogLine(LogLevel::kInfo, "placement").Field("task", id).Field("vm", vm);`
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds ` key=value`. Values with spaces or quotes are quoted.
  template <typename T>
  LogLine& Field(std::string_view key, const T& value) {
    if (!m_enabled) {
      return *this;
    }
    if constexpr (std::is_arithmetic_v<T>) {
      AppendKey(key);
      fmt::format_to(std::back_inserter(m_line), "{}", value);
    } else {
      AppendText(key, value);
    }
    return *this;
  }

 private:
  void AppendKey(std::string_view key);
  void AppendText(std::string_view key, std::string_view value);

  bool m_beyond_budget;  ///< Warnings and errors are logged even if the budget is used up.
  bool m_enabled;
  std::string m_line;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_LOG_H_
