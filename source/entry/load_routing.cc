#include "source/entry/load_routing.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "source/base/median.h"

namespace fulmarrock {
namespace {

// A service time below this multiple of the median is replaced by the median:
// the smoothed times of equal targets differ this much when service times are
// heavy-tailed.
constexpr double kServiceTimeNoise = 2.5;

}  // namespace

const Target* LoadRouting::Choose(std::span<const Target* const> candidates,
                                  Millis now) {
  const Average average = ComputeAverage(candidates);
  std::vector<const Target*> pool(candidates.begin(), candidates.end());
  const size_t count = std::min(m_options.choices, pool.size());
  const Target* best = nullptr;
  double best_cost = 0;
  for (size_t i = 0; i < count; ++i) {
    std::swap(pool[i], pool[i + m_random.Below(pool.size() - i)]);
    const double cost = Cost(*pool[i], average, now);
    if (!best || cost < best_cost) {
      best = pool[i];
      best_cost = cost;
    }
  }
  return best;
}

LoadRouting::Average LoadRouting::ComputeAverage(
    std::span<const Target* const> candidates) {
  std::vector<double> times;
  Average average;
  for (const Target* target : candidates) {
    times.push_back(static_cast<double>(target->load.service_time.count()));
    average.others += target->OthersInFlight();
  }
  average.others /= static_cast<double>(candidates.size());
  average.service_time = std::max(1.0, Median(std::move(times)));
  return average;
}

double LoadRouting::Cost(const Target& target,
                         const Average& average,
                         Millis now) const {
  const double age = static_cast<double>((now - target.load_time).count());
  const double report_weight = std::exp2(-age / m_options.report_half_life_ms);
  const double others = report_weight * target.OthersInFlight() +
                        (1 - report_weight) * average.others;
  const double in_flight = others + target.own_in_flight;
  const double slots = std::max(1, target.load.slots);
  const double reported = static_cast<double>(target.load.service_time.count());
  const double service_time =
      reported > kServiceTimeNoise * average.service_time
          ? reported
          : average.service_time;
  const double waiting = std::max(0.0, in_flight + 1 - slots) / slots;
  // The last summand prefers the less loaded of two targets with free slots,
  // since the load estimate of either may be too low.
  double cost = service_time * (1 + waiting + 0.1 * in_flight / slots);
  if (target.data_centre != m_options.data_centre)
    cost += m_options.remote_cost_ms;
  return cost;
}

}  // namespace fulmarrock
