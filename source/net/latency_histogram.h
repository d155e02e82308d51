#ifndef SOURCE_NET_LATENCY_HISTOGRAM_H_
#define SOURCE_NET_LATENCY_HISTOGRAM_H_

#include <memory>
#include <string>
#include <string_view>

namespace fulmarrock {

/// Distribution of request times on a logarithmic axis from 0.1 ms to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(double milliseconds);

  /// Appends the text exposition format: cumulative buckets, sum and count.
  /// `labels` is empty or of the form `name="value"`.
  void AppendText(std::string_view name,
                  std::string_view labels,
                  std::string& text) const;

 private:
  struct Storage;
  std::unique_ptr<Storage> m_storage;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_LATENCY_HISTOGRAM_H_
