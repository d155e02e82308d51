#include "source/base/latency_histogram.h"

#include <cmath>

#include <boost/histogram.hpp>

namespace fulmarrock {
namespace {

namespace bh = boost::histogram;

constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 1e6;
constexpr unsigned kBinsPerDecade = 100;
constexpr unsigned kDecades = 8;

auto MakeHistogram() {
  return bh::make_histogram_with(
      std::vector<uint64_t>(),
      bh::axis::regular<double, bh::axis::transform::log>(
          kBinsPerDecade * kDecades, kLowestMs, kHighestMs));
}

}  // namespace

struct LatencyHistogram::Data {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  uint64_t count = 0;
  double sum = 0;
};

LatencyHistogram::LatencyHistogram() : m_data(std::make_unique<Data>()) {}

LatencyHistogram::~LatencyHistogram() = default;

LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : m_data(std::make_unique<Data>(*other.m_data)) {}

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  *m_data = *other.m_data;
  return *this;
}

void LatencyHistogram::Add(double milliseconds) {
  m_data->histogram(milliseconds);
  ++m_data->count;
  m_data->sum += milliseconds;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  m_data->histogram += other.m_data->histogram;
  m_data->count += other.m_data->count;
  m_data->sum += other.m_data->sum;
}

uint64_t LatencyHistogram::Count() const {
  return m_data->count;
}

double LatencyHistogram::Sum() const {
  return m_data->sum;
}

double LatencyHistogram::Quantile(double fraction) const {
  if (m_data->count == 0)
    return 0;
  const auto rank = static_cast<uint64_t>(
      std::ceil(fraction * static_cast<double>(m_data->count)));
  uint64_t seen = 0;
  for (auto&& bin : bh::indexed(m_data->histogram, bh::coverage::all)) {
    seen += *bin;
    if (seen < rank || seen == 0)
      continue;
    const double upper = bin.bin().upper();
    return std::isfinite(upper) ? upper : kHighestMs;
  }
  return kHighestMs;
}

uint64_t LatencyHistogram::CountAtMost(double milliseconds) const {
  // A bound computed in decimal may lie a rounding error below the edge of its
  // bin.
  const double limit = milliseconds * (1 + 1e-9);
  uint64_t seen = 0;
  for (auto&& bin : bh::indexed(m_data->histogram, bh::coverage::all)) {
    if (bin.bin().upper() > limit)
      break;
    seen += *bin;
  }
  return seen;
}

}  // namespace fulmarrock
