#include "source/daemon/agent_host.h"

#include <utility>
#include <vector>

#include "source/agent/task_runner.h"
#include "source/agent/throttle_controller.h"
#include "source/message/lease.h"

namespace fulmarrock {

AgentHost::AgentHost(EventLoop& loop,
                     const Settings& settings,
                     const std::string& address,
                     Clock& clock,
                     Transport& transport,
                     RandomSource& random)
    : m_loop(loop), m_role(m_counters) {
  const Incarnation incarnation = random.Next() | 1;
  RequestServer* server = nullptr;
  if (settings.target) {
    HttpTargetOptions target;
    target.address = settings.target->address;
    target.connections = static_cast<unsigned>(settings.target->connections);
    m_target = std::make_unique<HttpTargetClient>(loop, target);
    RequestServerOptions options;
    options.service = settings.target->service;
    options.data_centre = settings.data_centre;
    options.address = address;
    options.incarnation = incarnation;
    options.entries = NodesOf(settings.entries);
    options.slots = static_cast<int32_t>(settings.target->slots);
    options.connections = static_cast<int32_t>(settings.target->connections);
    auto part = std::make_unique<RequestServer>(
        std::move(options), clock, transport, *m_target, m_counters);
    part->SetAffinities(settings.target->affinities);
    m_probe = std::make_unique<ServiceLatencyProbe>(
        clock, *part, settings.target->latency_objective);
    server = part.get();
    m_role.AddPart(std::move(part));
  }
  if (settings.worker) {
    HttpWorkerOptions worker;
    worker.address = settings.worker->address;
    worker.stop_after = kLeaseDuration;
    worker.clock_margin = kClockDriftMargin * 2;
    m_worker = std::make_unique<HttpWorkerClient>(loop, worker, random);
    TaskRunnerSettings options;
    options.control_members = NodesOf(settings.control_members);
    options.data_centre = settings.data_centre;
    options.rack = settings.rack;
    options.address = address;
    options.capacity = settings.worker->capacity;
    options.incarnation = incarnation;
    auto part = std::make_unique<TaskRunner>(
        std::move(options), clock, transport, random, *m_worker, m_counters);
    m_worker->Listen(*part);
    if (server) {
      part->SetKernelListener(*server);
      part->SetServiceProbe(settings.target->service, *m_probe);
    }
    m_role.AddPart(std::move(part));
    if (m_probe) {
      m_role.AddPart(std::make_unique<ThrottleController>(
          clock, *m_probe, *m_worker, m_counters));
    }
  }
}

void AgentHost::AddDiagnostics(DiagnosticsFrontEnd& diagnostics) {
  diagnostics.AddState("agent", m_loop, [this] { return m_role.DumpState(); });
  diagnostics.AddCounters("agent", m_loop, m_counters);
  if (m_target)
    diagnostics.AddCounters("target", m_loop, m_target->counters());
  if (m_worker)
    diagnostics.AddCounters("worker", m_loop, m_worker->counters());
}

}  // namespace fulmarrock
