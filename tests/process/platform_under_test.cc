#include "platform_under_test.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "cranberryplank/model/random.h"
#include "cranberryplank/support/event_loop.h"
#include "daemon_under_test.h"
#include "emulated_callers.h"
#include "emulated_store.h"

namespace cranberryplank {

namespace {

constexpr Duration kTick{10};
/// As EmulatedCallers::Configure sets them.
constexpr std::string_view kHeaders = "Host: 127.0.0.1\r\nAuthorization: Bearer caller-key\r\n";

std::string Path(int number) { return fmt::format("/queue/{:016x}", number); }

}  // namespace

PlatformUnderTest::PlatformUnderTest(int daemons) {
  for (int i = 0; i < daemons; ++i) {
    m_ports.push_back(FreePort());
  }
  m_thread = std::thread([this] { Run(); });
  while (!m_listening) {
    std::this_thread::yield();
  }
}

PlatformUnderTest::~PlatformUnderTest() {
  m_stopping = true;
  m_thread.join();
}

void PlatformUnderTest::Run() {
  EventLoop loop;
  SeededRandom random(1);
  EmulatedStore store(loop.base(), &random);
  for (const std::uint16_t port : m_ports) {
    store.Listen({"127.0.0.1", port});
  }
  EmulatedCallers::Configure(&store, 1, "pool");
  m_listening = true;
  while (!m_stopping) {
    loop.RunFor(kTick);
    store.Tick(Clock::now());
  }
}

std::string Submission(int number, std::string_view steps) {
  const std::string body = fmt::format(R"({{"spec":"x",{}}})", steps);
  return fmt::format("POST {} HTTP/1.1\r\n{}Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                     Path(number), kHeaders, body.size(), body);
}

std::string StateRequest(int number) {
  return fmt::format("GET {} HTTP/1.1\r\n{}Connection: close\r\n\r\n", Path(number), kHeaders);
}

}  // namespace cranberryplank
