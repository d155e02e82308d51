#ifndef SOURCE_CONTROL_CONFIGURATION_HISTORY_H_
#define SOURCE_CONTROL_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "source/base/error.h"
#include "source/message/configuration.h"

namespace fulmarrock {

/// The configuration (plans and customers), its version and the latest changes
/// that led to it.
class ConfigurationHistory {
 public:
  /// Changes kept for deltas. At about 14,000 changes a day they cover a
  /// process that was disconnected for two hours.
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

  /// Replaces the configuration of version `base_version` and returns the new
  /// version. Fails with kConflict when another version is the newest.
  Result<uint64_t> Apply(uint64_t base_version,
                         const Configuration& configuration);

  /// Whether the changes after `version` are all kept and few enough to be
  /// cheaper to send than the whole configuration.
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

/// Sorts the plans and the customers by name, as lookups and comparisons
/// expect.
void SortConfiguration(Configuration& configuration);

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONFIGURATION_HISTORY_H_
