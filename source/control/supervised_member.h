#ifndef SOURCE_CONTROL_SUPERVISED_MEMBER_H_
#define SOURCE_CONTROL_SUPERVISED_MEMBER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/base/counters.h"
#include "source/base/decision_log.h"
#include "source/base/wall_clock.h"
#include "source/control/control_member.h"
#include "source/control/group_probe.h"
#include "source/control/operator_service_proxy.h"

namespace fulmarrock {

struct SupervisedMemberOptions {
  ConsensusOptions consensus;
  WorkflowOptions workflow;
  EvacuationOptions evacuation;
  /// Nodes that may be members of the group.
  std::vector<NodeId> seed_nodes;
  /// Whether members admit each other, so that one whose data folder was
  /// replaced joins again without an operator.
  bool discovers_members = false;
};

/// Dependencies of a supervised member. All of them outlive it.
struct SupervisedMemberEnvironment {
  Clock& clock;
  Transport& transport;
  RandomSource& random;
  Storage& storage;
  const WallClock& wall_clock;
  DecisionLog& decisions;
};

/// A control member that is opened again after its storage failed, with a pause
/// that grows from failure to failure. While it is not open, it takes no part
/// in the group.
///
/// A member with a damaged data folder stays closed until a leader with a
/// quorum replies, so that the group does not need its data. It then sets the
/// data aside and joins the group under a new incarnation. Without member
/// discovery, an operator has to do that.
class SupervisedMember : public Role {
 public:
  SupervisedMember(SupervisedMemberOptions options,
                   const SupervisedMemberEnvironment& environment);

  /// Opens the member. Fails only for what a later attempt cannot change, such
  /// as inconsistent settings.
  Result<void> Start();

  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string DumpState() const override;
  /// Counters "member_opened", "member_failures" and "data_set_aside".
  const Counters& counters() const override { return m_counters; }

  /// Adds nodes that may be members of the group.
  void AddSeedNodes(const std::vector<NodeId>& nodes);

  /// The member, or null while it is not open.
  ControlMember* member() { return m_member.get(); }
  const ControlMember* member() const { return m_member.get(); }

  OperatorService& service() { return m_service; }

 private:
  /// Opens the member or schedules the next attempt; returns the error.
  Result<void> Open();
  Result<std::unique_ptr<ControlMember>> OpenMember();
  void OnFailure(const Error& error);
  void ReplaceDamagedData();

  SupervisedMemberOptions m_options;
  SupervisedMemberEnvironment m_env;
  Counters m_counters;
  OperatorServiceProxy m_service;
  std::unique_ptr<ControlMember> m_member;
  Millis m_opened_at;
  /// Why the member is not open.
  std::optional<Error> m_failure;
  Millis m_pause;
  Millis m_next_attempt;
  /// Set while the data folder is damaged.
  std::unique_ptr<GroupProbe> m_probe;
  bool m_is_shutting_down = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_SUPERVISED_MEMBER_H_
