#include "source/control/supervised_member.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/storage/damaged_data.h"

namespace fulmarrock {
namespace {

constexpr Millis kFirstPause{250};
constexpr Millis kMaxPause{5'000};

/// A member that was open for this long starts again with the first pause.
constexpr Millis kStableTime{10'000};

/// Whether a later attempt may succeed although nobody changed the settings.
bool IsStorageFailure(ErrorKind kind) {
  return kind == ErrorKind::kIo || kind == ErrorKind::kResourceExhausted ||
         kind == ErrorKind::kCorruption;
}

}  // namespace

SupervisedMember::SupervisedMember(
    SupervisedMemberOptions options,
    const SupervisedMemberEnvironment& environment)
    : m_options(std::move(options)),
      m_env(environment),
      m_service(m_options.consensus.node) {}

Result<void> SupervisedMember::Start() {
  Result<void> result = Open();
  if (result || IsStorageFailure(result.error().kind))
    return {};
  return result;
}

void SupervisedMember::OnMessage(const NodeId& from, const Message& message) {
  if (m_member) {
    m_member->OnMessage(from, message);
    return;
  }
  const auto* view = std::get_if<GroupView>(&message);
  if (view && m_probe)
    m_probe->OnGroupView(from, *view);
}

void SupervisedMember::OnTick() {
  if (m_member) {
    m_member->OnTick();
    if (m_member->Failure())
      OnFailure(Error(*m_member->Failure()));
    return;
  }
  if (m_probe)
    m_probe->OnTick();
  if (m_is_shutting_down || m_env.clock.Now() < m_next_attempt)
    return;
  if (!m_probe)
    Open();
  else if (!m_probe->FindLeader().empty())
    ReplaceDamagedData();
}

void SupervisedMember::BeginShutdown() {
  m_is_shutting_down = true;
  if (m_member)
    m_member->BeginShutdown();
}

bool SupervisedMember::IsDrained() const {
  return !m_member || m_member->IsDrained();
}

std::string SupervisedMember::DumpState() const {
  if (m_member)
    return m_member->DumpState();
  nlohmann::json json = {{"is_open", false}};
  if (m_failure) {
    json["error"] = m_failure->message;
    json["remedy"] = m_failure->remedy;
  }
  json["is_data_damaged"] = m_probe != nullptr;
  return ToJsonText(json);
}

void SupervisedMember::AddSeedNodes(const std::vector<NodeId>& nodes) {
  m_options.seed_nodes.insert(m_options.seed_nodes.end(), nodes.begin(),
                              nodes.end());
  if (m_member && m_member->role().membership_manager())
    m_member->role().membership_manager()->AddSeedNodes(nodes);
  if (m_probe)
    m_probe->AddNodes(nodes);
}

Result<void> SupervisedMember::Open() {
  Result<std::unique_ptr<ControlMember>> member = OpenMember();
  if (!member) {
    OnFailure(member.error());
    return tl::make_unexpected(std::move(member.error()));
  }
  m_member = std::move(*member);
  m_opened_at = m_env.clock.Now();
  m_failure.reset();
  ControlRole& role = m_member->role();
  role.ConfigureWorkflows(m_options.workflow, m_env.wall_clock,
                          m_env.decisions);
  role.ConfigureEvacuations(m_options.evacuation, m_env.decisions);
  if (m_options.discovers_members) {
    role.SetMembershipManager(std::make_unique<MembershipManager>(
        m_options.consensus.node, m_options.seed_nodes, m_env.clock,
        m_env.transport, m_member->consensus(), m_env.decisions));
  }
  m_service.SetService(&role);
  m_counters.Add("member_opened");
  return {};
}

Result<std::unique_ptr<ControlMember>> SupervisedMember::OpenMember() {
  const Result<bool> was_replaced = HasDamagedData(m_env.storage);
  if (!was_replaced)
    return tl::make_unexpected(was_replaced.error());
  ConsensusOptions options = m_options.consensus;
  // The group exists already: this member has had data of it.
  if (*was_replaced)
    options.initial_members.clear();
  return ControlMember::Open(
      options, {m_env.clock, m_env.transport, m_env.random, m_env.storage});
}

void SupervisedMember::OnFailure(const Error& error) {
  const Millis now = m_env.clock.Now();
  m_service.SetService(nullptr);
  if (m_member && now - m_opened_at >= kStableTime)
    m_pause = Millis();
  m_member.reset();
  m_failure = error;
  m_pause = std::clamp(m_pause * 2, kFirstPause, kMaxPause);
  m_next_attempt = now + m_pause;
  m_counters.Add("member_failures");
  if (error.kind == ErrorKind::kCorruption && m_options.discovers_members &&
      !m_probe) {
    m_probe = std::make_unique<GroupProbe>(m_options.consensus.node,
                                           m_env.clock, m_env.transport);
    m_probe->AddNodes(m_options.seed_nodes);
  }
  m_env.decisions.Write(
      DecisionLine("member_failed")
          .With("reason", error.Describe())
          .With("next_attempt_ms", m_pause)
          .With("is_data_damaged", int64_t{m_probe != nullptr}));
}

void SupervisedMember::ReplaceDamagedData() {
  const NodeId leader = m_probe->FindLeader();
  if (const Result<void> result = SetDamagedDataAside(m_env.storage); !result) {
    OnFailure(result.error());
    return;
  }
  m_counters.Add("data_set_aside");
  m_env.decisions.Write(DecisionLine("damaged_data_set_aside")
                            .With("reason", m_failure->message)
                            .With("leader", leader));
  AddSeedNodes(m_probe->nodes());
  m_probe.reset();
  Open();
}

}  // namespace fulmarrock
