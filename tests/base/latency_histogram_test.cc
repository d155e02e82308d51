#include "source/base/latency_histogram.h"

#include <catch2/catch.hpp>

namespace fulmarrock {
namespace {

TEST_CASE("quantiles are exact within the resolution") {
  LatencyHistogram histogram;
  for (int i = 1; i <= 10'000; ++i)
    histogram.Add(i * 0.1);
  CHECK(histogram.Quantile(0.5) == Approx(500).epsilon(0.03));
  CHECK(histogram.Quantile(0.99) == Approx(990).epsilon(0.03));
  CHECK(histogram.Quantile(1) == Approx(1000).epsilon(0.03));
  CHECK(histogram.CountAtMost(100) == Approx(1000).epsilon(0.03));
}

// Guards against losing values below the first or above the last bin.
TEST_CASE("values out of range are counted at the bounds") {
  LatencyHistogram histogram;
  histogram.Add(0);
  histogram.Add(1e9);
  CHECK(histogram.Count() == 2);
  CHECK(histogram.Quantile(0.5) <= 0.011);
  CHECK(histogram.Quantile(1) == Approx(1e6));
}

TEST_CASE("merging adds counts and sums") {
  LatencyHistogram a;
  LatencyHistogram b;
  a.Add(1);
  b.Add(100);
  a.Merge(b);
  CHECK(a.Count() == 2);
  CHECK(a.Sum() == Approx(101));
}

}  // namespace
}  // namespace fulmarrock
