#include "source/agent/request_records.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {

RequestRecords::Record* RequestRecords::Find(RequestId id) {
  const auto it = m_records.find(id);
  return it == m_records.end() ? nullptr : &it->second;
}

void RequestRecords::Add(RequestId id) {
  m_records.try_emplace(id);
}

void RequestRecords::End(Millis now, State state, RequestReply reply) {
  const RequestId id = reply.id;
  m_bytes += reply.body.size();
  Record& record = m_records[id];
  record.state = state;
  record.reply = std::move(reply);
  m_ended.push_back(id);
  while (m_ended.size() > m_limits.max_ended || m_bytes > m_limits.max_bytes)
    DropOldest(now);
}

bool RequestRecords::MayHaveBeenDropped(RequestId id) const {
  const auto it = m_dropped.find(id.entry_incarnation);
  if (it == m_dropped.end())
    return m_has_overflowed;
  return id.sequence <= it->second.highest_sequence;
}

void RequestRecords::DropOldest(Millis now) {
  const RequestId id = m_ended.front();
  m_ended.pop_front();
  const auto record = m_records.find(id);
  m_bytes -= record->second.reply.body.size();
  m_records.erase(record);
  if (!m_dropped.contains(id.entry_incarnation))
    RemoveExpiredEntries(now);
  if (m_has_overflowed && !m_dropped.contains(id.entry_incarnation))
    return;
  Dropped& dropped = m_dropped[id.entry_incarnation];
  dropped.highest_sequence = std::max(dropped.highest_sequence, id.sequence);
  dropped.time = now;
}

void RequestRecords::RemoveExpiredEntries(Millis now) {
  if (m_dropped.size() < m_limits.max_entries)
    return;
  std::erase_if(m_dropped, [&](const auto& item) {
    return item.second.time + m_limits.entry_retention < now;
  });
  if (m_dropped.size() >= m_limits.max_entries)
    m_has_overflowed = true;
}

}  // namespace fulmarrock
