#include "cranberryplank/model/log.h"

#include <fmt/format.h>

#include <array>
#include <atomic>

#include "cranberryplank/model/log_buffer.h"
#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

constexpr std::array kLevels{LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning,
                             LogLevel::kError};

constexpr std::size_t kTypicalLineBytes = 192;

std::atomic<LogLevel> g_level{LogLevel::kInfo};

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

std::string Quote(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    // A line break in an external value must not start a new log line.
    quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

std::string_view ToString(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (const LogLevel level : kLevels) {
    if (name == ToString(level)) {
      return level;
    }
  }
  return std::nullopt;
}

void SetLogLevel(LogLevel level) { g_level.store(level); }

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_beyond_budget(level >= LogLevel::kWarning),
      m_enabled(level >= g_level.load() &&
                (m_beyond_budget || LogBuffer::Instance().AcceptsLine())) {
  if (!m_enabled) {
    return;
  }
  m_line.reserve(kTypicalLineBytes);
  fmt::format_to(std::back_inserter(m_line), "{} level={} event={}", LogTimestamp(),
                 ToString(level), event);
}

LogLine::~LogLine() {
  if (!m_enabled) {
    return;
  }
  m_line += '\n';
  if (m_beyond_budget) {
    LogBuffer::Instance().AddBeyondBudget(m_line);
  } else {
    LogBuffer::Instance().Add(m_line);
  }
}

void LogLine::AppendKey(std::string_view key) {
  m_line += ' ';
  m_line += key;
  m_line += '=';
}

void LogLine::AppendText(std::string_view key, std::string_view value) {
  AppendKey(key);
  if (NeedsQuotes(value)) {
    m_line += Quote(value);
  } else {
    m_line += value;
  }
}

}  // namespace cranberryplank
