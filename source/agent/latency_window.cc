#include "source/agent/latency_window.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fulmarrock {

void LatencyWindow::Add(Millis now, Millis duration) {
  m_samples.push_back({now, std::max(duration, Millis(0))});
  while (m_samples.size() > m_capacity || m_samples.front().time + m_span < now)
    m_samples.pop_front();
}

Millis LatencyWindow::Percentile(Millis now, double fraction) const {
  std::vector<Millis> durations;
  for (const Sample& sample : m_samples) {
    if (sample.time + m_span >= now)
      durations.push_back(sample.duration);
  }
  if (durations.empty())
    return Millis(0);
  const double rank = std::ceil(std::clamp(fraction, 0.0, 1.0) *
                                static_cast<double>(durations.size()));
  const size_t index = rank < 1 ? 0 : static_cast<size_t>(rank) - 1;
  const auto nth = durations.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(durations.begin(), nth, durations.end());
  return *nth;
}

size_t LatencyWindow::CountAt(Millis now) const {
  return static_cast<size_t>(
      std::count_if(m_samples.begin(), m_samples.end(),
                    [&](const Sample& s) { return s.time + m_span >= now; }));
}

}  // namespace fulmarrock
