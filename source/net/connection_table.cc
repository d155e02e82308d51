#include "source/net/connection_table.h"

namespace fulmarrock {

ConnectionNumber ConnectionTable::Add(int fd, Millis now) {
  const ConnectionNumber number = ++m_last_number;
  m_connections[number] = {fd, now, false};
  m_waiting.emplace(now, number);
  return number;
}

void ConnectionTable::Remove(ConnectionNumber number) {
  const auto it = m_connections.find(number);
  if (it == m_connections.end())
    return;
  m_waiting.erase({it->second.waiting_since, number});
  m_connections.erase(it);
}

void ConnectionTable::SetBusy(ConnectionNumber number) {
  const auto it = m_connections.find(number);
  if (it != m_connections.end())
    m_waiting.erase({it->second.waiting_since, number});
}

void ConnectionTable::SetWaiting(ConnectionNumber number, Millis now) {
  const auto it = m_connections.find(number);
  if (it == m_connections.end() || it->second.is_closing)
    return;
  m_waiting.erase({it->second.waiting_since, number});
  it->second.waiting_since = now;
  m_waiting.emplace(now, number);
}

std::optional<int> ConnectionTable::TakeLongestWaiting() {
  if (m_waiting.empty())
    return std::nullopt;
  const ConnectionNumber number = m_waiting.begin()->second;
  m_waiting.erase(m_waiting.begin());
  Connection& connection = m_connections.at(number);
  connection.is_closing = true;
  return connection.fd;
}

bool ConnectionTable::IsClosing(ConnectionNumber number) const {
  const auto it = m_connections.find(number);
  return it != m_connections.end() && it->second.is_closing;
}

}  // namespace fulmarrock
