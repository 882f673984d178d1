#include <event2/event.h>
#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryplank/model/log.h"
#include "cranberryplank/model/text.h"
#include "cranberryplank/support/event_loop.h"
#include "fault_soak.h"

namespace {

constexpr std::string_view kUsage =
    "Usage: fault_soak --daemon PROGRAM [--seed N] [--seconds N] [--keep]\n"
    "Runs jobs on three real daemons on loopback under injected external faults, and checks the\n"
    "results that callers and workers observe. Exits with 1 if a guarantee was violated.\n";

std::string MakeFolder() {
  std::string name = std::filesystem::temp_directory_path() / "fault-soak-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr std::array<option, 5> kOptions{{{"daemon", required_argument, nullptr, 'd'},
                                            {"seed", required_argument, nullptr, 's'},
                                            {"seconds", required_argument, nullptr, 't'},
                                            {"keep", no_argument, nullptr, 'k'},
                                            {nullptr, 0, nullptr, 0}}};
  cranberryplank::SoakSettings settings;
  bool keep = false;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "d:s:t:k", kOptions.data(), nullptr)) != -1) {
    const std::string_view value = optarg == nullptr ? "" : optarg;
    const auto number = cranberryplank::ParseNumber<std::uint64_t>(value);
    if (choice == 'd') {
      settings.daemon = value;
    } else if (choice == 's' && number) {
      settings.seed = *number;
    } else if (choice == 't' && number) {
      settings.duration = std::chrono::seconds(*number);
    } else if (choice == 'k') {
      keep = true;
    } else {
      fmt::print(stderr, "{}", kUsage);
      return 2;
    }
  }
  if (settings.daemon.empty() || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  settings.folder = MakeFolder();
  if (settings.folder.empty()) {
    fmt::print(stderr, "fault_soak: cannot create a working directory\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  cranberryplank::SetLogLevel(cranberryplank::LogLevel::kError);
  const bool passed = cranberryplank::FaultSoak(settings).Run();
  if (passed && !keep) {
    std::filesystem::remove_all(settings.folder);
  } else {
    fmt::print("logs are in {}\n", settings.folder);
  }
  return passed ? 0 : 1;
}
