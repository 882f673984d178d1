#include <fmt/format.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "cranberryplank/bundle/bundle_application.h"
#include "cranberryplank/bundle/bundle_checker.h"
#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/bundle/bundle_signer.h"
#include "cranberryplank/bundle/bundle_verifier.h"
#include "cranberryplank/bundle/key_files.h"

namespace cranberryplank {
namespace {

using nlohmann::json;

const SigningKey& Ana() {
  static const SigningKey key = SigningKey::Generate();
  return key;
}

const SigningKey& Ben() {
  static const SigningKey key = SigningKey::Generate();
  return key;
}

json SampleDocument() {
  return json::parse(R"({
    "version": 2,
    "configuration": {
      "teams": [{"name": "smiths", "share_weight": 2.0, "upper_limit": 40}],
      "pools": [{"name": "tone", "spare": false, "budget_per_pool": 2, "budget_per_rack": 1,
                 "budget_per_zone": 2}],
      "queues": [{"name": "tone", "pool": "tone", "teams": ["smiths"], "open_to_all": false,
                  "open_team": "", "max_run_ms": 30000, "max_waiting": 1000}]},
    "runbooks": [{"name": "shift", "steps": [
      {"command": "mv", "parameters": {"machine": "vm-1"}}, {"command": "top"},
      {"command": "fax"}]}],
    "inventory": ["mv", "top", "fax"],
    "mappings": [
      {"command": "mv", "action": "vm-move", "parameters": {"vm": "$machine", "pool": "tone"}},
      {"command": "top", "action": "vm-list", "parameters": {"pool": "$group"}}]})");
}

Bundle Parse(std::string_view text) {
  BundleParser parser;
  auto bundle = parser.Parse(text);
  INFO(parser.last_reason());
  REQUIRE(bundle);
  return std::move(*bundle);
}

/// Retires "fax" and approves as ana and ben.
std::string Signed(const json& document) {
  BundleSigner signer;
  const auto retired = signer.Retire(document.dump(), "fax", "no fax line", "ana", Ana());
  REQUIRE(retired);
  const auto once = signer.Approve(*retired, "ana", Ana());
  REQUIRE(once);
  return signer.Approve(*once, "ben", Ben()).value();
}

std::string VerifyReason(std::string_view text, std::uint64_t active_version = 1) {
  BundleVerifier verifier({{"ana", Ana().Public()}, {"ben", Ben().Public()}}, 2);
  return verifier.Verify(Parse(text), active_version) ? "accepted" : verifier.last_reason();
}

std::string CheckReason(const json& document) {
  BundleSigner signer;
  const auto text = signer.Retire(document.dump(), "fax", "no fax line", "ana", Ana());
  if (!text) {
    return signer.last_reason();
  }
  BundleChecker checker;
  return checker.Check(Parse(*text)) ? "accepted" : checker.last_reason();
}

TEST_CASE("a signed bundle is accepted, and signing again changes nothing") {
  const std::string text = Signed(SampleDocument());
  CHECK(VerifyReason(text) == "accepted");
  BundleSigner signer;
  CHECK(json::parse(signer.Approve(text, "ben", Ben()).value()) == json::parse(text));
  // White space and the order of keys are not content.
  CHECK(VerifyReason(json::parse(text).dump()) == "accepted");
}

// Guards against content that can be changed after it was approved.
TEST_CASE("a change after approval is refused") {
  const json document = json::parse(Signed(SampleDocument()));
  json changed = document;
  changed["configuration"]["teams"][0]["upper_limit"] = 41;
  CHECK(VerifyReason(changed.dump()).find("does not match the bundle's content") !=
        std::string::npos);
  changed = document;
  changed["approvals"][1]["signature"] = std::string(128, '0');
  CHECK(VerifyReason(changed.dump()).find("approval of ben does not match") != std::string::npos);
  changed = document;
  changed["mappings"].back()["retired"]["reason"] = "other";
  CHECK(VerifyReason(changed.dump()).find("retirement of 'fax': signature of ana") !=
        std::string::npos);
}

// Guards against one person whose approvals count as those of two approvers.
TEST_CASE("missing, repeated and unknown approvals and old versions are refused") {
  const json document = json::parse(Signed(SampleDocument()));
  json changed = document;
  changed["approvals"].erase(0);
  CHECK(VerifyReason(changed.dump()) == "1 of 2 required approvals");
  changed["approvals"].push_back(changed["approvals"][0]);
  CHECK(VerifyReason(changed.dump()) == "ben approved twice");
  changed = document;
  changed["approvals"][0]["approver"] = "eve";
  CHECK(VerifyReason(changed.dump()) == "approval by the unknown approver 'eve'");
  changed = document;
  changed["mappings"].back()["retired"]["approver"] = "eve";
  CHECK(VerifyReason(changed.dump()).find("unknown approver 'eve'") != std::string::npos);
  CHECK(VerifyReason(document.dump(), 2) == "version 2 is not above version 2 in force");
  BundleVerifier same_key({{"ana", Ana().Public()}, {"ben", Ana().Public()}}, 2);
  CHECK_FALSE(same_key.Verify(Parse(document.dump()), 1));
  CHECK(same_key.last_reason() == "approvers ana and ben have the same key");
  BundleVerifier none_required({}, 0);
  CHECK_FALSE(none_required.Verify(Parse(document.dump()), 1));
}

// Guards against runbook commands that are silently ignored.
TEST_CASE(
    "commands that are unknown or neither mapped nor retired, and invalid mappings, are refused") {
  const json document = SampleDocument();
  CHECK(CheckReason(document) == "accepted");
  const auto reason = [&](const std::string& pointer, const json& value) {
    json changed = document;
    changed[json::json_pointer(pointer)] = value;
    return CheckReason(changed);
  };
  CHECK(reason("/runbooks/0/steps/1/command", "ls") == "command 'ls' is not in the inventory");
  CHECK(reason("/inventory", {"mv", "top"}) == "command 'fax' is not in the inventory");
  CHECK(reason("/inventory", {"mv", "top", "fax", "rm"}) ==
        "command 'rm' is neither mapped nor retired");
  CHECK(reason("/mappings/0/action", "fly") ==
        "command 'mv' is mapped to the unknown action 'fly'");
  CHECK(reason("/mappings/0/parameters", {{"vm", "$machine"}}) ==
        "mapping of command 'mv' does not set 'pool' of action 'vm-move'");
  CHECK(reason("/mappings/1/parameters", {{"colour", "red"}}) ==
        "mapping of command 'top': action 'vm-list' takes no 'colour'");
  CHECK(reason("/runbooks/0/steps/0/parameters", json::object()) ==
        "runbook 'shift', step 1: command 'mv' lacks its parameter 'machine'");
  CHECK(reason("/runbooks/0/steps/0/parameters/force", "yes") ==
        "runbook 'shift', step 1: parameter 'force' of command 'mv' has no effect in action "
        "'vm-move'");
  json twice = document;
  twice["mappings"].push_back(twice["mappings"][0]);
  CHECK(CheckReason(twice).find("command mv is mapped twice") != std::string::npos);
}

TEST_CASE("coverage lists every command and steps resolve to actions") {
  const Bundle bundle = Parse(Signed(SampleDocument()));
  const Coverage coverage = BundleChecker::ComputeCoverage(bundle);
  CHECK(coverage.used == std::vector<std::string>{"fax", "mv", "top"});
  CHECK(coverage.mapped == std::vector<std::string>{"mv", "top"});
  CHECK(coverage.retired == std::vector<std::string>{"fax"});
  CHECK(coverage.unmapped.empty());
  BundleChecker checker;
  const auto& steps = bundle.runbooks.at("shift").steps;
  const auto move = checker.Resolve(bundle, steps[0]);
  REQUIRE(move);
  CHECK(move->action == "vm-move");
  CHECK(move->parameters == Parameters{{"vm", "vm-1"}, {"pool", "tone"}});
  CHECK(checker.Resolve(bundle, steps[1])->parameters.empty());
  CHECK(checker.Resolve(bundle, steps[2])->retirement_reason == "no fax line");
}

// Guards against a configuration that the daemons cannot use.
TEST_CASE("unusable configuration is refused") {
  const auto reason = [&](const std::string& pointer, const json& value) {
    json changed = SampleDocument();
    changed["configuration"][json::json_pointer(pointer)] = value;
    return CheckReason(changed);
  };
  CHECK(reason("/teams/0/share_weight", 0) == "team smiths: share weight must be above 0");
  CHECK(reason("/teams/0/share_weight", -1) == "team smiths: share weight must be above 0");
  CHECK(reason("/teams/0/upper_limit", 0) == "team smiths: upper limit must be above 0");
  CHECK(reason("/teams/0/name", "Smiths!") == "'Smiths!' is not a valid team name");
  CHECK(reason("/pools/0/budget_per_rack", 0) == "pool tone: availability budgets must be above 0");
  CHECK(reason("/queues/0/pool", "gone") == "queue tone names the unknown pool 'gone'");
  CHECK(reason("/queues/0/teams/0", "gone") == "queue tone names the unknown team 'gone'");
  CHECK(reason("/queues/0/open_to_all", true) == "queue tone charges the unknown team ''");
  CHECK(reason("/queues/0/max_run_ms", -5) == "queue tone: limits must be above 0");
  CHECK(reason("/queues/0/max_waiting", 0) == "queue tone: limits must be above 0");
}

TEST_CASE("applying replaces teams, pools and queues and nothing else") {
  Fleet fleet;
  fleet.revision = 7;
  fleet.teams["old"] = Team{"old", {}};
  fleet.vms["vm-1"].id = "vm-1";
  fleet.vms["vm-1"].pool = "tone";
  fleet.keys["ab"] = KeyGrant{Digest{"ab"}, "smiths"};
  const Bundle bundle = Parse(Signed(SampleDocument()));
  BundleApplication application;
  const auto changed = application.Apply(bundle, fleet);
  REQUIRE(changed);
  CHECK(changed->teams == bundle.teams);
  CHECK(changed->pools == bundle.pools);
  CHECK(changed->queues == bundle.queues);
  CHECK(changed->bundle == bundle.text);
  CHECK(changed->vms == fleet.vms);
  CHECK(changed->keys == fleet.keys);

  // Guards against VMs and keys whose pool or team is removed.
  fleet.vms["vm-1"].target_pool = "gone";
  CHECK_FALSE(application.Apply(bundle, fleet));
  CHECK(application.last_reason() == "pool gone is removed but VM vm-1 moves to it");
  fleet.vms["vm-1"].pool = "lost";
  CHECK_FALSE(application.Apply(bundle, fleet));
  CHECK(application.last_reason() == "pool lost is removed but still has VM vm-1");
  fleet.vms.clear();
  fleet.keys["cd"] = KeyGrant{Digest{"cd"}, "old"};
  CHECK_FALSE(application.Apply(bundle, fleet));
  CHECK(application.last_reason() == "team old is removed but still has keys");
}

// Guards against ignoring misspelt fields, and against exceptions or deep recursion.
TEST_CASE("documents that are not bundles are refused with a reason") {
  BundleParser parser;
  const std::string text = SampleDocument().dump();
  for (std::size_t size = 0; size < text.size(); ++size) {
    CHECK_FALSE(parser.Parse(std::string_view(text).substr(0, size)));
  }
  CHECK_FALSE(parser.Parse(std::string(500'000, '[')));
  CHECK(parser.last_reason().find("nested too deeply") != std::string::npos);
  CHECK_FALSE(parser.Parse(std::string(kMaxBundleBytes + 1, ' ')));
  for (const char* field : {"version", "configuration", "runbooks", "inventory", "mappings"}) {
    json changed = SampleDocument();
    changed.erase(field);
    CHECK_FALSE(parser.Parse(changed.dump()));
    CHECK(parser.last_reason() == fmt::format("bundle is not valid: bundle lacks '{}'", field));
    changed[field] = nullptr;
    CHECK_FALSE(parser.Parse(changed.dump()));
  }
  json changed = SampleDocument();
  changed["configuration"]["teams"][0]["upper_limt"] = 1;
  CHECK_FALSE(parser.Parse(changed.dump()));
  CHECK(parser.last_reason().find("unknown field 'upper_limt'") != std::string::npos);
  changed = SampleDocument();
  changed["configuration"]["teams"].push_back(changed["configuration"]["teams"][0]);
  CHECK_FALSE(parser.Parse(changed.dump()));
  CHECK(parser.last_reason().find("listed twice in teams") != std::string::npos);
  changed = SampleDocument();
  CHECK_FALSE(parser.Parse(R"({"version": 1, "version": 2})"));
  CHECK(parser.last_reason().find("field 'version' is given twice") != std::string::npos);
  changed["version"] = -1;
  CHECK_FALSE(parser.Parse(changed.dump()));
}

// Guards against a secret key that other users can read or that is overwritten by mistake.
TEST_CASE("key files keep the secret private and are never replaced") {
  std::string directory = (std::filesystem::temp_directory_path() / "keys-XXXXXX").string();
  REQUIRE(mkdtemp(directory.data()) != nullptr);
  const std::string path = directory + "/ana";
  KeyFiles files;
  REQUIRE(files.Create(path));
  const auto secret = files.ReadSecret(path + ".key");
  REQUIRE(secret);
  CHECK(files.ReadPublic(path + ".pub") == secret->Public());
  CHECK_FALSE(files.Create(path));
  CHECK(files.ReadSecret(path + ".key")->Hex() == secret->Hex());
  std::filesystem::permissions(path + ".key", std::filesystem::perms::group_read,
                               std::filesystem::perm_options::add);
  CHECK_FALSE(files.ReadSecret(path + ".key"));
  CHECK_FALSE(files.ReadPublic(path + ".key"));
  CHECK_FALSE(files.ReadPublic(path + ".none"));
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace cranberryplank
