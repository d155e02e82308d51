#ifndef SOURCE_DAEMON_CONTROL_HOST_H_
#define SOURCE_DAEMON_CONTROL_HOST_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "source/base/decision_log.h"
#include "source/config/settings.h"
#include "source/control/control_member.h"
#include "source/control/operator_service.h"
#include "source/daemon/posting_transport.h"
#include "source/net/component.h"
#include "source/net/diagnostics_front_end.h"
#include "source/net/loop_thread.h"

namespace fulmarrock {

/// The control role with its consensus member and storage, on a thread of its
/// own, so that syncing the log to disk does not delay requests.
class ControlHost : public Component {
 public:
  /// `loop` is the loop of the transport.
  ControlHost(EventLoop& loop,
              const Settings& settings,
              Transport& transport,
              DecisionLog& decisions);
  ~ControlHost() override;

  std::string Name() const override { return "control"; }

  /// Opens the data folder and recovers the state. A member whose storage fails
  /// then or later is opened again; see SupervisedMember.
  Result<void> Start() override;
  void Stop() override;

  /// Forwards a message to the role unless control ignores its type.
  void Deliver(const NodeId& from, const Message& message);

  /// Adds nodes through which the control group may be found.
  void AddSeedNodes(const std::vector<NodeId>& nodes);

  void BeginShutdown();
  bool IsDrained() const { return m_is_drained; }

  /// Whether the member can use its data folder.
  bool IsOpen() const { return m_is_open; }

  /// Loop on which the service has to be called.
  EventLoop& service_loop() { return m_thread.loop(); }

  /// Valid while the component runs.
  OperatorService& service();

  void AddDiagnostics(DiagnosticsFrontEnd& diagnostics);

 private:
  struct State;

  Result<void> Open();
  /// Returns the member, or null while it is not open.
  ControlMember* OpenMember();
  void OnTick();
  std::string DumpState() const;

  const Settings m_settings;
  PostingTransport m_transport;
  DecisionLog& m_decisions;
  std::atomic<bool> m_is_drained{false};
  std::atomic<bool> m_is_open{false};
  std::unique_ptr<State> m_state;
  // Declared last, so that its thread ends before the state is destroyed.
  LoopThread m_thread;
};

}  // namespace fulmarrock

#endif  // SOURCE_DAEMON_CONTROL_HOST_H_
