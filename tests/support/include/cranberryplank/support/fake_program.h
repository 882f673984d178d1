#ifndef CRANBERRYPLANK_SUPPORT_FAKE_PROGRAM_H_
#define CRANBERRYPLANK_SUPPORT_FAKE_PROGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cranberryplank/support/event_loop.h"

namespace cranberryplank {

/// Parses a decimal integer from `minimum` to `maximum`; rejects trailing characters.
std::optional<int> ParseNumber(std::string_view text, int minimum, int maximum);

/// Parses `HOST:PORT`.
std::optional<std::pair<std::string, std::uint16_t>> ParseAddress(std::string_view text);

/// Logs to standard error that a fake server is listening.
void LogListening(std::string_view program, std::uint16_t port);

/// Runs the loop until SIGTERM or SIGINT.
void RunUntilSignal(EventLoop* loop);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_FAKE_PROGRAM_H_
