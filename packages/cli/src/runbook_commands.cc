#include <fmt/format.h>
#include <fmt/ostream.h>

#include <optional>
#include <ostream>
#include <string>

#include "cranberryplank/bundle/bundle_checker.h"
#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/cli/program.h"
#include "report.h"

namespace cranberryplank {

namespace {

std::string FormatCall(const ActionCall& call) {
  std::string text = call.action;
  for (const auto& [name, value] : call.parameters) {
    text += fmt::format(" {}={}", name, value);
  }
  return text;
}

}  // namespace

ExitCode Program::RunRunbook(std::string_view verb) {
  if (verb == "check") {
    return RunbookCheck();
  }
  if (verb == "run") {
    return RunbookRun();
  }
  return Usage(fmt::format("unknown command 'runbook {}'", verb));
}

ExitCode Program::RunbookCheck() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  const auto bundle = ReadBundleFile(m_options.positional_arguments[2]);
  if (!bundle) {
    return ExitCode::kRefused;
  }
  const Coverage coverage = BundleChecker::ComputeCoverage(*bundle);
  fmt::print(*m_out, "{}",
             m_options.json ? CoverageToJson(coverage).dump(2) + "\n" : FormatCoverage(coverage));
  BundleChecker checker;
  return checker.Check(*bundle) ? ExitCode::kDone : Fail(ExitCode::kRefused, checker.last_reason());
}

ExitCode Program::RunbookRun() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  auto client = Connect();
  if (!client) {
    return ExitCode::kUsage;
  }
  const AdminReply reply = client->Read("bundle");
  if (reply.code != ExitCode::kDone) {
    return Fail(reply.code, reply.reason);
  }
  const nlohmann::json text = reply.body.value("bundle", nlohmann::json());
  BundleParser parser;
  const auto bundle = parser.Parse(text.is_string() ? text.get<std::string>() : "");
  if (!bundle) {
    return Fail(ExitCode::kRefused, parser.last_reason());
  }
  const auto runbook = bundle->runbooks.find(m_options.positional_arguments[2]);
  if (runbook == bundle->runbooks.end()) {
    return Fail(ExitCode::kRefused, fmt::format("version {} has no runbook '{}'", bundle->version,
                                                m_options.positional_arguments[2]));
  }
  const auto& steps = runbook->second.steps;
  for (auto i = static_cast<std::size_t>(m_options.first_step); i <= steps.size(); ++i) {
    fmt::print(*m_out, "step {} of {}: {}", i, steps.size(), steps[i - 1].command);
    const ExitCode code = RunStep(*bundle, steps[i - 1]);
    if (code != ExitCode::kDone) {
      // A later step may depend on this one.
      fmt::print(*m_err, "cranberryplank: stopped at step {0}; continue with --from {0}\n", i);
      return code;
    }
    // `--nonce` repeats one change whose answer was lost, so it is used for the first step only.
    m_options.nonce.clear();
  }
  return ExitCode::kDone;
}

ExitCode Program::RunStep(const Bundle& bundle, const RunbookStep& step) {
  BundleChecker checker;
  const auto call = checker.Resolve(bundle, step);
  if (!call) {
    fmt::print(*m_out, "\n");
    return Fail(ExitCode::kRefused, checker.last_reason());
  }
  if (call->action.empty()) {
    fmt::print(*m_out, " -> retired: {}\n", call->retirement_reason);
    return ExitCode::kDone;
  }
  fmt::print(*m_out, " -> {}\n", FormatCall(*call));
  const ExitCode code = RunActionCall(call->action, call->parameters);
  return code == ExitCode::kUsage ? ExitCode::kRefused : code;
}

}  // namespace cranberryplank
