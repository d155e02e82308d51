#ifndef BENCH_CAPACITY_LINEAR_FIT_H_
#define BENCH_CAPACITY_LINEAR_FIT_H_

#include <cmath>
#include <vector>

namespace fulmarrock::bench {

/// Least-squares line through measured points.
class LinearFit {
 public:
  void Add(double x, double y) { m_points.push_back({x, y}); }

  double Slope() const {
    const double n = static_cast<double>(m_points.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const Point& point : m_points) {
      sum_x += point.x;
      sum_y += point.y;
      sum_xx += point.x * point.x;
      sum_xy += point.x * point.y;
    }
    return (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  }

  /// Value of the line at zero; at least zero, since no cost is negative.
  double Intercept() const {
    double sum = 0;
    for (const Point& point : m_points)
      sum += point.y - Slope() * point.x;
    return std::fmax(0, sum / static_cast<double>(m_points.size()));
  }

  double At(double x) const { return Intercept() + Slope() * x; }

 private:
  struct Point {
    double x;
    double y;
  };
  std::vector<Point> m_points;
};

}  // namespace fulmarrock::bench

#endif  // BENCH_CAPACITY_LINEAR_FIT_H_
