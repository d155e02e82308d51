#include "source/daemon/control_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "source/base/seeded_random.h"
#include "source/base/steady_clock.h"
#include "source/base/wall_clock.h"
#include "source/control/supervised_member.h"
#include "source/storage/file_storage.h"

namespace fulmarrock {
namespace {

template <typename... Types>
bool IsOneOf(const Message& message) {
  return (std::holds_alternative<Types>(message) || ...);
}

/// Whether only entries and agents handle a message. Such messages make up most
/// of the traffic, so they are not copied to the control thread.
bool IsIgnoredByControl(const Message& message) {
  return IsOneOf<TargetAnnounce, RequestForward, RequestReply, RequestCancel,
                 RequestQuery, RequestQueryReply, ClaimReply, ClaimOutcomeAck,
                 ResponseFetch, ResponseFetchReply, WorkerAnnounceAck,
                 LeaseRenewReply, GrantBatch, StopBatch, TaskEventsAck,
                 ConfigDelta, ConfigSnapshot, WorkflowReply,
                 WorkerInstructions>(message);
}

/// Returns the initial members if this node is one of them and bootstraps the
/// group. A member that is added later starts without initial members.
std::vector<NodeId> FindInitialMembers(const Settings& settings) {
  std::vector<NodeId> nodes = NodesOf(settings.control_members);
  const bool is_initial_member =
      settings.bootstraps_group &&
      std::find(nodes.begin(), nodes.end(), settings.node) != nodes.end();
  return is_initial_member ? nodes : std::vector<NodeId>();
}

}  // namespace

/// Objects that exist between Start() and Stop(), used on the control thread.
struct ControlHost::State {
  SteadyClock clock;
  SystemWallClock wall_clock;
  SeededRandom random = SeededRandom::FromSystemEntropy();
  std::unique_ptr<Storage> storage;
  std::unique_ptr<SupervisedMember> member;
};

ControlHost::ControlHost(EventLoop& loop,
                         const Settings& settings,
                         Transport& transport,
                         DecisionLog& decisions)
    : m_settings(settings),
      m_transport(loop, transport),
      m_decisions(decisions) {
  m_thread.RunAndWait(
      [this] { m_thread.loop().AddTicker([this] { OnTick(); }); });
}

ControlHost::~ControlHost() {
  Stop();
}

Result<void> ControlHost::Start() {
  Result<void> result;
  m_thread.RunAndWait([&] { result = Open(); });
  return result;
}

Result<void> ControlHost::Open() {
  m_is_drained = false;
  auto state = std::make_unique<State>();
  Result<std::unique_ptr<FileStorage>> storage =
      FileStorage::OpenFolder(m_settings.data_folder);
  if (!storage)
    return tl::make_unexpected(storage.error());
  state->storage = std::move(*storage);
  SupervisedMemberOptions options;
  options.consensus.node = m_settings.node;
  options.consensus.initial_members = FindInitialMembers(m_settings);
  options.consensus.heartbeat = m_settings.consensus.heartbeat;
  options.consensus.election_timeout_min =
      m_settings.consensus.election_timeout_min;
  options.consensus.election_timeout_max =
      m_settings.consensus.election_timeout_max;
  if (m_settings.workflow) {
    options.workflow.lease = m_settings.workflow->lease;
    options.evacuation.resend_limit = m_settings.workflow->operator_resend;
    options.evacuation.data_centres = m_settings.workflow->data_centres;
  }
  options.seed_nodes = NodesOf(m_settings.control_members);
  options.discovers_members = m_settings.discovers_members;
  state->member = std::make_unique<SupervisedMember>(
      std::move(options), SupervisedMemberEnvironment{
                              state->clock, m_transport, state->random,
                              *state->storage, state->wall_clock, m_decisions});
  if (Result<void> result = state->member->Start(); !result)
    return result;
  m_is_open = state->member->member() != nullptr;
  m_state = std::move(state);
  return {};
}

void ControlHost::Stop() {
  m_thread.RunAndWait([this] { m_state.reset(); });
}

void ControlHost::Deliver(const NodeId& from, const Message& message) {
  if (IsIgnoredByControl(message))
    return;
  m_thread.loop().Post([this, from, message] {
    if (m_state)
      m_state->member->OnMessage(from, message);
  });
}

void ControlHost::OnTick() {
  if (!m_state)
    return;
  m_state->member->OnTick();
  m_is_drained = m_state->member->IsDrained();
  m_is_open = m_state->member->member() != nullptr;
}

void ControlHost::AddSeedNodes(const std::vector<NodeId>& nodes) {
  m_thread.loop().Post([this, nodes] {
    if (m_state)
      m_state->member->AddSeedNodes(nodes);
  });
}

void ControlHost::BeginShutdown() {
  m_thread.loop().Post([this] {
    if (m_state)
      m_state->member->BeginShutdown();
  });
}

OperatorService& ControlHost::service() {
  return m_state->member->service();
}

void ControlHost::AddDiagnostics(DiagnosticsFrontEnd& diagnostics) {
  EventLoop& loop = m_thread.loop();
  diagnostics.AddState("control", loop, [this] { return DumpState(); });
  diagnostics.AddReadiness([this] { return IsOpen(); });
  diagnostics.AddCounters("member", loop, m_state->member->counters());
  diagnostics.AddCounters("control", loop, [this] {
    const ControlMember* const member = OpenMember();
    return member ? &member->counters() : nullptr;
  });
  diagnostics.AddCounters("consensus", loop, [this] {
    ControlMember* const member = OpenMember();
    return member ? &member->consensus().counters() : nullptr;
  });
  diagnostics.AddCounters("control_loop", loop, loop.counters());
}

ControlMember* ControlHost::OpenMember() {
  return m_state ? m_state->member->member() : nullptr;
}

std::string ControlHost::DumpState() const {
  return m_state ? m_state->member->DumpState() : "null";
}

}  // namespace fulmarrock
