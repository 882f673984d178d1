#include "cranberryplank/bundle/bundle_signer.h"

#include <fmt/format.h>

#include "bundle_json.h"
#include "cranberryplank/bundle/bundle_parser.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr int kIndent = 2;

/// Removes the entry of `list` whose `field` is `value`.
void RemoveEntry(json* list, std::string_view field, std::string_view value) {
  for (auto entry = list->begin(); entry != list->end();) {
    entry = entry->at(std::string(field)) == value ? list->erase(entry) : entry + 1;
  }
}

std::string ToText(const json& document) { return document.dump(kIndent) + "\n"; }

}  // namespace

// The first line prevents a signature of one kind from being valid as the other kind.
Digest ApprovalDigest(const Bundle& bundle) {
  return Sha256("cranberryplank bundle approval 1\n" + bundle.canonical);
}

Digest RetirementDigest(std::string_view command, std::string_view reason) {
  return Sha256("cranberryplank command retirement 1\n" +
                json{{"command", command}, {"reason", reason}}.dump());
}

std::optional<std::string> BundleSigner::Approve(std::string_view text, std::string_view approver,
                                                 const SigningKey& key) {
  BundleParser parser;
  const auto bundle = parser.Parse(text);
  if (!bundle) {
    m_last_reason = parser.last_reason();
    return std::nullopt;
  }
  json document = ParseLimitedJson(text);
  json& approvals = document["approvals"];
  if (approvals.is_null()) {
    approvals = json::array();
  }
  RemoveEntry(&approvals, "approver", approver);
  approvals.push_back(
      json{{"approver", approver}, {"signature", key.Sign(ApprovalDigest(*bundle))}});
  return ToText(document);
}

std::optional<std::string> BundleSigner::Retire(std::string_view text, std::string_view command,
                                                std::string_view reason, std::string_view approver,
                                                const SigningKey& key) {
  BundleParser parser;
  const auto bundle = parser.Parse(text);
  if (!bundle) {
    m_last_reason = parser.last_reason();
    return std::nullopt;
  }
  if (reason.empty()) {
    m_last_reason = "a retirement needs a reason";
    return std::nullopt;
  }
  json document = ParseLimitedJson(text);
  document.erase("approvals");
  json& mappings = document["mappings"];
  RemoveEntry(&mappings, "command", command);
  mappings.push_back(
      json{{"command", command},
           {"retired", json{{"reason", reason},
                            {"approver", approver},
                            {"signature", key.Sign(RetirementDigest(command, reason))}}}});
  return ToText(document);
}

}  // namespace cranberryplank
