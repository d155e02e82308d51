#include "source/daemon/client_limit_monitor.h"

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

/// How often clients that went away are looked for, and clients that exceeded
/// the limits are logged.
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
  Log();
}

void ClientLimitMonitor::Log() {
  const int64_t refusals = CountRefusals(m_requests);
  if (refusals == m_logged_refusals)
    return;
  m_decisions.Write(
      DecisionLine("requests_over_limit")
          .With("refused_or_aborted", refusals - m_logged_refusals)
          .With("unfinished",
                static_cast<int64_t>(m_requests.reception_count()))
          .With("held_bytes", static_cast<int64_t>(m_requests.used()))
          .With("limit_bytes",
                static_cast<int64_t>(m_requests.options().limit)));
  m_logged_refusals = refusals;
}

void ClientLimitMonitor::AddDiagnostics(DiagnosticsFrontEnd& diagnostics,
                                        EventLoop& loop,
                                        const MemoryBudget& messages) {
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
