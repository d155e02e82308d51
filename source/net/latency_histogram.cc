#include "source/net/latency_histogram.h"

#include <cstdint>
#include <sstream>

#include <boost/histogram.hpp>

namespace fulmarrock {
namespace {

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

// Eight buckets per decade keep a quantile within 33% of its true value.
constexpr unsigned kBuckets = 48;
constexpr double kSmallest = 0.1;
constexpr double kLargest = 100'000.0;

}  // namespace

struct LatencyHistogram::Storage {
  decltype(boost::histogram::make_histogram(Axis())) histogram =
      boost::histogram::make_histogram(Axis(kBuckets, kSmallest, kLargest));
  double sum = 0;
  uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram() : m_storage(std::make_unique<Storage>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(double milliseconds) {
  m_storage->histogram(milliseconds);
  m_storage->sum += milliseconds;
  ++m_storage->count;
}

void LatencyHistogram::AppendText(std::string_view name,
                                  std::string_view labels,
                                  std::string& text) const {
  std::ostringstream out;
  const std::string separator = labels.empty() ? "" : ",";
  const std::string braces =
      labels.empty() ? "" : "{" + std::string(labels) + "}";
  double cumulative = m_storage->histogram.at(-1);
  const auto bucket = [&](const std::string& bound, double count) {
    out << name << "_bucket{" << labels << separator << "le=\"" << bound
        << "\"} " << static_cast<uint64_t>(count) << "\n";
  };
  for (unsigned i = 0; i < kBuckets; ++i) {
    cumulative += m_storage->histogram.at(static_cast<int>(i));
    std::ostringstream bound;
    bound << m_storage->histogram.axis().bin(static_cast<int>(i)).upper();
    bucket(bound.str(), cumulative);
  }
  bucket("+Inf", static_cast<double>(m_storage->count));
  out << name << "_sum" << braces << " " << m_storage->sum << "\n"
      << name << "_count" << braces << " " << m_storage->count << "\n";
  text += out.str();
}

}  // namespace fulmarrock
