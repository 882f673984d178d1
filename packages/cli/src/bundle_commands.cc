#include <fmt/format.h>
#include <fmt/ostream.h>

#include <optional>
#include <ostream>
#include <thread>
#include <utility>

#include "cranberryplank/bundle/bundle_checker.h"
#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/bundle/bundle_signer.h"
#include "cranberryplank/bundle/bundle_verifier.h"
#include "cranberryplank/bundle/key_files.h"
#include "cranberryplank/cli/program.h"
#include "report.h"

namespace cranberryplank {

namespace {

constexpr Duration kPollPause{100};

/// Returns the ids of the daemons that have not acknowledged the revision of the current stage.
nlohmann::json PendingOf(const nlohmann::json& rollout) {
  nlohmann::json pending = nlohmann::json::array();
  for (const nlohmann::json& daemon : rollout.value("daemons", nlohmann::json::array())) {
    if (!daemon.value("acknowledged", false)) {
      pending.push_back(daemon.value("id", ""));
    }
  }
  return pending;
}

}  // namespace

ExitCode Program::RunBundle(std::string_view verb) {
  if (verb == "keygen") {
    return BundleKeygen();
  }
  if (verb == "check") {
    return BundleCheck();
  }
  if (verb == "sign") {
    return BundleSign();
  }
  if (verb == "retire") {
    return BundleRetire();
  }
  if (verb == "submit") {
    return BundleSubmit();
  }
  if (verb == "status") {
    return BundleStatus();
  }
  return Usage(fmt::format("unknown command 'bundle {}'", verb));
}

std::optional<Bundle> Program::ReadBundleFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    return std::nullopt;
  }
  BundleParser parser;
  auto bundle = parser.Parse(*text);
  if (!bundle) {
    Fail(ExitCode::kRefused, fmt::format("{}: {}", path, parser.last_reason()));
  }
  return bundle;
}

ExitCode Program::BundleKeygen() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  const std::string& path = m_options.positional_arguments[2];
  KeyFiles files;
  if (!files.Create(path)) {
    return Fail(ExitCode::kRefused, files.last_reason());
  }
  fmt::print(*m_out, "wrote {0}.key and {0}.pub\n", path);
  return ExitCode::kDone;
}

ExitCode Program::BundleCheck() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  const auto bundle = ReadBundleFile(m_options.positional_arguments[2]);
  if (!bundle) {
    return ExitCode::kRefused;
  }
  if (m_options.approver_files.empty()) {
    BundleChecker checker;
    if (!checker.Check(*bundle)) {
      return Fail(ExitCode::kRefused, checker.last_reason());
    }
    fmt::print(*m_out, "version {}: content accepted, signatures not checked\n", bundle->version);
    return ExitCode::kDone;
  }
  ApproverKeys keys;
  KeyFiles files;
  for (const auto& [approver, path] : m_options.approver_files) {
    const auto key = files.ReadPublic(path);
    if (!key) {
      return Fail(ExitCode::kUsage, files.last_reason());
    }
    keys.emplace(approver, *key);
  }
  BundleVerifier verifier(std::move(keys), m_options.required_approvals);
  if (!verifier.Verify(*bundle, 0)) {
    return Fail(ExitCode::kRefused, verifier.last_reason());
  }
  fmt::print(*m_out, "version {}: content and signatures accepted\n", bundle->version);
  return ExitCode::kDone;
}

ExitCode Program::BundleSign() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  if (m_options.signer.empty() || m_options.key_file.empty()) {
    return Usage("bundle sign needs --as and --key-file");
  }
  // A bundle that the daemons would refuse must not be approved.
  const auto bundle = ReadBundleFile(m_options.positional_arguments[2]);
  BundleChecker checker;
  if (!bundle) {
    return ExitCode::kRefused;
  }
  if (!checker.Check(*bundle)) {
    return Fail(ExitCode::kRefused, checker.last_reason());
  }
  KeyFiles files;
  const auto key = files.ReadSecret(m_options.key_file);
  if (!key) {
    return Fail(ExitCode::kUsage, files.last_reason());
  }
  BundleSigner signer;
  const auto text = signer.Approve(bundle->text, m_options.signer, *key);
  return text ? WriteOutput(*text) : Fail(ExitCode::kRefused, signer.last_reason());
}

