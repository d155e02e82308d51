#ifndef SOURCE_DAEMON_AGENT_HOST_H_
#define SOURCE_DAEMON_AGENT_HOST_H_

#include <memory>
#include <string>

#include "source/agent/agent_role.h"
#include "source/base/clock.h"
#include "source/base/random_source.h"
#include "source/config/settings.h"
#include "source/daemon/service_latency_probe.h"
#include "source/message/transport.h"
#include "source/net/diagnostics_front_end.h"
#include "source/net/http_target_client.h"
#include "source/net/http_worker_client.h"

namespace fulmarrock {

/// The agent role with its clients for the target and the worker.
class AgentHost {
 public:
  /// `address` is where this process accepts messages.
  AgentHost(EventLoop& loop,
            const Settings& settings,
            const std::string& address,
            Clock& clock,
            Transport& transport,
            RandomSource& random);

  Role& role() { return m_role; }

  void AddDiagnostics(DiagnosticsFrontEnd& diagnostics);

 private:
  EventLoop& m_loop;
  Counters m_counters;
  std::unique_ptr<HttpTargetClient> m_target;
  std::unique_ptr<HttpWorkerClient> m_worker;
  std::unique_ptr<ServiceLatencyProbe> m_probe;
  AgentRole m_role;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_AGENT_HOST_H_
