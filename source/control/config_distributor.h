#ifndef SOURCE_CONTROL_CONFIG_DISTRIBUTOR_H_
#define SOURCE_CONTROL_CONFIG_DISTRIBUTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "source/control/configuration_history.h"
#include "source/control/operator_service.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Distributes the configuration to processes. Every member does this from its
/// own state: it replies to polls, pushes a new version to the processes that
/// poll it, and records the version in effect at each.
class ConfigDistributor {
 public:
  /// New versions are not pushed to a process that has not polled for this
  /// long.
  static constexpr Millis kPushWindow{60'000};
  /// A process that has not polled for this long is removed.
  static constexpr Millis kRemoveAfter{600'000};
  static constexpr size_t kMaxProcesses = 20'000;
  /// Spreads a push to 5,300 processes over about half a second.
  static constexpr size_t kPushesPerTick = 100;

  ConfigDistributor(const ConfigurationHistory& config, Transport& transport)
      : m_config(config), m_transport(transport) {}

  void OnPoll(const NodeId& from, uint64_t current_version, Millis now);
  void OnAck(const NodeId& from, uint64_t version, Millis now);

  /// Called when the configuration has a new version.
  void OnNewVersion() { m_needs_push = true; }

  void OnTick(Millis now);

  /// Returns the versions in effect, as the processes reported them to this
  /// member.
  std::vector<ProcessVersion> Processes(Millis now) const;

 private:
  struct Process {
    uint64_t version = 0;
    Millis last_seen;
  };

  void Record(const NodeId& from, uint64_t version, Millis now);
  void Send(const NodeId& to, uint64_t current_version);
  void StartPush(Millis now);

  const ConfigurationHistory& m_config;
  Transport& m_transport;
  std::unordered_map<NodeId, Process> m_processes;
  std::deque<NodeId> m_push_queue;
  bool m_needs_push = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONFIG_DISTRIBUTOR_H_
