#ifndef SOURCE_ENTRY_TARGET_SUBSET_H_
#define SOURCE_ENTRY_TARGET_SUBSET_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "source/entry/target_table.h"

namespace fulmarrock {

/// Returns at most `limit` targets, chosen by rendezvous hashing of the entry's
/// id with theirs: each entry uses a few targets of a large service, each
/// target serves about equally many entries, and a target that is added or
/// removed changes at most one member of a subset.
std::vector<const Target*> SelectSubset(std::vector<const Target*> targets,
                                        std::string_view entry,
                                        size_t limit);

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_TARGET_SUBSET_H_
