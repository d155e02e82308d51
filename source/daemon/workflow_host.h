#ifndef SOURCE_DAEMON_WORKFLOW_HOST_H_
#define SOURCE_DAEMON_WORKFLOW_HOST_H_

#include <memory>
#include <vector>

#include "platform/http_run_client.h"
#include "source/agent/workflow_runner.h"
#include "source/base/clock.h"
#include "source/base/decision_log.h"
#include "source/base/random_source.h"
#include "source/config/settings.h"
#include "source/control/operator_service.h"
#include "source/entry/workflow_gateway.h"
#include "source/message/transport.h"
#include "source/net/client_limits.h"
#include "source/net/diagnostics_front_end.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// The parts of a process that serve workflows, except for control: the gateway
/// of an entry, the runner of an agent, and the workflow HTTP servers of all
/// roles.
class WorkflowHost {
 public:
  /// The references outlive the host.
  WorkflowHost(EventLoop& loop,
               const Settings& settings,
               const Clock& clock,
               Transport& transport,
               RandomSource& random,
               DecisionLog& decisions,
               const ClientLimits& limits,
               MemoryBudget& request_memory);

  /// Serves the operators' interface of a control member.
  void ServeOperators(OperatorService& service, EventLoop& service_loop);

  Result<void> Start();
  void Stop();

  void OnMessage(const NodeId& from, const Message& message);
  void OnTick();

  /// Begins the graceful shutdown of the entry's gateway.
  void BeginEntryShutdown();
  bool IsEntryDrained() const;
  void BeginAgentShutdown();
  bool IsAgentDrained() const;
  /// Whether a request that was read has not been answered yet.
  bool HasOpenCalls() const;

  /// Replaces the members of the control group that the settings name.
  void SetSeeds(const std::vector<NodeId>& seeds);

  /// Whether the leader of the control group is not known or does not reply.
  bool IsSearchingLeader() const;

  void AddDiagnostics(DiagnosticsFrontEnd& diagnostics);

 private:
  HttpServer& AddServer(const std::string& address, unsigned max_connections);

  EventLoop& m_loop;
  const WorkflowSettings m_settings;
  DecisionLog& m_decisions;
  const ClientLimits m_limits;
  MemoryBudget& m_request_memory;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  HttpServer* m_caller_server = nullptr;
  std::unique_ptr<WorkflowGateway> m_gateway;
  std::unique_ptr<platform::HttpRunClient> m_client;
  std::unique_ptr<WorkflowRunner> m_runner;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_WORKFLOW_HOST_H_
