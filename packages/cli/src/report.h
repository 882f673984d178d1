#ifndef CRANBERRYPLANK_CLI_REPORT_H_
#define CRANBERRYPLANK_CLI_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "cranberryplank/bundle/bundle_checker.h"

namespace cranberryplank {

/// Formats an answer as human-readable text, with one line for each plain field, then one table for
/// each list of objects.
std::string FormatAnswer(const nlohmann::json& answer);

/// Formats the answer to a change as one line.
std::string FormatChange(const nlohmann::json& answer);

std::string FormatCoverage(const Coverage& coverage);
nlohmann::json CoverageToJson(const Coverage& coverage);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_REPORT_H_
