#ifndef SOURCE_CONTROL_CONFIGURATION_HISTORY_H_
#define SOURCE_CONTROL_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "source/base/error.h"
#include "source/message/configuration.h"

namespace fulmarrock {

/// The two lists, their version and the latest changes that led to it.
class ConfigurationHistory {
 public:
  /// Changes kept for deltas; a day has about 14,000 changes, so these cover
  /// two hours of absence.
  static constexpr size_t kMaxChanges = 1'200;

  /// Part of a snapshot.
  struct Snapshot {
    uint64_t version = 0;
    Configuration configuration;
    std::vector<ConfigurationChange> changes;

    template <typename Self, typename Visitor>
    static void VisitFields(Self& self, Visitor& visitor) {
      visitor(self.version, self.configuration, self.changes);
    }
  };

  uint64_t version() const { return m_version; }
  const Configuration& configuration() const { return m_configuration; }

  /// Replaces the lists on top of `base_version` and yields the new version.
  /// Fails with kConflict when another version is the newest.
  Result<uint64_t> Apply(uint64_t base_version,
                         const Configuration& configuration);

  /// Whether the changes after `version` are all kept and few enough to be
  /// cheaper than a whole copy.
  bool HasChangesSince(uint64_t version) const;

  /// Returns the changes after `version`, in order.
  std::vector<ConfigurationChange> ChangesSince(uint64_t version) const;

  Snapshot Save() const;
  void Restore(Snapshot snapshot);

 private:
  uint64_t m_version = 0;
  Configuration m_configuration;
  std::deque<ConfigurationChange> m_changes;
};

/// Sorts both lists by name, as the rest of the code expects.
void SortLists(Configuration& configuration);

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONFIGURATION_HISTORY_H_
