#ifndef SOURCE_DAEMON_DAEMON_H_
#define SOURCE_DAEMON_DAEMON_H_

#include <memory>
#include <optional>
#include <string>

#include "source/base/seeded_random.h"
#include "source/base/steady_clock.h"
#include "source/config/settings.h"
#include "source/daemon/agent_host.h"
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
  /// The settings are read again from `settings_path` on SIGHUP; only addresses
  /// of control members are taken from them while the process runs.
  Daemon(const Settings& settings, std::string settings_path);

  /// Runs until a planned stop is complete. Returns 0 after a complete stop,
  /// and 1 when the start failed, a component failed for good, the stop took
  /// longer than its limit or a second signal cut it short.
  int Run();

 private:
  /// Parts of a planned stop, in order. Entries finish before the agent beside
  /// them leaves, and control goes last, since both need it.
  enum class StopPhase { kNone, kEntry, kAgent, kControl, kReplies };

  void BuildComponents();
  Result<void> StartRoles();
  void StopRoles();
  void AddDiagnostics();
  void OnMessage(const NodeId& from, const Message& message);
  void OnTick();
  void OnStopSignal();
  void Reload();
  void BeginStop(const std::string& reason);
  void EnterPhase(StopPhase phase);
  bool IsPhaseDone() const;
  void Finish(int exit_code);

  const Settings m_settings;
  const std::string m_settings_path;
  SteadyClock m_clock;
  StdoutDecisionLog m_decisions;
  SeededRandom m_random = SeededRandom::FromSystemEntropy();
  EventLoop m_loop;
  // Blocks the signals before other threads exist.
  SignalWatcher m_signals;
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
  StopPhase m_phase = StopPhase::kNone;
  Millis m_stop_limit;
  int m_exit_code = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_DAEMON_H_
