#include "cranberryplank/daemon/settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace cranberryplank {
namespace {

constexpr const char* kValid = R"([daemon]
id = "entry-1"
zone = "az-1"

[listen]
api = "127.0.0.1:8080"
peers = "127.0.0.1:7080"
first_peers = ["127.0.0.1:7081"]

[platform]
store = "127.0.0.1:8500"
vm_list = "127.0.0.1:8500"

[operators]
token_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
approvals_required = 1

[operators.approvers]
imane = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string ReasonFor(const std::string& text) {
  SettingsReader reader;
  CHECK_FALSE(reader.ReadText(text, "x.toml").has_value());
  return reader.last_reason();
}

TEST_CASE("valid settings are read") {
  SettingsReader reader;
  const auto settings = reader.ReadText(kValid, "x.toml");
  INFO(reader.last_reason());
  REQUIRE(settings.has_value());
  CHECK(settings->id == "entry-1");
  CHECK(settings->store == Endpoint{"127.0.0.1", 8500});
  CHECK(settings->first_peers.size() == 1);
  CHECK(settings->approvers.count("imane") == 1);
}

// Guards against a daemon that starts with an incomplete configuration because a key is misspelt or
// missing.
TEST_CASE("invalid settings are rejected with file, line, key and expected value") {
  CHECK(ReasonFor(Replace(kValid, "zone = \"az-1\"\n", "")) ==
        "x.toml:1: daemon.zone: missing; expected a string\n");
  CHECK(ReasonFor(Replace(kValid, "zone", "zoen")).find("x.toml:3: daemon.zoen: unknown key") !=
        std::string::npos);
  CHECK(ReasonFor(Replace(kValid, "\"127.0.0.1:8080\"", "8080")) ==
        "x.toml:6: listen.api: expected a string that is not empty\n");
  CHECK(ReasonFor(Replace(kValid, "127.0.0.1:8080", "localhost:8080"))
            .find("expected \"IP-ADDRESS:PORT\"") != std::string::npos);
  CHECK(ReasonFor(Replace(kValid, "127.0.0.1:8080", "127.0.0.1:70000")).find("x.toml:6:") == 0);
  CHECK(ReasonFor(Replace(kValid, "approvals_required = 1", "approvals_required = 3"))
            .find("at most the number of approvers") != std::string::npos);
  CHECK(ReasonFor(Replace(kValid, "bbbb", "xyzw")).find("64 lower-case hexadecimal") !=
        std::string::npos);
  CHECK(ReasonFor(std::string(kValid) + "\n[surprise]\na = 1\n").find("surprise: unknown key") !=
        std::string::npos);
}

TEST_CASE("text that is not TOML is rejected with its line") {
  CHECK(ReasonFor("[daemon\nid = 1").find("x.toml:1:") == 0);
}

// Guards against input on which the TOML library has undefined behaviour (found by fuzzing).
TEST_CASE("text with non-ASCII characters is rejected with its line") {
  CHECK(ReasonFor("Q\xef\xb3\xbf") == "x.toml:1: expected ASCII characters only\n");
  CHECK(ReasonFor(std::string(kValid) + "# caf\xc3\xa9\n").find("expected ASCII") !=
        std::string::npos);
}

TEST_CASE("every error is reported, not only the first") {
  const std::string reason =
      ReasonFor(Replace(Replace(kValid, "zone = \"az-1\"\n", ""), "approvals_required = 1",
                        "approvals_required = \"one\""));
  CHECK(reason.find("daemon.zone") != std::string::npos);
  CHECK(reason.find("operators.approvals_required") != std::string::npos);
}

}  // namespace
}  // namespace cranberryplank
