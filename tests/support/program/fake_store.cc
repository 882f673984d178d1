#include "cranberryplank/support/fake_store.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>

#include "cranberryplank/support/fake_program.h"

namespace {

constexpr std::string_view kUsage =
    "Usage: fake_store --port PORT\n"
    "Serves Consul's /v1/kv on 127.0.0.1; port 0 picks a free one. Faults: POST /fault\n"
    "{\"fault\": NAME, \"count\": N, \"ms\": N, \"method\": METHOD, \"path\": PREFIX}.\n";

}  // namespace

int main(int argc, char** argv) {
  constexpr std::array<option, 3> kOptions{{{"port", required_argument, nullptr, 'p'},
                                            {"help", no_argument, nullptr, 'h'},
                                            {nullptr, 0, nullptr, 0}}};
  std::optional<int> port;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "p:h", kOptions.data(), nullptr)) != -1) {
    if (choice == 'h') {
      fmt::print("{}", kUsage);
      return 0;
    }
    port = choice == 'p' ? cranberryplank::ParseNumber(optarg, 0, 65'535) : std::nullopt;
    if (!port) {
      break;
    }
  }
  if (!port || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  cranberryplank::EventLoop loop;
  cranberryplank::FakeStore fake(loop.base());
  if (!fake.Listen(static_cast<std::uint16_t>(*port))) {
    fmt::print(stderr, "fake_store: cannot listen on port {}\n", *port);
    return 1;
  }
  cranberryplank::LogListening("fake_store", fake.port());
  cranberryplank::RunUntilSignal(&loop);
  return 0;
}
