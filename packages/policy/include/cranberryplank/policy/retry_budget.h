#ifndef CRANBERRYPLANK_POLICY_RETRY_BUDGET_H_
#define CRANBERRYPLANK_POLICY_RETRY_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Limits each team's retries to a tenth of its first attempts, so that retries cannot amplify an
/// overload.
class RetryBudget {
 public:
  /// Records a first attempt.
  void RecordFirstAttempt(std::string_view team);

  /// Returns whether `TryTake` would succeed. Only a request that can be retried is used as a
  /// probe.
  bool CanTake(std::string_view team) const;

  /// Takes one retry from the team's budget.
  /// @return false if the budget is used up
  bool TryTake(std::string_view team);

 private:
  // By team, in tenths of a retry; integers keep the bound exact.
  std::map<std::string, int, std::less<>> m_tenths;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_RETRY_BUDGET_H_
