#include "source/consensus/command_assembler.h"

#include <utility>

namespace fulmarrock {

std::vector<LogEntry> SplitCommand(std::string command,
                                   size_t max_entry_bytes) {
  std::vector<LogEntry> entries;
  size_t offset = 0;
  while (command.size() - offset > max_entry_bytes) {
    LogEntry& part = entries.emplace_back();
    part.kind = EntryKind::kCommandPart;
    part.payload = command.substr(offset, max_entry_bytes);
    offset += max_entry_bytes;
  }
  if (offset > 0)
    command.erase(0, offset);
  LogEntry& last = entries.emplace_back();
  last.kind = EntryKind::kCommand;
  last.payload = std::move(command);
  return entries;
}

std::optional<std::string_view> CommandAssembler::Add(const LogEntry& entry) {
  const bool is_command = entry.kind == EntryKind::kCommand ||
                          entry.kind == EntryKind::kCommandPart;
  if (!is_command || entry.term != m_term)
    m_parts.clear();
  m_term = entry.term;
  if (entry.kind == EntryKind::kCommandPart) {
    m_parts += entry.payload;
    return std::nullopt;
  }
  if (entry.kind != EntryKind::kCommand)
    return std::nullopt;
  if (m_parts.empty())
    return entry.payload;
  m_command = std::exchange(m_parts, {}) + entry.payload;
  return m_command;
}

}  // namespace fulmarrock
