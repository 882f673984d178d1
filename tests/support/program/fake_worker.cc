#include "cranberryplank/support/fake_worker.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <memory>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/support/fake_program.h"

namespace {

constexpr std::string_view kUsage =
    "Usage: fake_worker --port PORT [--count N] [--slots N] [--reboot-ms N]\n"
    "Serves N workers (default 1) on 127.0.0.1, on PORT and the ports that follow; port 0 picks\n"
    "free ones. Protocol: docs/API.md. Started tasks: GET /log. Faults: POST /fault\n"
    "{\"fault\": NAME, \"count\": N, \"ms\": N, \"method\": METHOD, \"path\": PREFIX}.\n";

constexpr int kMaxPort = 65'535;
constexpr int kMaxWorkers = 4'000;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxRebootMs = 3'600'000;

struct Settings {
  int port = -1;
  int count = 1;
  int slots = 8;
  int reboot_ms = 2'000;
  bool help = false;
};

/// Returns nothing if the arguments are not valid.
std::optional<Settings> ReadArguments(int argc, char** argv) {
  constexpr std::array<option, 6> kOptions{{{"port", required_argument, nullptr, 'p'},
                                            {"count", required_argument, nullptr, 'c'},
                                            {"slots", required_argument, nullptr, 's'},
                                            {"reboot-ms", required_argument, nullptr, 'r'},
                                            {"help", no_argument, nullptr, 'h'},
                                            {nullptr, 0, nullptr, 0}}};
  using cranberryplank::ParseNumber;
  Settings settings;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "p:c:s:r:h", kOptions.data(), nullptr)) != -1) {
    const std::string_view value = optarg == nullptr ? "" : optarg;
    switch (choice) {
      case 'p':
        settings.port = ParseNumber(value, 0, kMaxPort).value_or(-1);
        break;
      case 'c':
        settings.count = ParseNumber(value, 1, kMaxWorkers).value_or(-1);
        break;
      case 's':
        settings.slots = ParseNumber(value, 1, kMaxSlots).value_or(-1);
        break;
      case 'r':
        settings.reboot_ms = ParseNumber(value, 0, kMaxRebootMs).value_or(-1);
        break;
      case 'h':
        settings.help = true;
        return settings;
      default:
        return std::nullopt;
    }
  }
  const bool valid = optind == argc && settings.port >= 0 && settings.count > 0 &&
                     settings.slots > 0 && settings.reboot_ms >= 0 &&
                     settings.port + settings.count - 1 <= kMaxPort;
  return valid ? std::optional(settings) : std::nullopt;
}

}  // namespace

int main(int argc, char** argv) {
  const std::optional<Settings> settings = ReadArguments(argc, argv);
  if (!settings) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  if (settings->help) {
    fmt::print("{}", kUsage);
    return 0;
  }
  cranberryplank::WorkerSettings worker;
  worker.slots = settings->slots;
  worker.reboot_time = cranberryplank::Duration(settings->reboot_ms);
  cranberryplank::SystemRandom random;
  cranberryplank::EventLoop loop;
  std::vector<std::unique_ptr<cranberryplank::FakeWorker>> fakes;
  for (int i = 0; i < settings->count; ++i) {
    fakes.push_back(
        std::make_unique<cranberryplank::FakeWorker>(loop.base(), random.Nonce(), worker));
    const int port = settings->port == 0 ? 0 : settings->port + i;
    if (!fakes.back()->Listen(static_cast<std::uint16_t>(port))) {
      fmt::print(stderr, "fake_worker: cannot listen on port {}\n", port);
      return 1;
    }
    cranberryplank::LogListening("fake_worker", fakes.back()->port());
  }
  cranberryplank::RunUntilSignal(&loop);
  return 0;
}
