#include "cranberryplank/cli/program.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ostream>
#include <utility>
#include <vector>

#include "cranberryplank/bundle/action.h"
#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/cli/action_request.h"
#include "report.h"

namespace cranberryplank {

namespace {

constexpr const char* kTokenVariable = "CRANBERRYPLANK_TOKEN";
constexpr std::string_view kWhiteSpace = " \t\r\n";
constexpr int kJsonIndent = 2;
constexpr std::size_t kCommandWords = 2;

/// Command that maps to one action; its operands are parameters of the action in this order.
struct ActionCommand {
  std::string_view group;
  std::string_view verb;
  std::string_view action;
  std::vector<std::string_view> operands;
};

const std::vector<ActionCommand>& ActionCommands() {
  static const std::vector<ActionCommand> commands = {
      {"status", "", "status", {}},
      {"team", "list", "team-list", {}},
      {"team", "set", "team-set", {"team"}},
      {"pool", "list", "pool-list", {}},
      {"vm", "list", "vm-list", {}},
      {"vm", "move", "vm-move", {"vm", "pool"}},
      {"vm", "drain", "vm-drain", {"vm"}},
      {"vm", "cancel", "vm-cancel", {"vm"}},
      {"vm", "add", "vm-add", {"vm"}},
      {"vm", "remove", "vm-remove", {"vm"}},
      {"key", "withdraw", "key-withdraw", {"digest"}},
      {"maintenance", "start", "maintenance-start", {"pool"}},
      {"maintenance", "status", "maintenance-status", {}},
      {"maintenance", "stop", "maintenance-stop", {"pool"}},
  };
  return commands;
}

std::string Trim(std::string text) {
  text.erase(text.find_last_not_of(kWhiteSpace) + 1);
  text.erase(0, text.find_first_not_of(kWhiteSpace));
  return text;
}

/// Returns whether `text` is a valid token. A header value must not contain a line break, which
/// would start another header.
bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

Program::Program(HttpClient* http, RandomSource* random, std::ostream* out, std::ostream* err)
    : m_http(http), m_random(random), m_out(out), m_err(err) {}

ExitCode Program::Run(int argc, char** argv) {
  OptionParser parser;
  auto options = parser.Parse(argc, argv);
  if (!options) {
    return Usage(parser.last_reason());
  }
  m_options = std::move(*options);
  if (m_options.help) {
    fmt::print(*m_out, "{}", UsageText());
    return ExitCode::kDone;
  }
  if (m_options.version) {
    fmt::print(*m_out, "cranberryplank {}\n", CRANBERRYPLANK_VERSION);
    return ExitCode::kDone;
  }
  return RunCommand();
}

ExitCode Program::RunCommand() {
  if (m_options.positional_arguments.empty()) {
    return Usage("no command given");
  }
  const std::string group = m_options.positional_arguments[0];
  const std::string verb =
      m_options.positional_arguments.size() > 1 ? m_options.positional_arguments[1] : "";
  // Options that only actions accept must not be ignored by other commands.
  const bool takes_parameters = group == "team" || group == "vm";
  if (!takes_parameters && !m_options.parameters.empty()) {
    return Usage(fmt::format("'{}' takes no '{}'", group, m_options.parameters.begin()->first));
  }
  if (group == "bundle") {
    return RunBundle(verb);
  }
  if (group == "runbook") {
    return RunRunbook(verb);
  }
  if (group == "key" && verb == "grant") {
    return KeyGrant();
  }
  return RunAction(group, verb);
}

ExitCode Program::RunAction(std::string_view group, std::string_view verb) {
  const auto& commands = ActionCommands();
  const auto command = std::find_if(commands.begin(), commands.end(), [&](const auto& entry) {
    return entry.group == group && entry.verb == verb;
  });
  if (command == commands.end()) {
    return Usage(fmt::format("unknown command '{}{}{}'", group, verb.empty() ? "" : " ", verb));
  }
  std::vector<std::string>& positional_arguments = m_options.positional_arguments;
  if (command->action == "key-withdraw" && positional_arguments.size() == kCommandWords) {
    if (const auto digest = DigestOfKeyFile()) {
      positional_arguments.push_back(*digest);
    }
  }
  const std::size_t first = command->verb.empty() ? 1 : kCommandWords;
  const bool takes_list = command->action == "maintenance-start";
  const std::size_t last = first + command->operands.size();
  if (positional_arguments.size() < last || (positional_arguments.size() > last && !takes_list)) {
    return Usage("wrong number of operands");
  }
  Parameters parameters = m_options.parameters;
  for (std::size_t i = 0; i < command->operands.size(); ++i) {
    if (!parameters.emplace(command->operands[i], positional_arguments[first + i]).second) {
      return Usage(fmt::format("'{}' is given twice", command->operands[i]));
    }
  }
  if (positional_arguments.size() > last) {
    parameters["vms"] =
        fmt::format("{}", fmt::join(positional_arguments.begin() + static_cast<int>(last),
                                    positional_arguments.end(), ","));
  }
  return RunActionCall(std::string(command->action), parameters);
}

ExitCode Program::RunActionCall(const std::string& action, const Parameters& parameters) {
  ActionRequestBuilder builder;
  const auto request = builder.Build(action, parameters);
  if (!request) {
    return Usage(builder.last_reason());
  }
  return request->IsRead() ? PrintRead(request->path) : RunChange(*request);
}

ExitCode Program::RunChange(const AdminRequest& request) {
  auto client = Connect();
  if (!client) {
    return ExitCode::kUsage;
  }
  return PrintChange(client->Change(request, m_options.nonce, m_options.wait));
}

ExitCode Program::PrintChange(const AdminReply& reply) {
  if (reply.code == ExitCode::kDone || reply.code == ExitCode::kNotYetInEffect) {
    fmt::print(*m_out, "{}",
               m_options.json ? reply.body.dump(kJsonIndent) + "\n" : FormatChange(reply.body));
  }
  return reply.code == ExitCode::kDone ? reply.code : Fail(reply.code, reply.reason);
}

ExitCode Program::PrintRead(const std::string& path) {
  auto client = Connect();
  if (!client) {
    return ExitCode::kUsage;
  }
  const AdminReply reply = client->Read(path);
  if (reply.code != ExitCode::kDone) {
    return Fail(reply.code, reply.reason);
  }
  fmt::print(*m_out, "{}",
             m_options.json ? reply.body.dump(kJsonIndent) + "\n" : FormatAnswer(reply.body));
  return ExitCode::kDone;
}

ExitCode Program::KeyGrant() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  const bool make_key = m_options.key_file.empty();
  const auto key = make_key ? m_random->Nonce() + m_random->Nonce() : ReadKeyFile();
  if (!key) {
    return ExitCode::kUsage;
  }
  const ExitCode code = RunActionCall(
      "key-grant", {{"team", m_options.positional_arguments[2]}, {"digest", Sha256(*key).hex}});
  // The key may have been granted even if the answer was lost, so it is printed in that case too.
  const bool may_be_granted = code != ExitCode::kRefused && code != ExitCode::kUsage;
  if (make_key && may_be_granted) {
    fmt::print(*m_out, "{}\n",
               m_options.json ? nlohmann::json{{"key", *key}}.dump() : "key: " + *key);
  }
  return code;
}

std::optional<std::string> Program::DigestOfKeyFile() {
  const auto key = m_options.key_file.empty() ? std::nullopt : ReadKeyFile();
  return key ? std::optional(Sha256(*key).hex) : std::nullopt;
}

std::optional<std::string> Program::ReadKeyFile() {
  auto text = ReadFile(m_options.key_file);
  if (!text) {
    return std::nullopt;
  }
  std::string key = Trim(std::move(*text));
  if (!IsToken(key)) {
    Fail(ExitCode::kUsage, fmt::format("{} holds no key", m_options.key_file));
    return std::nullopt;
  }
  return key;
}

std::optional<AdminClient> Program::Connect() {
  if (m_options.daemons.empty()) {
    Usage("no --daemon given");
    return std::nullopt;
  }
  std::string token;
  if (!m_options.token_file.empty()) {
    const auto text = ReadFile(m_options.token_file);
    if (!text) {
      return std::nullopt;
    }
    token = Trim(*text);
  } else if (const char* value = std::getenv(kTokenVariable)) {
    token = value;
  }
  if (!IsToken(token)) {
    Usage(fmt::format("no usable operator token: give --token-file or set {}", kTokenVariable));
    return std::nullopt;
  }
  return AdminClient({m_options.daemons, token, m_options.timeout}, m_http, m_random);
}

bool Program::CheckOperandCount(std::size_t operands) {
  if (m_options.positional_arguments.size() == kCommandWords + operands) {
    return true;
  }
  Usage("wrong number of operands");
  return false;
}

std::optional<std::string> Program::ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), {});
  if (!file.is_open() || file.bad()) {
    Fail(ExitCode::kUsage, fmt::format("cannot read {}", path));
    return std::nullopt;
  }
  return text;
}

ExitCode Program::WriteOutput(const std::string& text) {
  if (m_options.output.empty()) {
    fmt::print(*m_out, "{}", text);
    return ExitCode::kDone;
  }
  std::ofstream file(m_options.output, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  return file ? ExitCode::kDone
              : Fail(ExitCode::kRefused, fmt::format("cannot write {}", m_options.output));
}

ExitCode Program::Usage(std::string_view reason) {
  fmt::print(*m_err, "cranberryplank: {}\nTry 'cranberryplank --help'.\n", reason);
  return ExitCode::kUsage;
}

ExitCode Program::Fail(ExitCode code, std::string_view reason) {
  std::string text(reason);
  // Reasons may come from daemons, and control characters must not reach the terminal.
  std::replace_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
  fmt::print(*m_err, "cranberryplank: {}\n", text);
  return code;
}

}  // namespace cranberryplank
