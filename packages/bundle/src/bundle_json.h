#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_JSON_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Reads JSON of limited size and nesting.
/// @throws std::exception with the reason
nlohmann::json ParseLimitedJson(std::string_view text);

/// Returns the encoding of a bundle document that approvals sign: without the approvals, keys in
/// order, no white space.
std::string CanonicalEncoding(const nlohmann::json& document);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_JSON_H_
