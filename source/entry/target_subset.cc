#include "source/entry/target_subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "source/base/checksum.h"

namespace fulmarrock {

std::vector<const Target*> SelectSubset(std::vector<const Target*> targets,
                                        std::string_view entry,
                                        size_t limit) {
  if (targets.size() <= limit)
    return targets;
  const uint64_t seed = Checksum(entry);
  std::vector<std::pair<uint64_t, const Target*>> ranked;
  ranked.reserve(targets.size());
  for (const Target* target : targets)
    ranked.emplace_back(Checksum(target->node, seed), target);
  const auto end = ranked.begin() + static_cast<ptrdiff_t>(limit);
  std::nth_element(
      ranked.begin(), end, ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  targets.clear();
  for (auto it = ranked.begin(); it != end; ++it)
    targets.push_back(it->second);
  return targets;
}

}  // namespace fulmarrock
