#include "cranberryplank/cli/options.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdint>

namespace cranberryplank {

namespace {

constexpr int kMillisecondsPerSecond = 1'000;
// One day, which keeps the product in milliseconds within range.
constexpr int kMaxSeconds = 86'400;
constexpr int kMaxPort = 65'535;
constexpr std::size_t kNonceLength = 32;

enum OptionId {
  kDaemon = 256,
  kTokenFile,
  kTimeout,
  kWait,
  kNonce,
  kJson,
  kHelp,
  kVersion,
  kApprover,
  kRequired,
  kAs,
  kKeyFile,
  kOutput,
  kFrom,
  kParameter,  ///< First of the ids of action parameters.
};

/// Action parameters that are given as options; option names have '-' in place of '_'.
constexpr std::array<const char*, 11> kParameterOptions = {
    "share-weight", "upper-limit", "host",  "port",      "zone",        "rack",
    "pool",         "slots",       "cores", "memory-gb", "accelerators"};

std::vector<option> LongOptions() {
  std::vector<option> options = {
      {"daemon", required_argument, nullptr, kDaemon},
      {"token-file", required_argument, nullptr, kTokenFile},
      {"timeout", required_argument, nullptr, kTimeout},
      {"wait", required_argument, nullptr, kWait},
      {"nonce", required_argument, nullptr, kNonce},
      {"json", no_argument, nullptr, kJson},
      {"help", no_argument, nullptr, kHelp},
      {"version", no_argument, nullptr, kVersion},
      {"approver", required_argument, nullptr, kApprover},
      {"required", required_argument, nullptr, kRequired},
      {"as", required_argument, nullptr, kAs},
      {"key-file", required_argument, nullptr, kKeyFile},
      {"output", required_argument, nullptr, kOutput},
      {"from", required_argument, nullptr, kFrom},
  };
  for (std::size_t i = 0; i < kParameterOptions.size(); ++i) {
    options.push_back(
        {kParameterOptions[i], required_argument, nullptr, kParameter + static_cast<int>(i)});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

std::optional<int> ParseInteger(std::string_view text, int lowest, int highest) {
  int number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < lowest ||
      number > highest) {
    return std::nullopt;
  }
  return number;
}

bool ReadSeconds(std::string_view text, Duration* out) {
  const auto seconds = ParseInteger(text, 0, kMaxSeconds);
  if (seconds) {
    *out = Duration(std::int64_t{*seconds} * kMillisecondsPerSecond);
  }
  return seconds.has_value();
}

std::optional<DaemonAddress> ReadAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParseInteger(text.substr(colon + 1), 1, kMaxPort);
  if (!port || host.empty()) {
    return std::nullopt;
  }
  return DaemonAddress{std::string(host), static_cast<std::uint16_t>(*port)};
}

bool IsNonce(std::string_view text) {
  return text.size() == kNonceLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string ParameterName(int option) {
  std::string name = kParameterOptions[static_cast<std::size_t>(option - kParameter)];
  for (char& c : name) {
    c = c == '-' ? '_' : c;
  }
  return name;
}

}  // namespace

std::optional<Options> OptionParser::Parse(int argc, char** argv) {
  const std::vector<option> long_options = LongOptions();
  Options options;
  optind = 0;  // Resets getopt_long, so that tests can parse more than once.
  opterr = 0;
  int id = 0;
  while ((id = getopt_long(argc, argv, ":h", long_options.data(), nullptr)) != -1) {
    if (id == '?' || id == ':') {
      m_last_reason = fmt::format("{} '{}'", id == ':' ? "no value for" : "unknown option",
                                  optind > 0 ? argv[optind - 1] : "");
      return std::nullopt;
    }
    const std::string value = optarg == nullptr ? "" : optarg;
    if (!Apply(id == 'h' ? kHelp : id, value, &options)) {
      m_last_reason = fmt::format("value '{}' of {} is not valid", value, argv[optind - 1]);
      return std::nullopt;
    }
  }
  options.positional_arguments.assign(argv + optind, argv + argc);
  return options;
}

bool OptionParser::Apply(int option, std::string_view value, Options* options) {
  if (option >= kParameter) {
    options->parameters[ParameterName(option)] = value;
    return true;
  }
  switch (option) {
    case kDaemon: {
      const auto address = ReadAddress(value);
      if (address) {
        options->daemons.push_back(*address);
      }
      return address.has_value();
    }
    case kTokenFile:
      options->token_file = value;
      return true;
    case kTimeout:
      return ReadSeconds(value, &options->timeout) && options->timeout.count() > 0;
    case kWait:
      return ReadSeconds(value, &options->wait.emplace());
    case kNonce:
      options->nonce = value;
      return IsNonce(value);
    case kJson:
      options->json = true;
      return true;
    case kHelp:
      options->help = true;
      return true;
    case kVersion:
      options->version = true;
      return true;
    case kApprover: {
      const std::size_t equals = value.find('=');
      if (equals == 0 || equals == std::string_view::npos) {
        return false;
      }
      return options->approver_files
          .emplace(std::string(value.substr(0, equals)), std::string(value.substr(equals + 1)))
          .second;
    }
    case kRequired: {
      const auto number = ParseInteger(value, 1, 1'000);
      options->required_approvals = number.value_or(0);
      return number.has_value();
    }
    case kAs:
      options->signer = value;
      return !value.empty();
    case kKeyFile:
      options->key_file = value;
      return true;
    case kOutput:
      options->output = value;
      return true;
    case kFrom: {
      const auto number = ParseInteger(value, 1, 1'000'000);
      options->first_step = number.value_or(0);
      return number.has_value();
    }
    default:
      return false;
  }
}

std::string_view UsageText() {
  return R"(usage: cranberryplank [OPTION...] COMMAND

Bundle files
  bundle keygen PATH             make PATH.key and PATH.pub
  bundle check FILE              check content; with --approver also the signatures
  bundle sign FILE               approve, with --as NAME --key-file FILE
  bundle retire FILE COMMAND REASON
                                 retire a command of the old system, with --as and --key-file
  runbook check FILE             check runbooks and print the coverage of old commands

Reads
  status
  bundle status
  team list
  pool list
  vm list [--pool POOL]
  maintenance status

Changes
  bundle submit FILE
  key grant TEAM                 make a key and print it; with --key-file grant that key
  key withdraw DIGEST            or with --key-file instead of DIGEST
  team set TEAM --share-weight W --upper-limit N
  vm move VM POOL
  vm drain VM
  vm cancel VM                   cancel a move, or put a drained VM back to work
  vm add VM --host H --port P --zone Z --rack R --pool POOL
            --slots N --cores N --memory-gb N --accelerators N
  vm remove VM
  maintenance start POOL [VM...]
  maintenance stop POOL
  runbook run NAME [--from STEP] carry out a runbook of the active bundle

Options
  --daemon HOST:PORT    daemon to ask; repeat it to name more
  --token-file FILE     operator token; otherwise $CRANBERRYPLANK_TOKEN
  --timeout SECONDS     for one call (15)
  --wait SECONDS        wait until a change is in effect
  --nonce NONCE         repeat a change whose answer was lost
  --json                print the daemon's answer
  --approver NAME=FILE  public key of an approver; repeat it to name more
  --required N          approvals required (1)
  --as NAME             name to sign as
  --key-file FILE       secret key to sign with, or a team's key
  --output FILE         where bundle sign and retire write (standard output)
  --help, --version

Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or outcome not known,
4 accepted but not in effect when --wait ran out
)";
}

}  // namespace cranberryplank
