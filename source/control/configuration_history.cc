#include "source/control/configuration_history.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fulmarrock {
namespace {

// Beyond this many changes, the whole configuration of 110 teams is smaller
// than the changes.
constexpr uint64_t kMaxDeltaChanges = 64;

bool HasSmallerName(const auto& left, const auto& right) {
  return left.name < right.name;
}

}  // namespace

Result<uint64_t> ConfigurationHistory::Apply(
    uint64_t base_version,
    const Configuration& configuration) {
  if (base_version != m_version) {
    return MakeError(
        ErrorKind::kConflict,
        "the lists are at version " + std::to_string(m_version) +
            ", but the change is based on version " +
            std::to_string(base_version),
        "get the newest lists, repeat the edit and apply it again");
  }
  ConfigurationChange change =
      ComputeChange(m_configuration, configuration, m_version + 1);
  m_configuration = configuration;
  ++m_version;
  m_changes.push_back(std::move(change));
  if (m_changes.size() > kMaxChanges)
    m_changes.pop_front();
  return m_version;
}

bool ConfigurationHistory::HasChangesSince(uint64_t version) const {
  if (version == 0 || version > m_version)
    return false;
  const uint64_t missing = m_version - version;
  return missing <= m_changes.size() && missing <= kMaxDeltaChanges;
}

std::vector<ConfigurationChange> ConfigurationHistory::ChangesSince(
    uint64_t version) const {
  const auto missing = static_cast<int64_t>(m_version - version);
  return {m_changes.end() - missing, m_changes.end()};
}

ConfigurationHistory::Snapshot ConfigurationHistory::Save() const {
  return {m_version, m_configuration, {m_changes.begin(), m_changes.end()}};
}

void ConfigurationHistory::Restore(Snapshot snapshot) {
  m_version = snapshot.version;
  m_configuration = std::move(snapshot.configuration);
  m_changes.assign(snapshot.changes.begin(), snapshot.changes.end());
}

void SortConfiguration(Configuration& configuration) {
  std::sort(configuration.plans.begin(), configuration.plans.end(),
            HasSmallerName<Plan, Plan>);
  std::sort(configuration.customers.begin(), configuration.customers.end(),
            HasSmallerName<Customer, Customer>);
}

}  // namespace fulmarrock
