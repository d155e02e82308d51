#include "source/entry/retry_policy.h"

#include <algorithm>

namespace fulmarrock {

void RetryBudget::OnFresh() {
  m_saved = std::min(m_options.max_saved, m_saved + m_options.share);
}

bool RetryBudget::TryRetry(int attempts) {
  if (attempts >= m_options.max_attempts || m_saved < 1)
    return false;
  m_saved -= 1;
  return true;
}

}  // namespace fulmarrock
