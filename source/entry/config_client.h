#ifndef SOURCE_ENTRY_CONFIG_CLIENT_H_
#define SOURCE_ENTRY_CONFIG_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/entry/member_rotation.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Keeps the configuration (plans and customers) up to date by polling control
/// members. Never goes back to a lower version.
class ConfigClient {
 public:
  struct Options {
    std::vector<NodeId> members;
    Millis poll_interval{2000};
    /// After this time without a reply, the next member is polled.
    Millis reply_timeout{500};
  };

  ConfigClient(Options options,
               const Clock& clock,
               Transport& transport,
               Counters& counters);

  void OnTick();
  void OnDelta(const NodeId& from, const ConfigDelta& delta);
  void OnSnapshot(const NodeId& from, const ConfigSnapshot& snapshot);

  /// Version in effect; zero before the first configuration has arrived.
  uint64_t version() const { return m_version; }
  const Configuration& configuration() const { return m_configuration; }

 private:
  void Poll();
  void Accept(const NodeId& from, uint64_t version);

  Options m_options;
  MemberRotation m_members;
  const Clock& m_clock;
  Transport& m_transport;
  Counters& m_counters;
  Configuration m_configuration;
  uint64_t m_version = 0;
  bool m_is_awaiting_reply = false;
  Millis m_next_action;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_CONFIG_CLIENT_H_
