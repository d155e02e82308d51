#include "source/entry/retry_policy.h"

#include <algorithm>

namespace fulmarrock {

void RetryBudget::OnFresh(std::string_view customer) {
  auto it = m_accounts.find(customer);
  if (it == m_accounts.end()) {
    if (m_accounts.size() >= m_options.max_customers)
      return;
    it = m_accounts
             .emplace(customer, Account{m_options.initial, m_options.initial})
             .first;
  }
  Account& account = it->second;
  if (account.owed > 0)
    account.owed -= m_options.share;
  else
    account.saved =
        std::min(m_options.max_saved, account.saved + m_options.share);
}

bool RetryBudget::TryRetry(std::string_view customer, int attempts) {
  const auto it = m_accounts.find(customer);
  if (it == m_accounts.end() || attempts >= m_options.max_attempts ||
      it->second.saved < 1)
    return false;
  it->second.saved -= 1;
  return true;
}

}  // namespace fulmarrock
