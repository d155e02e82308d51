#include "source/control/operation_table.h"

namespace fulmarrock {

const Result<uint64_t>* OperationTable::Find(std::string_view id,
                                             uint64_t fingerprint) {
  const auto it = m_by_id.find(std::string(id));
  if (it == m_by_id.end())
    return nullptr;
  if (it->second.fingerprint == fingerprint)
    return &it->second.result;
  m_mismatch = MakeError(
      ErrorKind::kInvalidArgument,
      "operation id " + std::string(id) + " was used for a different request",
      "choose a new operation id for each request");
  return &m_mismatch;
}

void OperationTable::Record(const std::string& id,
                            uint64_t fingerprint,
                            Millis time,
                            const Result<uint64_t>& result) {
  if (!m_by_id.emplace(id, Entry{fingerprint, time, result}).second)
    return;
  m_order.push_back(id);
  Prune(time);
}

void OperationTable::Prune(Millis now) {
  while (!m_order.empty()) {
    const auto it = m_by_id.find(m_order.front());
    if (m_order.size() <= kMaxOperations && it->second.time + kRetention > now)
      return;
    m_by_id.erase(it);
    m_order.pop_front();
  }
}

std::vector<OperationRecord> OperationTable::Save() const {
  std::vector<OperationRecord> records;
  records.reserve(m_order.size());
  for (const std::string& id : m_order) {
    const Entry& entry = m_by_id.at(id);
    OperationRecord& record = records.emplace_back();
    record.id = id;
    record.fingerprint = entry.fingerprint;
    record.time = entry.time;
    record.is_success = entry.result.has_value();
    if (entry.result) {
      record.value = *entry.result;
    } else {
      record.error_kind = static_cast<uint32_t>(entry.result.error().kind);
      record.error_message = entry.result.error().message;
      record.error_remedy = entry.result.error().remedy;
    }
  }
  return records;
}

void OperationTable::Restore(const std::vector<OperationRecord>& records) {
  m_by_id.clear();
  m_order.clear();
  for (const OperationRecord& record : records) {
    Result<uint64_t> result = record.value;
    if (!record.is_success) {
      const bool is_known =
          record.error_kind <= static_cast<uint32_t>(ErrorKind::kIo);
      result = MakeError(is_known ? static_cast<ErrorKind>(record.error_kind)
                                  : ErrorKind::kFailedPrecondition,
                         record.error_message, record.error_remedy);
    }
    const Entry entry{record.fingerprint, record.time, result};
    if (m_by_id.emplace(record.id, entry).second)
      m_order.push_back(record.id);
  }
}

}  // namespace fulmarrock
