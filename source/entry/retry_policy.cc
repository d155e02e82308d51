#include "source/entry/retry_policy.h"

#include <algorithm>

namespace fulmarrock {

void RetryBudget::OnOriginalRequest(std::string_view customer) {
  auto it = m_accounts.find(customer);
  if (it == m_accounts.end()) {
    if (m_accounts.size() >= m_options.max_customers)
      return;
    it = m_accounts
             .emplace(customer, Account{m_options.initial_balance,
                                        m_options.initial_balance})
             .first;
  }
  Account& account = it->second;
  if (account.debt > 0)
    account.debt -= m_options.share;
  else
    account.balance =
        std::min(m_options.max_balance, account.balance + m_options.share);
}

bool RetryBudget::TryRetry(std::string_view customer, int attempts) {
  const auto it = m_accounts.find(customer);
  if (it == m_accounts.end() || attempts >= m_options.max_attempts ||
      it->second.balance < 1)
    return false;
  it->second.balance -= 1;
  return true;
}

}  // namespace fulmarrock
