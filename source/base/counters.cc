#include "source/base/counters.h"

namespace fulmarrock {

void Counters::Add(std::string_view name, int64_t amount) {
  auto it = m_values.find(name);
  if (it == m_values.end())
    it = m_values.emplace(name, 0).first;
  it->second += amount;
}

int64_t Counters::Get(std::string_view name) const {
  const auto it = m_values.find(name);
  return it == m_values.end() ? 0 : it->second;
}

}  // namespace fulmarrock
