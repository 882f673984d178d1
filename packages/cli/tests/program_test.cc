#include "cranberryplank/cli/program.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fake_http_client.h"

namespace cranberryplank {
namespace {

using nlohmann::json;

constexpr const char* kInEffect = R"({"revision":7,"in_effect":true,"pending":[]})";
constexpr const char* kToken = "operator-secret";

constexpr const char* kBundle = R"({
  "version": 2,
  "configuration": {
    "teams": [{"name": "smiths", "share_weight": 2.0, "upper_limit": 40}],
    "pools": [{"name": "tone", "spare": false, "budget_per_pool": 2, "budget_per_rack": 1,
               "budget_per_zone": 2}],
    "queues": []},
  "runbooks": [{"name": "shift", "steps": [
    {"command": "mv", "parameters": {"machine": "vm-1"}}, {"command": "top"},
    {"command": "mv", "parameters": {"machine": "vm-2"}}]}],
  "inventory": ["mv", "top", "fax"],
  "mappings": [
    {"command": "mv", "action": "vm-move", "parameters": {"vm": "$machine", "pool": "tone"}},
    {"command": "top", "action": "vm-list"}]})";

class Fixture {
 public:
  Fixture() {
    m_directory = (std::filesystem::temp_directory_path() / "cli-XXXXXX").string();
    REQUIRE(mkdtemp(m_directory.data()) != nullptr);
    Write("token", std::string(kToken) + "\n");
  }
  ~Fixture() { std::filesystem::remove_all(m_directory); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  std::string Path(const std::string& name) const { return m_directory + "/" + name; }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(Path(name)) << text;
  }

  std::string Read(const std::string& name) const {
    std::ifstream file(Path(name));
    return {std::istreambuf_iterator<char>(file), {}};
  }

  ExitCode RunPlain(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "cranberryplank");
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    m_out.str("");
    m_err.str("");
    Program program(&http, &m_random, &m_out, &m_err);
    const ExitCode code = program.Run(static_cast<int>(arguments.size()), argv.data());
    // The token must never be printed.
    CHECK((m_out.str() + m_err.str()).find(kToken) == std::string::npos);
    return code;
  }

  /// Runs with a daemon and a token.
  ExitCode Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--daemon", "127.0.0.1:1", "--token-file", Path("token")});
    return RunPlain(std::move(arguments));
  }

  std::string out() const { return m_out.str(); }
  std::string err() const { return m_err.str(); }

  FakeHttpClient http;

 private:
  std::string m_directory;
  std::ostringstream m_out;
  std::ostringstream m_err;
  SeededRandom m_random{1};
};

TEST_CASE("help, version and usage errors have their exit codes and make no calls") {
  Fixture f;
  CHECK(f.RunPlain({"--help"}) == ExitCode::kDone);
  CHECK(f.out().starts_with("usage:"));
  CHECK(f.RunPlain({"--version"}) == ExitCode::kDone);
  CHECK(f.out().starts_with("cranberryplank "));
  CHECK(f.RunPlain({"status"}) == ExitCode::kUsage);
  CHECK(f.RunPlain({"status", "--daemon", "a:1", "--token-file", "/nonexistent"}) ==
        ExitCode::kUsage);
  for (const std::vector<std::string>& arguments : std::vector<std::vector<std::string>>{
           {},
           {"fly"},
           {"vm"},
           {"vm", "move", "vm-1"},
           {"vm", "move", "vm-1", "tone", "extra"},
           {"vm", "move", "vm-1", "../keys"},
           {"vm", "move", "vm-1", "tone", "--cores", "1"},
           {"vm", "list", "--pool", "a/b"},
           {"team", "set", "smiths", "--share-weight", "1"},
           {"team", "set", "smiths", "--share-weight", "nan", "--upper-limit", "1"},
           {"team", "set", "smiths", "--share-weight", "1", "--upper-limit", "1x"},
           {"key", "withdraw", "abc"},
           {"status", "--daemon", "nowhere"},
           {"status", "--daemon", "a:99999"},
           {"status", "--wait", "-1"},
           {"status", "--nonce", "short"},
           {"status", "--pool", "tone"},
           {"status", "--unknown"},
           {"runbook", "fly"},
           {"bundle", "sign", "file"}}) {
    CHECK(f.Run(arguments) == ExitCode::kUsage);
    CHECK(f.err().starts_with("cranberryplank: "));
  }
  CHECK(f.http.calls.empty());
}

