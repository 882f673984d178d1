#include "cranberryplank/support/load_generator.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <optional>

#include "cranberryplank/model/random.h"
#include "cranberryplank/support/fake_program.h"

namespace {

using cranberryplank::LoadSettings;
using cranberryplank::ParseNumber;

constexpr std::string_view kUsage =
    "Usage: load_generator --daemon HOST:PORT... --target QUEUE=KEY... [option]...\n"
    "Sends requests to daemons and compares the answers with the logs of fake workers.\n"
    "  --daemon HOST:PORT   daemon to send to; repeat for several\n"
    "  --target QUEUE=KEY   queue and key to use; repeat for several queues, teams and keys\n"
    "  --worker HOST:PORT   fake worker whose log is read at the end; repeat for all of them\n"
    "  --requests N         number of requests (default 1000)\n"
    "  --concurrency N      requests in flight (default 10)\n"
    "  --run-ms N           run time of each task (default 1)\n"
    "  --timeout-ms N       deadline of each request (default 30000)\n"
    "  --idempotent         mark the requests as idempotent; their repeats are not counted\n"
    "  --urgent             mark the requests as urgent\n"
    "  --json               print the report as JSON\n"
    "  --help\n"
    "Exit code: 0 if every log was read and no request was lost, run twice, reported as not run\n"
    "although it was started, answered with another request's reply or refused without a\n"
    "verdict; otherwise 1; 2 for invalid arguments.\n";

constexpr int kMaxRequests = 100'000'000;
constexpr int kMaxConcurrency = 10'000;
constexpr int kMaxMs = 3'600'000;

struct Arguments {
  LoadSettings load;
  bool json = false;
  bool help = false;
};

bool AddAddress(std::string_view text, std::vector<cranberryplank::WorkerAddress>* addresses) {
  const auto address = cranberryplank::ParseAddress(text);
  if (address) {
    addresses->push_back({address->first, address->second});
  }
  return address.has_value();
}

bool AddTarget(std::string_view text, LoadSettings* load) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  load->targets.push_back(
      {std::string(text.substr(0, equals)), std::string(text.substr(equals + 1))});
  return true;
}

/// Reads one option. @return false if it is not valid
bool ReadOption(int choice, std::string_view value, Arguments* arguments) {
  LoadSettings& load = arguments->load;
  std::optional<int> number = 0;
  switch (choice) {
    case 'd':
      return AddAddress(value, &load.daemons);
    case 'w':
      return AddAddress(value, &load.workers);
    case 't':
      return AddTarget(value, &load);
    case 'n':
      number = ParseNumber(value, 1, kMaxRequests);
      load.requests = static_cast<std::size_t>(number.value_or(0));
      return number.has_value();
    case 'c':
      number = ParseNumber(value, 1, kMaxConcurrency);
      load.concurrency = static_cast<std::size_t>(number.value_or(0));
      return number.has_value();
    case 'r':
      number = ParseNumber(value, 0, kMaxMs);
      load.run_ms = number.value_or(0);
      return number.has_value();
    case 'm':
      number = ParseNumber(value, 1, kMaxMs);
      load.timeout = cranberryplank::Duration(number.value_or(0));
      return number.has_value();
    case 'i':
      load.idempotent = true;
      return true;
    case 'u':
      load.urgent = true;
      return true;
    case 'j':
      arguments->json = true;
      return true;
    case 'h':
      arguments->help = true;
      return true;
    default:
      return false;
  }
}

/// Returns nothing if the arguments are not valid.
std::optional<Arguments> ReadArguments(int argc, char** argv) {
  constexpr std::array<option, 12> kOptions{{{"daemon", required_argument, nullptr, 'd'},
                                             {"target", required_argument, nullptr, 't'},
                                             {"worker", required_argument, nullptr, 'w'},
                                             {"requests", required_argument, nullptr, 'n'},
                                             {"concurrency", required_argument, nullptr, 'c'},
                                             {"run-ms", required_argument, nullptr, 'r'},
                                             {"timeout-ms", required_argument, nullptr, 'm'},
                                             {"idempotent", no_argument, nullptr, 'i'},
                                             {"urgent", no_argument, nullptr, 'u'},
                                             {"json", no_argument, nullptr, 'j'},
                                             {"help", no_argument, nullptr, 'h'},
                                             {nullptr, 0, nullptr, 0}}};
  Arguments arguments;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1) {
    if (!ReadOption(choice, optarg == nullptr ? "" : optarg, &arguments)) {
      return std::nullopt;
    }
  }
  const bool valid = arguments.help || (optind == argc && !arguments.load.daemons.empty() &&
                                        !arguments.load.targets.empty());
  return valid ? std::optional(arguments) : std::nullopt;
}

}  // namespace

int main(int argc, char** argv) {
  const std::optional<Arguments> arguments = ReadArguments(argc, argv);
  if (!arguments) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  if (arguments->help) {
    fmt::print("{}", kUsage);
    return 0;
  }
  cranberryplank::SystemRandom random;
  cranberryplank::EventLoop loop;
  cranberryplank::LoadGenerator generator(loop.base(), arguments->load, random.Nonce());
  generator.Start();
  // Every request and every log has its own timeout, so the run always ends.
  loop.RunUntil([&] { return generator.done(); }, std::chrono::hours(24 * 365));
  const cranberryplank::LoadReport& report = generator.report();
  fmt::print("{}", arguments->json ? report.ToJson() + "\n" : report.ToText());
  return report.Passed() ? 0 : 1;
}
