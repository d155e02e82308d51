#include "source/entry/routing_policy.h"

namespace fulmarrock {

const Target* RandomRouting::Choose(std::span<const Target* const> candidates,
                                    Millis) {
  return candidates[m_random.Below(candidates.size())];
}

const Target* RoundRobinRouting::Choose(
    std::span<const Target* const> candidates,
    Millis) {
  return candidates[m_next++ % candidates.size()];
}

}  // namespace fulmarrock
