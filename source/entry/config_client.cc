#include "source/entry/config_client.h"

#include <utility>

namespace fulmarrock {

ConfigClient::ConfigClient(Options options,
                           const Clock& clock,
                           Transport& transport,
                           Counters& counters)
    : m_options(std::move(options)),
      m_members(m_options.members),
      m_clock(clock),
      m_transport(transport),
      m_counters(counters),
      m_next_action(clock.Now()) {}

void ConfigClient::OnTick() {
  if (m_members.IsEmpty() || m_clock.Now() < m_next_action)
    return;
  if (m_is_awaiting_reply) {
    m_counters.Add("config_poll_unanswered");
    m_members.MoveToNext();
  }
  Poll();
}

void ConfigClient::OnDelta(const NodeId& from, const ConfigDelta& delta) {
  if (!m_members.Contains(from))
    return;
  if (delta.changes.empty()) {
    m_is_awaiting_reply = false;
    m_next_action = m_clock.Now() + m_options.poll_interval;
    return;
  }
  uint64_t previous = m_version;
  for (const ConfigurationChange& change : delta.changes) {
    if (change.version <= previous) {
      m_counters.Add("config_delta_dropped");
      return;
    }
    previous = change.version;
  }
  // A delta from another base version does not yield the content of the version
  // that it leads to.
  if (delta.from_version != m_version) {
    m_counters.Add("config_delta_dropped");
    return;
  }
  for (const ConfigurationChange& change : delta.changes)
    ApplyChange(change, m_configuration);
  Accept(from, previous);
}

void ConfigClient::OnSnapshot(const NodeId& from,
                              const ConfigSnapshot& snapshot) {
  if (!m_members.Contains(from))
    return;
  if (snapshot.version <= m_version) {
    m_counters.Add("config_copy_dropped");
    return;
  }
  m_configuration = snapshot.configuration;
  Accept(from, snapshot.version);
}

void ConfigClient::Poll() {
  m_is_awaiting_reply = true;
  m_next_action = m_clock.Now() + m_options.reply_timeout;
  m_transport.Send(m_members.current(), ConfigPoll{m_version});
}

void ConfigClient::Accept(const NodeId& from, uint64_t version) {
  m_version = version;
  m_is_awaiting_reply = false;
  m_next_action = m_clock.Now() + m_options.poll_interval;
  m_counters.Add("config_changes");
  m_transport.Send(from, ConfigAck{version});
}

}  // namespace fulmarrock
