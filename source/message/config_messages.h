#ifndef SOURCE_MESSAGE_CONFIG_MESSAGES_H_
#define SOURCE_MESSAGE_CONFIG_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "source/message/configuration.h"

namespace fulmarrock {

/// Asks a control member for the changes after `current_version`, the version
/// in effect at the sender, which the member records. Zero means "none".
struct ConfigPoll {
  uint64_t current_version = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.current_version);
  }
};

/// The changes that lead from `from_version` to the newest version, in order.
/// Empty when the poller is up to date.
struct ConfigDelta {
  uint64_t from_version = 0;
  std::vector<ConfigurationChange> changes;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.from_version, self.changes);
  }
};

/// A whole configuration, for a poller that is too far behind for deltas.
struct ConfigSnapshot {
  uint64_t version = 0;
  Configuration configuration;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.version, self.configuration);
  }
};

/// Tells the polled member that a version is now in effect at the sender.
struct ConfigAck {
  uint64_t version = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.version);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_CONFIG_MESSAGES_H_
