#include "source/control/config_distributor.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {

void ConfigDistributor::OnPoll(const NodeId& from,
                               uint64_t current_version,
                               Millis now) {
  Record(from, current_version, now);
  Send(from, current_version);
}

void ConfigDistributor::OnAck(const NodeId& from,
                              uint64_t version,
                              Millis now) {
  Record(from, version, now);
}

void ConfigDistributor::OnTick(Millis now) {
  if (m_needs_push && m_push_queue.empty())
    StartPush(now);
  for (size_t i = 0; i < kPushesPerTick && !m_push_queue.empty(); ++i) {
    const NodeId node = std::move(m_push_queue.front());
    m_push_queue.pop_front();
    const auto it = m_processes.find(node);
    if (it != m_processes.end() && it->second.version < m_config.version())
      Send(node, it->second.version);
  }
}

std::vector<ProcessVersion> ConfigDistributor::Processes(Millis now) const {
  std::vector<ProcessVersion> processes;
  processes.reserve(m_processes.size());
  for (const auto& [node, process] : m_processes)
    processes.push_back({node, process.version, now - process.last_seen});
  std::sort(processes.begin(), processes.end(),
            [](const auto& a, const auto& b) { return a.node < b.node; });
  return processes;
}

void ConfigDistributor::Record(const NodeId& from,
                               uint64_t version,
                               Millis now) {
  const auto it = m_processes.find(from);
  if (it == m_processes.end() && m_processes.size() >= kMaxProcesses)
    return;
  Process& process = m_processes[from];
  process.version = version;
  process.last_seen = now;
}

void ConfigDistributor::Send(const NodeId& to, uint64_t current_version) {
  const uint64_t newest = m_config.version();
  // This member may be behind the polling process: an empty delta leaves the
  // process at its version.
  if (current_version >= newest) {
    m_transport.Send(to, ConfigDelta{current_version, {}});
  } else if (m_config.HasChangesSince(current_version)) {
    m_transport.Send(to, ConfigDelta{current_version,
                                     m_config.ChangesSince(current_version)});
  } else {
    m_transport.Send(to, ConfigSnapshot{newest, m_config.configuration()});
  }
}

void ConfigDistributor::StartPush(Millis now) {
  m_needs_push = false;
  std::erase_if(m_processes, [now](const auto& item) {
    return item.second.last_seen + kRemoveAfter < now;
  });
  std::vector<NodeId> nodes;
  for (const auto& [node, process] : m_processes) {
    if (process.version < m_config.version() &&
        process.last_seen + kPushWindow >= now)
      nodes.push_back(node);
  }
  // Tests must be reproducible, and the iteration order of the hash table
  // depends on the standard library.
  std::sort(nodes.begin(), nodes.end());
  m_push_queue.assign(nodes.begin(), nodes.end());
}

}  // namespace fulmarrock