// Guards against differences between the command line and the API documentation.
TEST_CASE("commands make the requests of the API documentation") {
  struct Case {
    std::vector<std::string> arguments;
    std::string method, path, body;
  };
  const std::string digest(64, 'a');
  const std::vector<Case> cases = {
      {{"status"}, "GET", "status", ""},
      {{"bundle", "status"}, "GET", "bundle", ""},
      {{"team", "list"}, "GET", "teams", ""},
      {{"pool", "list"}, "GET", "pools", ""},
      {{"vm", "list", "--pool", "tone"}, "GET", "vms?pool=tone", ""},
      {{"maintenance", "status"}, "GET", "maintenance", ""},
      {{"team", "set", "smiths", "--share-weight", "1.5", "--upper-limit", "4"},
       "PUT",
       "teams/smiths",
       R"({"share_weight":1.5,"upper_limit":4})"},
      {{"vm", "move", "vm-1", "tone"}, "POST", "vms/vm-1/move", R"({"pool":"tone"})"},
      {{"vm", "drain", "vm-1"}, "POST", "vms/vm-1/drain", ""},
      {{"vm", "cancel", "vm-1"}, "DELETE", "vms/vm-1/move", ""},
      {{"vm", "remove", "vm-1"}, "DELETE", "vms/vm-1", ""},
      {{"key", "withdraw", digest}, "DELETE", "keys/" + digest, ""},
      {{"maintenance", "start", "tone", "vm-1", "vm-2"},
       "POST",
       "maintenance/tone",
       R"({"vms":["vm-1","vm-2"]})"},
      {{"maintenance", "stop", "tone"}, "DELETE", "maintenance/tone", ""},
      {{"vm", "add",         "vm-1", "--host",         "h", "--port",  "1", "--zone",
        "z",  "--rack",      "r",    "--pool",         "p", "--slots", "8", "--cores",
        "64", "--memory-gb", "128",  "--accelerators", "0"},
       "POST",
       "vms",
       R"({"accelerators":0,"cores":64,"host":"h","id":"vm-1","memory_gb":128,"pool":"p",)"
       R"("port":1,"rack":"r","slots":8,"zone":"z"})"}};
  for (const Case& c : cases) {
    Fixture f;
    f.http.Answer(c.method == "GET" ? 200 : 202, kInEffect);
    CHECK(f.Run(c.arguments) == ExitCode::kDone);
    REQUIRE(f.http.calls.size() == 1);
    CHECK(f.http.calls[0].request.method == c.method);
    CHECK(f.http.calls[0].request.path == "/v1/admin/" + c.path);
    CHECK(f.http.calls[0].request.body == c.body);
    CHECK(f.http.calls[0].Header("Authorization") == std::string("Bearer ") + kToken);
  }
}

// Guards against a key that is lost if the answer is lost, or that is sent in plain text.
TEST_CASE("granting a key prints it and sends only its digest") {
  Fixture f;
  SECTION("granted") {
    f.http.Answer(202, kInEffect);
    CHECK(f.Run({"key", "grant", "smiths"}) == ExitCode::kDone);
  }
  SECTION("answer lost") {
    f.http.Fail(HttpOutcome::kLost);
    CHECK(f.Run({"key", "grant", "smiths"}) == ExitCode::kUnreachable);
  }
  const std::size_t start = f.out().find("key: ");
  REQUIRE(start != std::string::npos);
  const std::string key = f.out().substr(start + 5, 64);
  const json body = json::parse(f.http.calls[0].request.body);
  CHECK(body == json{{"team", "smiths"}, {"digest", Sha256(key).hex}});
  f.Write("key", key + "\n");
  f.http.replies.clear();
  f.http.Answer(202, kInEffect);
  CHECK(f.Run({"key", "withdraw", "--key-file", f.Path("key")}) == ExitCode::kDone);
  CHECK(f.http.calls.back().request.path == "/v1/admin/keys/" + Sha256(key).hex);
}

TEST_CASE("reads print tables or, with --json, the daemon's answer") {
  Fixture f;
  const std::string answer = R"({"revision":3,"teams":[{"upper_limit":4,"name":"smi\u001bths"}]})";
  f.http.Answer(200, answer);
  CHECK(f.Run({"team", "list", "--json"}) == ExitCode::kDone);
  CHECK(json::parse(f.out()) == json::parse(answer));
  CHECK(f.Run({"team", "list"}) == ExitCode::kDone);
  CHECK(f.out() == "revision: 3\n\nteams:\nname     upper_limit\nsmi?ths  4\n");
}

TEST_CASE("bundle files are checked, signed and submitted, and commands in them retired") {
  Fixture f;
  f.Write("bundle", kBundle);
  for (const char* name : {"ana", "ben"}) {
    REQUIRE(f.RunPlain({"bundle", "keygen", f.Path(name)}) == ExitCode::kDone);
  }
  CHECK(f.RunPlain({"bundle", "keygen", f.Path("ana")}) == ExitCode::kRefused);
  CHECK(f.RunPlain({"bundle", "check", f.Path("bundle")}) == ExitCode::kRefused);
  CHECK(f.err().find("command 'fax' is neither mapped nor retired") != std::string::npos);
  CHECK(f.RunPlain({"runbook", "check", f.Path("bundle"), "--json"}) == ExitCode::kRefused);
  CHECK(json::parse(f.out())["unmapped"] == json{"fax"});
  CHECK(f.RunPlain({"bundle", "retire", f.Path("bundle"), "fax", "no line", "--as", "ana",
                    "--key-file", f.Path("ana.key"), "--output", f.Path("bundle")}) ==
        ExitCode::kDone);
  const std::vector<std::string> check = {"bundle",
                                          "check",
                                          f.Path("bundle"),
                                          "--approver",
                                          "ana=" + f.Path("ana.pub"),
                                          "--approver",
                                          "ben=" + f.Path("ben.pub"),
                                          "--required",
                                          "2"};
  for (const std::string name : {"ana", "ben"}) {
    CHECK(f.RunPlain(check) == ExitCode::kRefused);
    CHECK(f.RunPlain({"bundle", "sign", f.Path("bundle"), "--as", name, "--key-file",
                      f.Path(name + ".key"), "--output", f.Path("bundle")}) == ExitCode::kDone);
  }
  CHECK(f.RunPlain(check) == ExitCode::kDone);
  CHECK(f.RunPlain({"runbook", "check", f.Path("bundle")}) == ExitCode::kDone);
  f.http.Answer(202, kInEffect);
  CHECK(f.Run({"bundle", "submit", f.Path("bundle")}) == ExitCode::kDone);
  CHECK(f.http.calls[0].request.body == f.Read("bundle"));
}

