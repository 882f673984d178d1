#include "cranberryplank/support/fake_vm_list.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <utility>
#include <vector>

#include "cranberryplank/support/fake_program.h"

namespace {

constexpr std::string_view kUsage =
    "Usage: fake_vm_list --port PORT [--vm SERVICE=ID]...\n"
    "Serves Consul's /v1/health/service on 127.0.0.1; port 0 picks a free one. Edits: POST /vms\n"
    "{\"service\": NAME, \"id\": ID, \"action\": add|leaving|staying|remove|restore}. Faults:\n"
    "POST /fault {\"fault\": NAME, \"count\": N, \"ms\": N, \"path\": PREFIX}.\n";

struct Settings {
  std::optional<int> port;
  std::vector<std::pair<std::string, std::string>> vms;
  bool help = false;
};

/// Returns nothing if the arguments are not valid.
std::optional<Settings> ReadArguments(int argc, char** argv) {
  constexpr std::array<option, 4> kOptions{{{"port", required_argument, nullptr, 'p'},
                                            {"vm", required_argument, nullptr, 'v'},
                                            {"help", no_argument, nullptr, 'h'},
                                            {nullptr, 0, nullptr, 0}}};
  Settings settings;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "p:v:h", kOptions.data(), nullptr)) != -1) {
    const std::string_view value = optarg == nullptr ? "" : optarg;
    const std::size_t equals = value.find('=');
    if (choice == 'h') {
      settings.help = true;
    } else if (choice == 'p') {
      settings.port = cranberryplank::ParseNumber(value, 0, 65'535);
    } else if (choice == 'v' && equals != std::string_view::npos) {
      settings.vms.emplace_back(value.substr(0, equals), value.substr(equals + 1));
    } else {
      return std::nullopt;
    }
  }
  const bool valid = settings.help || (settings.port && optind == argc);
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
  cranberryplank::EventLoop loop;
  cranberryplank::FakeVmList fake(loop.base());
  for (const auto& [service, id] : settings->vms) {
    fake.table().Add(service, id);
  }
  if (!fake.Listen(static_cast<std::uint16_t>(*settings->port))) {
    fmt::print(stderr, "fake_vm_list: cannot listen on port {}\n", *settings->port);
    return 1;
  }
  cranberryplank::LogListening("fake_vm_list", fake.port());
  cranberryplank::RunUntilSignal(&loop);
  return 0;
}
