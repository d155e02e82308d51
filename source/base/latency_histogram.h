#ifndef SOURCE_BASE_LATENCY_HISTOGRAM_H_
#define SOURCE_BASE_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace fulmarrock {

/// Distribution of latencies from 10 us to 1,000 s with a relative resolution
/// of about 2%. Values outside the range are counted at its nearest bound.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);

  void Add(double milliseconds);
  void Merge(const LatencyHistogram& other);

  uint64_t Count() const;

  /// Sum of all values in milliseconds.
  double Sum() const;

  /// Returns the value in milliseconds that this fraction of all values does
  /// not exceed, or zero for an empty histogram.
  double Quantile(double fraction) const;

  /// Returns how many values are at most this many milliseconds, within the
  /// resolution; for cumulative buckets in metrics.
  uint64_t CountAtMost(double milliseconds) const;

 private:
  struct Data;
  std::unique_ptr<Data> m_data;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_LATENCY_HISTOGRAM_H_
