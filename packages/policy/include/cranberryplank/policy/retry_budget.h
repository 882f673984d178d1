#ifndef CRANBERRYPLANK_POLICY_RETRY_BUDGET_H_
#define CRANBERRYPLANK_POLICY_RETRY_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Allows retries up to a tenth of first attempts per team, so that retries cannot multiply an
/// overload.
class RetryBudget {
 public:
  /// Notes a first attempt.
  void RecordFirstAttempt(std::string_view team);

  /// Tells whether `TryTake` would succeed, so that only a request that could be retried is used
  /// as a probe.
  bool CanTake(std::string_view team) const;

  /// Takes one retry from the team's budget.
  /// @return false if the budget is used up
  bool TryTake(std::string_view team);

 private:
  // In tenths of a retry; whole numbers, so that the bound is exact.
  std::map<std::string, int, std::less<>> m_tenths;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_RETRY_BUDGET_H_
