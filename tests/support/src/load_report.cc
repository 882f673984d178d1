#include "cranberryplank/support/load_report.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace cranberryplank {

namespace {

nlohmann::ordered_json Encode(const LoadReport& report) {
  return {{"served", report.served},
          {"not_run", report.not_run},
          {"not_sent", report.not_sent},
          {"may_have_run", report.may_have_run},
          {"failed", report.failed},
          {"wrong", report.wrong},
          {"no_answer", report.no_answer},
          {"unclear", report.unclear},
          {"unread_logs", report.unread_logs},
          {"lost", report.lost},
          {"duplicated", report.duplicated},
          {"not_run_but_started", report.not_run_but_started},
          {"served_by_target", report.served_by_target},
          {"seconds", report.seconds},
          {"p50_ms", report.p50_ms},
          {"p90_ms", report.p90_ms},
          {"p99_ms", report.p99_ms},
          {"max_ms", report.max_ms},
          {"passed", report.Passed()}};
}

}  // namespace

bool LoadReport::Passed() const {
  return unread_logs == 0 && lost == 0 && duplicated == 0 && not_run_but_started == 0 &&
         wrong == 0 && unclear == 0;
}

std::string LoadReport::ToJson() const { return Encode(*this).dump(); }

std::string LoadReport::ToText() const {
  std::string text;
  const nlohmann::ordered_json fields = Encode(*this);
  for (const auto& [name, value] : fields.items()) {
    text += fmt::format("{:<20} {}\n", name, value.dump());
  }
  return text;
}

}  // namespace cranberryplank
