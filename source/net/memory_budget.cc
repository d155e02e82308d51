#include "source/net/memory_budget.h"

#include <algorithm>
#include <vector>

namespace fulmarrock {
namespace {

constexpr size_t kMinBodyCapacity = 4 * 1024;

}  // namespace

bool MemoryBudget::Charge::Add(size_t bytes, Millis now) {
  const size_t counted =
      m_budget.CountedBytes(m_bytes + bytes) - m_budget.CountedBytes(m_bytes);
  if (!m_budget.AbortUntilFits(counted, this, now)) {
    m_budget.m_counters.Add("requests_refused_for_memory");
    return false;
  }
  if (m_number == 0)
    Begin(now);
  m_bytes += bytes;
  m_budget.m_used += counted;
  return true;
}

void MemoryBudget::Charge::Subtract(size_t bytes, Millis now) {
  const size_t rest = m_bytes - std::min(bytes, m_bytes);
  Release();
  if (rest == 0)
    return;
  Begin(now);
  m_bytes = rest;
  m_budget.m_used += m_budget.CountedBytes(rest);
}

void MemoryBudget::Charge::Begin(Millis now) {
  m_number = ++m_budget.m_last_number;
  m_since = now;
  m_budget.m_receptions.emplace(m_number, this);
}

void MemoryBudget::Charge::OnComplete() {
  m_budget.m_receptions.erase(m_number);
  m_number = 0;
}

void MemoryBudget::Charge::Release() {
  OnComplete();
  m_budget.m_used -= m_budget.CountedBytes(m_bytes);
  m_bytes = 0;
}

bool MemoryBudget::CanFit(size_t bytes, Millis now) {
  const size_t counted = CountedBytes(bytes);
  size_t held = m_used;
  for (const auto& [number, charge] : m_receptions) {
    if (held + counted <= m_options.limit ||
        now - charge->m_since < m_options.min_age)
      break;
    held -= CountedBytes(charge->m_bytes);
  }
  const bool can_fit = held + counted <= m_options.limit;
  if (!can_fit)
    m_counters.Add("requests_refused_for_memory");
  return can_fit;
}

bool MemoryBudget::AbortUntilFits(size_t bytes,
                                  const Charge* except,
                                  Millis now) {
  if (bytes > m_options.limit)
    return false;
  while (m_used > m_options.limit - bytes) {
    Charge* oldest = nullptr;
    for (const auto& [number, charge] : m_receptions) {
      if (now - charge->m_since < m_options.min_age)
        break;
      if (charge != except && CountedBytes(charge->m_bytes) > 0) {
        oldest = charge;
        break;
      }
    }
    if (!oldest)
      return false;
    m_counters.Add("requests_aborted_for_memory");
    Abort(*oldest);
  }
  return true;
}

void MemoryBudget::AbortOlderThan(Millis timeout, Millis now) {
  while (!m_receptions.empty() &&
         now - m_receptions.begin()->second->m_since >= timeout) {
    m_counters.Add("requests_timed_out");
    Abort(*m_receptions.begin()->second);
  }
}

void MemoryBudget::AbortClosed(Millis now) {
  std::vector<Charge*> closed;
  for (const auto& [number, charge] : m_receptions) {
    if (now - charge->m_since < m_options.min_age)
      break;
    if (charge->m_holder.HasClientClosed())
      closed.push_back(charge);
  }
  for (Charge* charge : closed)
    Abort(*charge);
}

void MemoryBudget::Abort(Charge& charge) {
  charge.m_holder.AbortReception();
  charge.Release();
}

size_t NextBodyCapacity(const std::string& body, size_t size) {
  return std::max({size, 2 * body.capacity(), kMinBodyCapacity});
}

}  // namespace fulmarrock
