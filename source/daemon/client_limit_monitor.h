#ifndef SOURCE_DAEMON_CLIENT_LIMIT_MONITOR_H_
#define SOURCE_DAEMON_CLIENT_LIMIT_MONITOR_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "source/base/decision_log.h"
#include "source/net/client_limits.h"
#include "source/net/diagnostics_front_end.h"
#include "source/net/memory_budget.h"

namespace fulmarrock {

/// Owns the memory for requests of HTTP clients, gives up requests that take
/// too long, and tells operators when clients exceed the limits.
class ClientLimitMonitor {
 public:
  /// The log outlives the monitor.
  ClientLimitMonitor(const ClientLimits& limits, DecisionLog& decisions);

  /// Memory that all HTTP servers of the process share.
  MemoryBudget& requests() { return m_requests; }

  void OnTick(Millis now);

  /// Adds the counters of both budgets. `messages` is the memory for messages
  /// of other processes.
  void AddDiagnostics(DiagnosticsFrontEnd& diagnostics,
                      EventLoop& loop,
                      const MemoryBudget& messages);

 private:
  std::string DumpState(const MemoryBudget& messages) const;
  /// Logs the refusals of a budget since the last line; `logged` is their
  /// number then.
  void Log(std::string_view kind, const MemoryBudget& budget, int64_t& logged);

  const ClientLimits m_limits;
  DecisionLog& m_decisions;
  MemoryBudget m_requests;
  Millis m_next_check;
  int64_t m_logged_requests = 0;
  // Memory for messages of other processes; null until AddDiagnostics().
  const MemoryBudget* m_messages = nullptr;
  int64_t m_logged_messages = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_CLIENT_LIMIT_MONITOR_H_
