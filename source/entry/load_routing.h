#ifndef SOURCE_ENTRY_LOAD_ROUTING_H_
#define SOURCE_ENTRY_LOAD_ROUTING_H_

#include <cstddef>
#include <string>

#include "source/entry/routing_policy.h"

namespace fulmarrock {

/// Chooses the target with the least expected time to an answer among a few
/// random ones.
class LoadRouting : public RoutingPolicy {
 public:
  struct Options {
    std::string data_centre;
    /// Number of random targets compared. Comparing all would send every entry
    /// to the same target while the load reports are old.
    size_t choices = 8;
    /// Added cost of a target in another data centre: its round trip.
    double distance_ms = 2;
    /// Age at which a load report counts half; about one service time.
    double report_half_life_ms = 50;
  };

  LoadRouting(Options options, RandomSource& random)
      : m_options(std::move(options)), m_random(random) {}

  const Target* Choose(std::span<const Target* const> candidates,
                       Millis now) override;

 private:
  /// What the candidates have in common, as stand-in for missing knowledge.
  struct Average {
    double service_time = 1;
    double others = 0;
  };

  static Average Summarize(std::span<const Target* const> candidates);
  double Cost(const Target& target, const Average& average, Millis now) const;

  Options m_options;
  RandomSource& m_random;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_LOAD_ROUTING_H_
