#ifndef SOURCE_CONTROL_CONTROL_MEMBER_H_
#define SOURCE_CONTROL_CONTROL_MEMBER_H_

#include <memory>
#include <optional>
#include <string>

#include "source/base/clock.h"
#include "source/base/random_source.h"
#include "source/consensus/consensus_node.h"
#include "source/control/control_role.h"
#include "source/message/role.h"
#include "source/message/transport.h"
#include "source/placement/fair_scheduler.h"
#include "source/storage/storage.h"

namespace fulmarrock {

/// Dependencies of a control member. All of them outlive the member.
struct ControlEnvironment {
  Clock& clock;
  Transport& transport;
  RandomSource& random;
  Storage& storage;
};

/// A complete control member: a node of the consensus group, the control role
/// on top of its log, and the scheduler that the role uses while it is the
/// leader.
class ControlMember : public Role {
 public:
  /// Recovers the member from its storage. Fails like ConsensusNode::Open().
  static Result<std::unique_ptr<ControlMember>> Open(
      const ConsensusOptions& options,
      const ControlEnvironment& environment);

  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override { m_role.BeginShutdown(); }
  bool IsDrained() const override { return m_role.IsDrained(); }
  std::string DumpState() const override;
  const Counters& counters() const override { return m_role.counters(); }

  ControlRole& role() { return m_role; }
  const ControlRole& role() const { return m_role; }
  ConsensusNode& consensus() { return *m_consensus; }
  const ConsensusNode& consensus() const { return *m_consensus; }

  /// The error after which the member has stopped working, if any.
  const std::optional<Error>& Failure() const { return m_consensus->Failure(); }

 private:
  ControlMember(const NodeId& node, const ControlEnvironment& environment);

  FairScheduler m_scheduler;
  ControlRole m_role;
  std::unique_ptr<ConsensusNode> m_consensus;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CONTROL_MEMBER_H_
