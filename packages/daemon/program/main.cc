#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cranberryplank/daemon/daemon.h"
#include "cranberryplank/daemon/settings.h"
#include "job_program.h"

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

constexpr std::string_view kUsage =
    "Usage: cranberryplankd [OPTIONS] --settings FILE\n"
    "Accepts requests, places them on workers and carries out maintenance.\n"
    "\n"
    "  -s, --settings FILE   settings in TOML\n"
    "      --jobs            run the job service on the users' platform\n"
    "      --check-settings  check the settings and exit\n"
    "  -h, --help            print this text and exit\n"
    "      --version         print the version and exit\n"
    "\n"
    "Exit codes: 0 planned stop or settings valid, 1 could not start or had to give up,\n"
    "2 wrong use, 3 settings not valid.\n";

enum Option : int { kCheckSettings = 256, kVersion, kJobs };

constexpr std::array kOptions{
    option{"settings", required_argument, nullptr, 's'},
    option{"jobs", no_argument, nullptr, kJobs},
    option{"check-settings", no_argument, nullptr, kCheckSettings},
    option{"help", no_argument, nullptr, 'h'},
    option{"version", no_argument, nullptr, kVersion},
    option{nullptr, 0, nullptr, 0},
};

int RunDaemon(const std::string& path, bool check_only) {
  cranberryplank::SettingsReader reader;
  const auto settings = reader.ReadFile(path);
  if (!settings) {
    fmt::print(stderr, "{}", reader.last_reason());
    return kExitSettings;
  }
  if (check_only) {
    fmt::print("{}: valid\n", path);
    return EXIT_SUCCESS;
  }
  cranberryplank::Daemon daemon(*settings);
  if (!daemon.Run()) {
    fmt::print(stderr, "cranberryplankd: {}\n", daemon.last_reason());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  std::string path;
  bool check_only = false;
  bool jobs = false;
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, "s:h", kOptions.data(), nullptr)) != -1) {
    switch (chosen) {
      case 's':
        path = optarg;
        break;
      case kJobs:
        jobs = true;
        break;
      case kCheckSettings:
        check_only = true;
        break;
      case 'h':
        fmt::print("{}", kUsage);
        return EXIT_SUCCESS;
      case kVersion:
        fmt::print("cranberryplankd {}\n", CRANBERRYPLANK_VERSION);
        return EXIT_SUCCESS;
      default:
        fmt::print(stderr, "{}", kUsage);
        return kExitUsage;
    }
  }
  if (const char* variable = std::getenv("CRANBERRYPLANK_SETTINGS"); path.empty() && variable) {
    path = variable;
  }
  if (path.empty() || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    return kExitUsage;
  }
  return jobs ? cranberryplank::RunJobDaemon(path, check_only) : RunDaemon(path, check_only);
}
