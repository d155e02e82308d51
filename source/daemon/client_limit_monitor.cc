#include "source/daemon/client_limit_monitor.h"

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

/// How often closed connections are looked for, and clients that exceeded the
/// limits are logged.
constexpr Millis kCheckInterval{1'000};

int64_t CountRefusals(const MemoryBudget& budget) {
  int64_t count = 0;
  for (const auto& [name, value] : budget.counters().values())
    count += value;
  return count;
}

}  // namespace

ClientLimitMonitor::ClientLimitMonitor(const ClientLimits& limits,
                                       DecisionLog& decisions)
    : m_limits(limits),
      m_decisions(decisions),
      m_requests({.limit = limits.request_memory}) {}

void ClientLimitMonitor::OnTick(Millis now) {
  m_requests.AbortOlderThan(m_limits.body_timeout, now);
  if (now < m_next_check)
    return;
  m_next_check = now + kCheckInterval;
  m_requests.AbortClosed(now);
  Log("requests", m_requests, m_logged_requests);
  if (m_messages)
    Log("messages", *m_messages, m_logged_messages);
}

void ClientLimitMonitor::Log(std::string_view kind,
                             const MemoryBudget& budget,
                             int64_t& logged) {
  const int64_t refusals = CountRefusals(budget);
  if (refusals == logged)
    return;
  m_decisions.Write(
      DecisionLine("clients_over_limit")
          .With("kind", kind)
          .With("refused_or_aborted", refusals - logged)
          .With("unfinished", static_cast<int64_t>(budget.reception_count()))
          .With("held_bytes", static_cast<int64_t>(budget.used()))
          .With("limit_bytes", static_cast<int64_t>(budget.options().limit)));
  logged = refusals;
}

void ClientLimitMonitor::AddDiagnostics(DiagnosticsFrontEnd& diagnostics,
                                        EventLoop& loop,
                                        const MemoryBudget& messages) {
  m_messages = &messages;
  diagnostics.AddState("client_limits", loop,
                       [this, &messages] { return DumpState(messages); });
  diagnostics.AddCounters("requests", loop, m_requests.counters());
  diagnostics.AddCounters("messages", loop, messages.counters());
  diagnostics.AddMetrics(loop, [this, &messages] {
    return "fulmarrock_held_bytes{part=\"requests\"} " +
           std::to_string(m_requests.used()) +
           "\nfulmarrock_held_bytes{part=\"messages\"} " +
           std::to_string(messages.used()) + "\n";
  });
}

std::string ClientLimitMonitor::DumpState(const MemoryBudget& messages) const {
  const auto dump = [](const MemoryBudget& budget) {
    return nlohmann::json{{"held_bytes", budget.used()},
                          {"limit_bytes", budget.options().limit},
                          {"unfinished", budget.reception_count()}};
  };
  return ToJsonText(
      nlohmann::json{{"requests", dump(m_requests)},
                     {"messages", dump(messages)},
                     {"caller_connections", m_limits.caller_connections},
                     {"http_connections", m_limits.http_connections},
                     {"service_connections", m_limits.service_connections},
                     {"peer_connections", m_limits.peer_connections}});
}

}  // namespace fulmarrock