// Guards against steps that run after a failed one, and against one nonce for two steps.
TEST_CASE("a runbook runs its steps one by one and stops at the first that fails") {
  Fixture f;
  f.http.Answer(200, json{{"revision", 1}, {"version", 2}, {"bundle", kBundle}}.dump());
  f.http.Answer(202, kInEffect);
  f.http.Answer(200, R"({"revision":1,"vms":[]})");
  SECTION("all steps") {
    f.http.Answer(202, kInEffect);
    const std::string nonce(32, 'a');
    CHECK(f.Run({"runbook", "run", "shift", "--nonce", nonce}) == ExitCode::kDone);
    REQUIRE(f.http.calls.size() == 4);
    CHECK(f.out().starts_with("step 1 of 3: mv -> vm-move pool=tone vm=vm-1\n"));
    CHECK(f.http.calls[1].request.path == "/v1/admin/vms/vm-1/move");
    CHECK(f.http.calls[3].request.path == "/v1/admin/vms/vm-2/move");
    CHECK(f.http.calls[1].Header("Change-Nonce") == nonce);
    CHECK(f.http.calls[3].Header("Change-Nonce") != nonce);
  }
  SECTION("a refused step") {
    f.http.replies[1].status = 422;
    CHECK(f.Run({"runbook", "run", "shift"}) == ExitCode::kRefused);
    CHECK(f.http.calls.size() == 2);
    CHECK(f.err().find("stopped at step 1; continue with --from 1") != std::string::npos);
  }
  SECTION("from a later step") {
    f.http.replies.erase(f.http.replies.begin() + 2);
    CHECK(f.Run({"runbook", "run", "shift", "--from", "3"}) == ExitCode::kDone);
    REQUIRE(f.http.calls.size() == 2);
    CHECK(f.http.calls[1].request.path == "/v1/admin/vms/vm-2/move");
  }
  SECTION("an unknown runbook") {
    CHECK(f.Run({"runbook", "run", "fly"}) == ExitCode::kRefused);
    CHECK(f.http.calls.size() == 1);
  }
}

// Guards against a wait that ends when only the candidate is in effect, that relies on a daemon
// which has not applied it yet, or that continues for a bundle which was replaced.
TEST_CASE("bundle submit --wait waits for the bundle itself") {
  Fixture f;
  json document = json::parse(kBundle);
  document["runbooks"] = document["inventory"] = document["mappings"] = json::array();
  f.Write("bundle", document.dump());
  const auto rollout = [&](const char* stage, int head, const std::string& digest) {
    f.http.Answer(200, json{{"stage", stage},
                            {"version", 2},
                            {"digest", digest},
                            {"revision", head},
                            {"head_revision", head},
                            {"waiting_for", "the report of entry-2"},
                            {"daemons", json::array()}}
                           .dump());
  };
  const std::string digest = Sha256(document.dump()).hex;
  const std::vector<std::string> submit = {"bundle", "submit", f.Path("bundle"), "--wait", "1"};
  f.http.Answer(202, R"({"revision":7,"in_effect":false,"pending":[]})");
  rollout("in_effect", 6, "older");
  rollout("distributing", 7, digest);
  rollout("in_effect", 8, digest);
  CHECK(f.Run(submit) == ExitCode::kDone);
  CHECK(f.out() == "revision 8: in effect\n");
  f.http.replies.clear();
  f.http.Answer(202, R"({"revision":7,"in_effect":false,"pending":[]})");
  rollout("distributing", 8, "newer");
  CHECK(f.Run(submit) == ExitCode::kNotYetInEffect);
  CHECK(f.err().find("replaced by version 2") != std::string::npos);
  f.http.replies.clear();
  f.http.Answer(202, R"({"revision":7,"in_effect":false,"pending":[]})");
  rollout("distributing", 7, digest);
  CHECK(f.Run(submit) == ExitCode::kNotYetInEffect);
  CHECK(f.err().find("waits for the report of entry-2") != std::string::npos);
}

}  // namespace
}  // namespace cranberryplank
