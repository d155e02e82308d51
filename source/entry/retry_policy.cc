#include "source/entry/retry_policy.h"

#include <algorithm>

namespace fulmarrock {

void RetryBudget::OnFresh(std::string_view customer) {
  auto it = m_saved.find(customer);
  if (it == m_saved.end()) {
    if (m_saved.size() >= m_options.max_customers)
      return;
    it = m_saved.emplace(customer, m_options.initial).first;
  }
  it->second = std::min(m_options.max_saved, it->second + m_options.share);
}

bool RetryBudget::TryRetry(std::string_view customer, int attempts) {
  const auto it = m_saved.find(customer);
  if (it == m_saved.end() || attempts >= m_options.max_attempts ||
      it->second < 1)
    return false;
  it->second -= 1;
  return true;
}

}  // namespace fulmarrock
