#include "source/agent/agent_role.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {

void AgentRole::AddPart(std::unique_ptr<AgentPart> part) {
  m_parts.push_back(std::move(part));
}

void AgentRole::OnMessage(const NodeId& from, const Message& message) {
  for (const auto& part : m_parts)
    part->OnMessage(from, message);
}

void AgentRole::OnTick() {
  for (const auto& part : m_parts)
    part->OnTick();
}

void AgentRole::BeginShutdown() {
  for (const auto& part : m_parts)
    part->BeginShutdown();
}

bool AgentRole::IsDrained() const {
  return std::all_of(m_parts.begin(), m_parts.end(),
                     [](const auto& part) { return part->IsDrained(); });
}

std::string AgentRole::DumpState() const {
  std::string json = "{";
  for (const auto& part : m_parts) {
    if (json.size() > 1)
      json += ",";
    json += "\"" + part->Name() + "\":" + part->DumpState();
  }
  return json + "}";
}

}  // namespace fulmarrock
