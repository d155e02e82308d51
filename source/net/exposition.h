#ifndef SOURCE_NET_EXPOSITION_H_
#define SOURCE_NET_EXPOSITION_H_

#include <string>
#include <string_view>

#include "source/base/latency_histogram.h"

namespace fulmarrock {

/// Appends a histogram in the text exposition format: cumulative buckets from
/// 0.1 ms to 100 s, sum and count. `label` is of the form `name="value"`.
void AppendHistogramText(std::string_view name,
                         std::string_view label,
                         const LatencyHistogram& histogram,
                         std::string& text);

}  // namespace fulmarrock

#endif  // SOURCE_NET_EXPOSITION_H_
