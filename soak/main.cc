#include <event2/event.h>
#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <memory>
#include <string>

#include "cranberryplank/model/log.h"
#include "cranberryplank/support/event_loop.h"
#include "fault_soak.h"

namespace {

constexpr std::string_view kUsage =
    "Usage: fault_soak --daemon PROGRAM [--seed N] [--seconds N] [--keep]\n"
    "Plays jobs against three real daemons on loopback, with faults from outside them, and checks\n"
    "what callers and workers see. Exits with 1 if a promise was broken.\n";

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
    if (choice == 'd') {
      settings.daemon = optarg;
    } else if (choice == 's') {
      settings.seed = std::stoull(optarg);
    } else if (choice == 't') {
      settings.duration = std::chrono::seconds(std::stoul(optarg));
    } else if (choice == 'k') {
      keep = true;
    } else {
      fmt::print(stderr, "{}", kUsage);
      return 2;
    }
  }
  settings.folder = MakeFolder();
  if (settings.daemon.empty() || settings.folder.empty() || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  cranberryplank::SetLogLevel(cranberryplank::LogLevel::kError);
  const bool kept = cranberryplank::FaultSoak(settings).Run();
  if (kept && !keep) {
    std::filesystem::remove_all(settings.folder);
  } else {
    fmt::print("logs are in {}\n", settings.folder);
  }
  return kept ? 0 : 1;
}
