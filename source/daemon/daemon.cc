#include "source/daemon/daemon.h"

#include <easylogging++.h>
#include <unistd.h>

#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "source/net/function_component.h"

namespace fulmarrock {
namespace {

/// How often the settings are read again while the leader of the control group
/// is not found. They may name other members, also without a signal.
constexpr Millis kSearchReloadInterval{5'000};

TransportOptions MakeTransportOptions(const Settings& settings,
                                      const ClientLimits& limits) {
  TransportOptions options;
  options.max_incoming_connections = limits.peer_connections;
  options.budget.limit = limits.message_memory;
  options.message_timeout = limits.message_timeout;
  options.self = settings.node;
  options.listen_address = settings.peer_listen;
  for (const auto* peers : {&settings.control_members, &settings.entries}) {
    for (const PeerSettings& peer : *peers) {
      if (peer.node != settings.node)
        options.peers[peer.node] = peer.peer_address;
    }
  }
  if (settings.discovers_members) {
    const std::string& address = settings.peer_listen;
    std::from_chars(address.data() + address.rfind(':') + 1,
                    address.data() + address.size(), options.default_port);
  }
  return options;
}

HttpServerOptions MakeServerOptions(const Settings& settings,
                                    const ClientLimits& limits,
                                    MemoryBudget& budget,
                                    DecisionLog& decisions) {
  HttpServerOptions options;
  options.address = settings.http_listen;
  options.max_connections = limits.http_connections;
  options.idle_timeout = limits.idle_timeout;
  options.budget = &budget;
  options.decisions = &decisions;
  return options;
}

std::map<NodeId, std::string> HttpAddresses(const Settings& settings) {
  std::map<NodeId, std::string> addresses;
  for (const PeerSettings& member : settings.control_members)
    addresses[member.node] = member.http_address;
  return addresses;
}

void LogComponent(const std::string& name, const Error* failure) {
  if (failure)
    LOG(ERROR) << name << " failed: " << failure->Describe();
  else
    LOG(INFO) << name << " started";
}

}  // namespace

Daemon::Daemon(const Settings& settings, std::string settings_path)
    : m_settings(settings),
      m_settings_path(std::move(settings_path)),
      m_decisions(settings.node, DecisionLogLimits{}, STDOUT_FILENO),
      m_signals(
          m_loop,
          [this] { OnStopSignal(); },
          [this] { Reload(); }),
      m_limits(MakeClientLimits(settings.limits, ReadProcessLimits())),
      m_limit_monitor(m_limits, m_decisions),
      m_server(m_loop,
               MakeServerOptions(settings,
                                 m_limits,
                                 m_limit_monitor.requests(),
                                 m_decisions)),
      m_diagnostics(m_loop, m_server),
      m_transport(m_loop,
                  MakeTransportOptions(settings, m_limits),
                  m_random,
                  [this](const NodeId& from, const Message& message) {
                    OnMessage(from, message);
                  }),
      m_supervisor(m_loop, "daemon", Supervisor::Options{}, &LogComponent) {
  BuildComponents();
  m_loop.AddTicker([this] { OnTick(); });
}

int Daemon::Run() {
  const Result<void> started = m_supervisor.Start();
  if (!started) {
    LOG(ERROR) << "cannot start: " << started.error().Describe();
    return 1;
  }
  LOG(INFO) << m_settings.node << " accepts messages on "
            << m_transport.address() << " and HTTP on " << m_server.address();
  m_decisions.Write(DecisionLine("process_started")
                        .With("messages_at", m_transport.address())
                        .With("diagnostics_at", m_server.address()));
  m_loop.Run();
  m_supervisor.Stop();
  m_decisions.Write(
      DecisionLine("process_stopped").With("exit_code", int64_t{m_exit_code}));
  LOG(INFO) << m_settings.node << " stopped";
  return m_exit_code;
}

void Daemon::BuildComponents() {
  m_supervisor.Add(std::make_unique<FunctionComponent>(
      "transport", [this] { return m_transport.Start(); },
      [this] { m_transport.Stop(); }));
  if (m_settings.runs_control) {
    auto control = std::make_unique<ControlHost>(m_loop, m_settings,
                                                 m_transport, m_decisions);
    m_control = control.get();
    m_supervisor.Add(std::move(control));
  }
  m_supervisor.Add(std::make_unique<FunctionComponent>(
      "roles", [this] { return StartRoles(); }, [this] { StopRoles(); }));
  m_supervisor.Add(std::make_unique<FunctionComponent>(
      "http", [this] { return m_server.Start(); },
      [this] { m_server.Stop(); }));
  if (m_settings.workflow) {
    m_supervisor.Add(std::make_unique<FunctionComponent>(
        "workflow interfaces", [this] { return m_workflows->Start(); },
        [this] { m_workflows->Stop(); }));
  }
}

Result<void> Daemon::StartRoles() {
  if (m_settings.workflow) {
    m_workflows = std::make_unique<WorkflowHost>(
        m_loop, m_settings, m_clock, m_transport, m_random, m_decisions,
        m_limits, m_limit_monitor.requests());
    if (m_control) {
      m_workflows->ServeOperators(m_control->service(),
                                  m_control->service_loop());
    }
  }
  // Without entries in the settings there are no targets to send requests to.
  const bool serves_requests =
      !m_settings.workflow || m_settings.target || !m_settings.entries.empty();
  if (m_settings.runs_entry && serves_requests) {
    m_callers = std::make_unique<CallerFrontEnd>(m_clock, m_server);
    EntryOptions options;
    options.id = m_settings.node;
    options.incarnation = m_random.Next() | 1;
    options.data_centre = m_settings.data_centre;
    for (const PeerSettings& member : m_settings.control_members)
      options.control_members.push_back(member.node);
    m_entry = std::make_unique<EntryRole>(std::move(options), m_clock,
                                          m_transport, m_random, *m_callers);
    m_callers->SetSubmit([this](CallerRequest request) {
      return m_entry->Submit(std::move(request));
    });
  }
  if (m_settings.target || m_settings.worker) {
    m_agent =
        std::make_unique<AgentHost>(m_loop, m_settings, m_transport.address(),
                                    m_clock, m_transport, m_random);
  }
  if (m_control) {
    m_operators = std::make_unique<OperatorFrontEnd>(
        m_control->service(), m_control->service_loop(),
        HttpAddresses(m_settings), m_server);
  }
  AddDiagnostics();
  return {};
}

void Daemon::StopRoles() {
  m_agent.reset();
  m_entry.reset();
}

void Daemon::AddDiagnostics() {
  m_diagnostics.AddState("transport", m_loop,
                         [this] { return m_transport.DumpState(); });
  m_diagnostics.AddState("components", m_loop,
                         [this] { return m_supervisor.DumpState(); });
  m_diagnostics.AddCounters("transport", m_loop, m_transport.counters());
  m_diagnostics.AddCounters("http", m_loop, m_server.counters());
  m_diagnostics.AddCounters("loop", m_loop, m_loop.counters());
  m_limit_monitor.AddDiagnostics(m_diagnostics, m_loop, m_transport.budget());
  if (m_entry) {
    m_diagnostics.AddState("entry", m_loop,
                           [this] { return m_entry->DumpState(); });
    m_diagnostics.AddCounters("entry", m_loop, m_entry->counters());
    m_diagnostics.AddMetrics(m_loop, [this] { return m_callers->Metrics(); });
  }
  if (m_agent)
    m_agent->AddDiagnostics(m_diagnostics);
  if (m_workflows)
    m_workflows->AddDiagnostics(m_diagnostics);
  if (m_control) {
    m_control->AddDiagnostics(m_diagnostics);
    m_diagnostics.AddCounters("operators", m_control->service_loop(),
                              m_operators->counters());
  }
}

void Daemon::OnMessage(const NodeId& from, const Message& message) {
  if (m_entry)
    m_entry->OnMessage(from, message);
  if (m_agent)
    m_agent->role().OnMessage(from, message);
  if (m_workflows)
    m_workflows->OnMessage(from, message);
  if (m_control)
    m_control->Deliver(from, message);
}

void Daemon::OnTick() {
  m_limit_monitor.OnTick(m_clock.Now());
  if (m_entry)
    m_entry->OnTick();
  if (m_agent)
    m_agent->role().OnTick();
  if (m_workflows)
    m_workflows->OnTick();
  ReloadWhileSearching();
  if (m_phase == ShutdownPhase::kNone)
    return;
  if (m_clock.Now() >= m_shutdown_deadline) {
    LOG(WARNING) << "graceful shutdown timed out after "
                 << m_settings.shutdown_timeout.count() << " ms";
    Finish(1);
    return;
  }
  if (!IsPhaseDone())
    return;
  if (m_phase == ShutdownPhase::kReplies)
    Finish(m_exit_code);
  else
    EnterPhase(static_cast<ShutdownPhase>(static_cast<int>(m_phase) + 1));
}

void Daemon::OnStopSignal() {
  if (m_phase == ShutdownPhase::kNone) {
    BeginGracefulShutdown("signal");
    return;
  }
  LOG(WARNING) << "second stop signal; stopping without finishing the shutdown";
  Finish(1);
}

void Daemon::Reload() {
  const Result<std::string> text = ReadTextFile(m_settings_path);
  const Result<Settings> settings =
      text ? ParseSettings(*text)
           : Result<Settings>(tl::make_unexpected(text.error()));
  if (!settings) {
    m_decisions.Write(DecisionLine("settings_reload")
                          .With("outcome", settings.error().Describe()));
    return;
  }
  m_decisions.Write(
      DecisionLine("settings_reload")
          .With("control_members",
                static_cast<int64_t>(settings->control_members.size()))
          .With("outcome", "taken"));
  std::vector<NodeId> members;
  for (const PeerSettings& peer : settings->control_members)
    members.push_back(peer.node);
  if (m_workflows)
    m_workflows->SetSeeds(members);
  if (m_control)
    m_control->AddSeedNodes(members);
}

void Daemon::ReloadWhileSearching() {
  const Millis now = m_clock.Now();
  if (!m_workflows || !m_workflows->IsSearchingLeader()) {
    m_next_search_reload = now + kSearchReloadInterval;
    return;
  }
  if (now < m_next_search_reload)
    return;
  m_next_search_reload = now + kSearchReloadInterval;
  Reload();
}

void Daemon::BeginGracefulShutdown(const std::string& reason) {
  if (m_phase != ShutdownPhase::kNone)
    return;
  LOG(INFO) << "graceful shutdown begins: " << reason;
  m_decisions.Write(DecisionLine("process_stopping").With("reason", reason));
  m_diagnostics.SetStopping();
  m_shutdown_deadline = m_clock.Now() + m_settings.shutdown_timeout;
  EnterPhase(ShutdownPhase::kEntry);
}

void Daemon::EnterPhase(ShutdownPhase phase) {
  m_phase = phase;
  if (phase == ShutdownPhase::kEntry && m_entry)
    m_entry->BeginShutdown();
  if (phase == ShutdownPhase::kEntry && m_workflows)
    m_workflows->BeginEntryShutdown();
  if (phase == ShutdownPhase::kAgent && m_agent)
    m_agent->role().BeginShutdown();
  if (phase == ShutdownPhase::kAgent && m_workflows)
    m_workflows->BeginAgentShutdown();
  if (phase == ShutdownPhase::kControl && m_control)
    m_control->BeginShutdown();
  // Callers on open connections still get their replies.
  if (phase == ShutdownPhase::kReplies)
    m_server.StopAccepting();
}

bool Daemon::IsPhaseDone() const {
  switch (m_phase) {
    case ShutdownPhase::kNone:
      return false;
    case ShutdownPhase::kEntry:
      return (!m_entry || m_entry->IsDrained()) &&
             (!m_workflows || m_workflows->IsEntryDrained());
    case ShutdownPhase::kAgent:
      return (!m_agent || m_agent->role().IsDrained()) &&
             (!m_workflows || m_workflows->IsAgentDrained());
    case ShutdownPhase::kControl:
      return !m_control || m_control->IsDrained();
    case ShutdownPhase::kReplies:
      return m_server.open_calls() == 0 &&
             (!m_workflows || !m_workflows->HasOpenCalls());
  }
  return true;
}

void Daemon::Finish(int exit_code) {
  m_exit_code = exit_code;
  m_loop.Stop();
}

}  // namespace fulmarrock
