#include "source/daemon/workflow_host.h"

#include <algorithm>
#include <utility>

#include "platform/caller_adapter.h"
#include "platform/operator_adapter.h"
#include "platform/worker_adapter.h"

namespace fulmarrock {

WorkflowHost::WorkflowHost(EventLoop& loop,
                           const Settings& settings,
                           const Clock& clock,
                           Transport& transport,
                           RandomSource& random,
                           DecisionLog& decisions,
                           const ClientLimits& limits,
                           MemoryBudget& request_memory)
    : m_loop(loop),
      m_settings(*settings.workflow),
      m_decisions(decisions),
      m_limits(limits),
      m_request_memory(request_memory) {
  if (settings.runs_entry) {
    WorkflowGatewayOptions options;
    options.id = settings.node;
    options.control_members = NodesOf(settings.control_members);
    m_gateway = std::make_unique<WorkflowGateway>(std::move(options), clock,
                                                  transport, random, decisions);
    if (!m_settings.caller_listen.empty()) {
      m_caller_server =
          &AddServer(m_settings.caller_listen, m_limits.caller_connections);
      platform::ServeCallers(*m_gateway, *m_caller_server);
    }
    if (!m_settings.ready_listen.empty())
      platform::ServeReadiness(
          *m_gateway,
          AddServer(m_settings.ready_listen, m_limits.service_connections));
  }
  if (settings.runs_agent) {
    WorkflowRunnerOptions options;
    options.id = settings.node;
    options.incarnation = random.Next() | 1;
    options.control_members = NodesOf(settings.control_members);
    options.max_lease_extension = m_settings.max_lease_extension;
    options.stop_timeout = m_settings.stop_timeout;
    options.evacuation_limit = m_settings.evacuation_limit;
    m_client = std::make_unique<platform::HttpRunClient>(loop, decisions);
    m_runner = std::make_unique<WorkflowRunner>(
        std::move(options), clock, transport, *m_client,
        [] { return std::make_unique<LatencyGuidedSpeedLimit>(); }, decisions);
    if (!m_settings.worker_listen.empty())
      platform::ServeWorker(*m_runner, AddServer(m_settings.worker_listen,
                                                 m_limits.service_connections));
  }
}

void WorkflowHost::ServeOperators(OperatorService& service,
                                  EventLoop& service_loop) {
  const std::string& address = m_settings.operator_listen;
  if (address.empty())
    return;
  platform::ServeOperator(service, service_loop,
                          address.substr(address.rfind(':') + 1),
                          AddServer(address, m_limits.service_connections));
}

HttpServer& WorkflowHost::AddServer(const std::string& address,
                                    unsigned max_connections) {
  HttpServerOptions options;
  options.address = address;
  options.max_connections = max_connections;
  options.idle_timeout = m_limits.idle_timeout;
  options.budget = &m_request_memory;
  options.decisions = &m_decisions;
  m_servers.push_back(std::make_unique<HttpServer>(m_loop, options));
  return *m_servers.back();
}

Result<void> WorkflowHost::Start() {
  for (const auto& server : m_servers) {
    if (Result<void> result = server->Start(); !result)
      return result;
  }
  return {};
}

void WorkflowHost::Stop() {
  for (const auto& server : m_servers)
    server->Stop();
}

void WorkflowHost::OnMessage(const NodeId& from, const Message& message) {
  if (m_gateway)
    m_gateway->OnMessage(from, message);
  if (m_runner)
    m_runner->OnMessage(from, message);
}

void WorkflowHost::OnTick() {
  if (m_gateway)
    m_gateway->OnTick();
  if (m_runner)
    m_runner->OnTick();
}

void WorkflowHost::BeginEntryShutdown() {
  if (!m_gateway)
    return;
  m_gateway->BeginShutdown();
  // Callers then open a new connection, which the load balancer routes to
  // another entry.
  if (m_caller_server)
    m_caller_server->CloseAfterResponses();
}

bool WorkflowHost::IsEntryDrained() const {
  return !m_gateway || m_gateway->IsDrained();
}

void WorkflowHost::BeginAgentShutdown() {
  if (m_runner)
    m_runner->BeginShutdown();
}

bool WorkflowHost::IsAgentDrained() const {
  return !m_runner || m_runner->IsDrained();
}

bool WorkflowHost::HasOpenCalls() const {
  return std::any_of(
      m_servers.begin(), m_servers.end(),
      [](const auto& server) { return server->open_calls() > 0; });
}

void WorkflowHost::SetSeeds(const std::vector<NodeId>& seeds) {
  if (m_gateway)
    m_gateway->SetSeeds(seeds);
  if (m_runner)
    m_runner->SetSeeds(seeds);
}

bool WorkflowHost::IsSearchingLeader() const {
  return (m_gateway && m_gateway->IsSearchingLeader()) ||
         (m_runner && m_runner->IsSearchingLeader());
}

void WorkflowHost::AddDiagnostics(DiagnosticsFrontEnd& diagnostics) {
  if (m_gateway) {
    diagnostics.AddState("gateway", m_loop,
                         [this] { return m_gateway->DumpState(); });
    diagnostics.AddCounters("gateway", m_loop, m_gateway->counters());
  }
  if (m_runner) {
    diagnostics.AddState("runner", m_loop,
                         [this] { return m_runner->DumpState(); });
    diagnostics.AddCounters("runner", m_loop, m_runner->counters());
  }
  if (m_caller_server)
    diagnostics.AddCounters("callers", m_loop, m_caller_server->counters());
}

}  // namespace fulmarrock
