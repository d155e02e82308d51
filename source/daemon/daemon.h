#ifndef SOURCE_DAEMON_DAEMON_H_
#define SOURCE_DAEMON_DAEMON_H_

#include <memory>
#include <optional>
#include <string>

#include "source/base/seeded_random.h"
#include "source/base/steady_clock.h"
#include "source/config/settings.h"
#include "source/daemon/agent_host.h"
#include "source/daemon/client_limit_monitor.h"
#include "source/daemon/control_host.h"
#include "source/daemon/workflow_host.h"
#include "source/entry/entry_role.h"
#include "source/net/caller_front_end.h"
#include "source/net/diagnostics_front_end.h"
#include "source/net/event_loop.h"
#include "source/net/http2_transport.h"
#include "source/net/http_server.h"
#include "source/net/operator_front_end.h"
#include "source/net/signal_watcher.h"
#include "source/net/stdout_decision_log.h"
#include "source/net/supervisor.h"

namespace fulmarrock {

/// One process of the system with the roles of its settings.
class Daemon {
 public:
  /// The settings are read again from `settings_path` on SIGHUP; only the
  /// addresses of control members take effect while the process runs.
  Daemon(const Settings& settings, std::string settings_path);

  /// Runs until the graceful shutdown is complete. Returns 0 after a complete
  /// shutdown, and 1 if the start failed, a component failed permanently, the
  /// shutdown timed out or a second signal interrupted it.
  int Run();

 private:
  /// Phases of a graceful shutdown, in order. The entry finishes before the
  /// agent of the same process drains, and control is the last role to stop,
  /// since both need it.
  enum class ShutdownPhase { kNone, kEntry, kAgent, kControl, kReplies };

  void BuildComponents();
  Result<void> StartRoles();
  void StopRoles();
  void AddDiagnostics();
  void OnMessage(const NodeId& from, const Message& message);
  void OnTick();
  void OnStopSignal();
  void Reload();
  void ReloadWhileSearching();
  void BeginGracefulShutdown(const std::string& reason);
  void EnterPhase(ShutdownPhase phase);
  bool IsPhaseDone() const;
  void Finish(int exit_code);

  const Settings m_settings;
  const std::string m_settings_path;
  SteadyClock m_clock;
  StdoutDecisionLog m_decisions;
  SeededRandom m_random = SeededRandom::FromSystemEntropy();
  EventLoop m_loop;
  // Blocks the signals before other threads are started.
  SignalWatcher m_signals;
  const ClientLimits m_limits;
  ClientLimitMonitor m_limit_monitor;
  HttpServer m_server;
  DiagnosticsFrontEnd m_diagnostics;
  Http2Transport m_transport;
  std::unique_ptr<CallerFrontEnd> m_callers;
  std::unique_ptr<EntryRole> m_entry;
  std::unique_ptr<AgentHost> m_agent;
  std::unique_ptr<WorkflowHost> m_workflows;
  std::unique_ptr<OperatorFrontEnd> m_operators;
  // Owned by the supervisor.
  ControlHost* m_control = nullptr;
  Supervisor m_supervisor;
  Millis m_next_search_reload;
  ShutdownPhase m_phase = ShutdownPhase::kNone;
  Millis m_shutdown_deadline;
  int m_exit_code = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_DAEMON_H_