ExitCode Program::BundleRetire() {
  if (!CheckOperandCount(3)) {
    return ExitCode::kUsage;
  }
  if (m_options.signer.empty() || m_options.key_file.empty()) {
    return Usage("bundle retire needs --as and --key-file");
  }
  const auto bundle = ReadBundleFile(m_options.positional_arguments[2]);
  if (!bundle) {
    return ExitCode::kRefused;
  }
  KeyFiles files;
  const auto key = files.ReadSecret(m_options.key_file);
  if (!key) {
    return Fail(ExitCode::kUsage, files.last_reason());
  }
  BundleSigner signer;
  const auto text = signer.Retire(bundle->text, m_options.positional_arguments[3],
                                  m_options.positional_arguments[4], m_options.signer, *key);
  return text ? WriteOutput(*text) : Fail(ExitCode::kRefused, signer.last_reason());
}

ExitCode Program::BundleSubmit() {
  if (!CheckOperandCount(1)) {
    return ExitCode::kUsage;
  }
  const auto bundle = ReadBundleFile(m_options.positional_arguments[2]);
  if (!bundle) {
    return ExitCode::kRefused;
  }
  BundleChecker checker;
  if (!checker.Check(*bundle)) {
    return Fail(ExitCode::kRefused, checker.last_reason());
  }
  auto client = Connect();
  if (!client) {
    return ExitCode::kUsage;
  }
  AdminReply reply = client->Change({"POST", "bundle", bundle->text}, m_options.nonce, {});
  if (reply.code == ExitCode::kDone && m_options.wait) {
    reply = WaitForBundle(&*client, Sha256(bundle->text), std::move(reply));
  }
  return PrintChange(reply);
}

AdminReply Program::WaitForBundle(AdminClient* client, const Digest& digest, AdminReply reply) {
  const std::uint64_t recorded = reply.body["revision"].get<std::uint64_t>();
  const TimePoint end = Clock::now() + *m_options.wait;
  std::string waiting_for = "the daemons";
  while (reply.body["in_effect"] != nlohmann::json(true)) {
    if (Clock::now() >= end) {
      reply.code = ExitCode::kNotYetInEffect;
      reply.reason = fmt::format("not in effect after {} ms: waits for {}", m_options.wait->count(),
                                 waiting_for);
      return reply;
    }
    std::this_thread::sleep_for(kPollPause);
    const AdminReply next = client->Read("rollout");
    // A daemon that has not applied the candidate yet has no information about it.
    if (next.code != ExitCode::kDone ||
        next.body.value("head_revision", std::uint64_t{0}) < recorded) {
      continue;
    }
    if (next.body.value("digest", "") != digest.hex) {
      reply.code = ExitCode::kNotYetInEffect;
      reply.reason = fmt::format("replaced by version {}",
                                 next.body.value("version", nlohmann::json()).dump());
      return reply;
    }
    waiting_for = next.body.value("waiting_for", "");
    reply.body["revision"] = next.body.value("revision", recorded);
    reply.body["in_effect"] = next.body.value("stage", "") == "in_effect";
    reply.body["pending"] = PendingOf(next.body);
  }
  return reply;
}

ExitCode Program::BundleStatus() {
  if (!CheckOperandCount(0)) {
    return ExitCode::kUsage;
  }
  if (m_options.json) {
    return PrintRead("bundle");
  }
  auto client = Connect();
  if (!client) {
    return ExitCode::kUsage;
  }
  const AdminReply reply = client->Read("bundle");
  if (reply.code != ExitCode::kDone) {
    return Fail(reply.code, reply.reason);
  }
  // Omits the text of the bundle, which --json prints.
  const nlohmann::json approvals = reply.body.value("approvals", nlohmann::json::array());
  fmt::print(*m_out, "version {}, approvals {}, head revision {}\n",
             reply.body.value("version", nlohmann::json()).dump(), approvals.dump(),
             reply.body.value("revision", nlohmann::json()).dump());
  const nlohmann::json rollout = reply.body.value("rollout", nlohmann::json::object());
  if (rollout.value("stage", "none") != "none") {
    fmt::print(*m_out, "\nrollout:\n{}", FormatAnswer(rollout));
  }
  return ExitCode::kDone;
}

}  // namespace cranberryplank
