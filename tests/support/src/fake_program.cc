#include "cranberryplank/support/fake_program.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <charconv>
#include <csignal>
#include <cstdio>

namespace cranberryplank {

namespace {

constexpr int kMaxPort = 65'535;

void StopLoop(int, short, void* argument) {  // NOLINT(google-runtime-int): libevent's type
  event_base_loopbreak(static_cast<event_base*>(argument));
}

}  // namespace

std::optional<int> ParseNumber(std::string_view text, int minimum, int maximum) {
  int number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < minimum ||
      number > maximum) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::pair<std::string, std::uint16_t>> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<int> port = ParseNumber(text.substr(colon + 1), 1, kMaxPort);
  if (!port) {
    return std::nullopt;
  }
  return std::pair(std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port));
}

void LogListening(std::string_view program, std::uint16_t port) {
  fmt::print(stderr, "level=info event=listening program={} address=127.0.0.1:{}\n", program, port);
}

void RunUntilSignal(EventLoop* loop) {
  event* terminate = evsignal_new(loop->base(), SIGTERM, StopLoop, loop->base());
  event* interrupt = evsignal_new(loop->base(), SIGINT, StopLoop, loop->base());
  evsignal_add(terminate, nullptr);
  evsignal_add(interrupt, nullptr);
  event_base_dispatch(loop->base());
  event_free(terminate);
  event_free(interrupt);
}

}  // namespace cranberryplank
