#ifndef SOURCE_ENTRY_ROUTING_POLICY_H_
#define SOURCE_ENTRY_ROUTING_POLICY_H_

#include <cstddef>
#include <span>
#include <string_view>

#include "source/base/millis.h"
#include "source/base/random_source.h"
#include "source/entry/target_table.h"

namespace fulmarrock {

/// Chooses the target of a request.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /// Returns one of `candidates`, which must not be empty.
  virtual const Target* Choose(std::span<const Target* const> candidates,
                               Millis now) = 0;
};

/// Baseline: a uniformly random target.
class RandomRouting : public RoutingPolicy {
 public:
  explicit RandomRouting(RandomSource& random) : m_random(random) {}
  const Target* Choose(std::span<const Target* const> candidates,
                       Millis now) override;

 private:
  RandomSource& m_random;
};

/// Baseline: each target in turn.
class RoundRobinRouting : public RoutingPolicy {
 public:
  const Target* Choose(std::span<const Target* const> candidates,
                       Millis now) override;

 private:
  size_t m_next = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ROUTING_POLICY_H_
