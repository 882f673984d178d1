#include "cranberryplank/policy/retry_budget.h"

#include <algorithm>

namespace cranberryplank {

namespace {

constexpr int kTenthsPerRetry = 10;
// Maximum number of unused retries that a team can accumulate.
constexpr int kMaxSavedRetries = 20;

}  // namespace

void RetryBudget::RecordFirstAttempt(std::string_view team) {
  int& tenths = m_tenths[std::string(team)];
  tenths = std::min(tenths + 1, kMaxSavedRetries * kTenthsPerRetry);
}

bool RetryBudget::CanTake(std::string_view team) const {
  const auto found = m_tenths.find(team);
  return found != m_tenths.end() && found->second >= kTenthsPerRetry;
}

bool RetryBudget::TryTake(std::string_view team) {
  if (!CanTake(team)) {
    return false;
  }
  m_tenths.find(team)->second -= kTenthsPerRetry;
  return true;
}

}  // namespace cranberryplank
