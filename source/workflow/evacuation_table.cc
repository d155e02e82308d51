#include "source/workflow/evacuation_table.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

/// How long the commands for a data centre that is not evacuated are kept.
/// Longer than any resend limit.
constexpr Millis kRetention = Millis::FromSeconds(600);

}  // namespace

EvacuationOutcome EvacuationTable::Apply(const EvacuationCommand& command,
                                         Millis now) {
  EvacuationEntry& entry = m_entries[command.data_centre];
  entry.data_centre = command.data_centre;
  Millis& last_command_at =
      command.is_evacuated ? entry.last_start_at : entry.last_finish_at;
  const bool is_change = entry.is_evacuated != command.is_evacuated;
  const bool may_be_repeated = last_command_at != kNoCommand &&
                               now - last_command_at < command.resend_limit;
  if (is_change && may_be_repeated)
    return EvacuationOutcome::kDeferred;
  last_command_at = now;
  if (!is_change)
    return EvacuationOutcome::kUnchanged;
  entry.is_evacuated = command.is_evacuated;
  entry.changed_at = now;
  ++m_version;
  return EvacuationOutcome::kChanged;
}

bool EvacuationTable::IsEvacuated(std::string_view data_centre) const {
  const EvacuationEntry* entry = Find(data_centre);
  return entry && entry->is_evacuated;
}

const EvacuationEntry* EvacuationTable::Find(
    std::string_view data_centre) const {
  const auto it = m_entries.find(data_centre);
  return it == m_entries.end() ? nullptr : &it->second;
}

EvacuationTable::Snapshot EvacuationTable::Save() const {
  Snapshot snapshot;
  snapshot.version = m_version;
  for (const auto& [name, entry] : m_entries)
    snapshot.entries.push_back(entry);
  return snapshot;
}

void EvacuationTable::Restore(Snapshot snapshot) {
  m_version = snapshot.version;
  m_entries.clear();
  for (EvacuationEntry& entry : snapshot.entries) {
    std::string name = entry.data_centre;
    m_entries.emplace(std::move(name), std::move(entry));
  }
}

void EvacuationTable::Prune(Millis now) {
  std::erase_if(m_entries, [now](const auto& item) {
    const EvacuationEntry& entry = item.second;
    const Millis last_command_at =
        std::max(entry.last_start_at, entry.last_finish_at);
    return !entry.is_evacuated && now - last_command_at > kRetention;
  });
}

}  // namespace fulmarrock
