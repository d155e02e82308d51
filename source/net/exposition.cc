#include "source/net/exposition.h"

#include <sstream>

namespace fulmarrock {
namespace {

// Three buckets per decade, as dashboards commonly use.
constexpr double kBounds[] = {0.1,  0.2,    0.5,    1,      2,      5,    10,
                              20,   50,     100,    200,    500,    1000, 2000,
                              5000, 10'000, 20'000, 50'000, 100'000};

}  // namespace

void AppendHistogramText(std::string_view name,
                         std::string_view label,
                         const LatencyHistogram& histogram,
                         std::string& text) {
  std::ostringstream out;
  for (const double bound : kBounds) {
    out << name << "_bucket{" << label << ",le=\"" << bound << "\"} "
        << histogram.CountAtMost(bound) << "\n";
  }
  out << name << "_bucket{" << label << ",le=\"+Inf\"} " << histogram.Count()
      << "\n"
      << name << "_sum{" << label << "} " << histogram.Sum() << "\n"
      << name << "_count{" << label << "} " << histogram.Count() << "\n";
  text += out.str();
}

}  // namespace fulmarrock
