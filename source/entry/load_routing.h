#ifndef SOURCE_ENTRY_LOAD_ROUTING_H_
#define SOURCE_ENTRY_LOAD_ROUTING_H_

#include <cstddef>
#include <string>

#include "source/entry/routing_policy.h"

namespace fulmarrock {

/// Chooses the target with the lowest expected response time among a few random
/// ones.
class LoadRouting : public RoutingPolicy {
 public:
  struct Options {
    std::string data_centre;
    /// Number of random targets compared. If all were compared, every entry
    /// would choose the same target while the load reports are old.
    size_t choices = 8;
    /// Added cost of a target in another data centre: the network round trip.
    double remote_cost_ms = 2;
    /// Half-life of the weight of a load report; about one service time.
    double report_half_life_ms = 50;
  };

  LoadRouting(Options options, RandomSource& random)
      : m_options(std::move(options)), m_random(random) {}

  const Target* Choose(std::span<const Target* const> candidates,
                       Millis now) override;

 private:
  /// Typical values of the candidates, used where a target's own report is
  /// missing, old or noisy.
  struct Average {
    double service_time = 1;
    double others = 0;
  };

  static Average ComputeAverage(std::span<const Target* const> candidates);
  double Cost(const Target& target, const Average& average, Millis now) const;

  Options m_options;
  RandomSource& m_random;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_LOAD_ROUTING_H_
