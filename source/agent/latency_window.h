#ifndef SOURCE_AGENT_LATENCY_WINDOW_H_
#define SOURCE_AGENT_LATENCY_WINDOW_H_

#include <cstddef>
#include <deque>

#include "source/base/millis.h"

namespace fulmarrock {

/// Durations observed recently, bounded in number and in time.
class LatencyWindow {
 public:
  LatencyWindow(size_t capacity, Millis span)
      : m_capacity(capacity), m_span(span) {}

  /// Adds a duration that was observed at `now`; negative ones count as zero.
  void Add(Millis now, Millis duration);

  /// Returns the duration that `fraction` (0 to 1) of the samples taken within
  /// the span do not exceed, or zero without samples.
  Millis Percentile(Millis now, double fraction) const;

  /// Returns the 99th percentile, or zero without samples.
  Millis P99(Millis now) const { return Percentile(now, 0.99); }

  /// Number of samples taken within the span.
  size_t CountAt(Millis now) const;

 private:
  struct Sample {
    Millis time;
    Millis duration;
  };

  size_t m_capacity;
  Millis m_span;
  std::deque<Sample> m_samples;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_LATENCY_WINDOW_H_
