#ifndef SOURCE_CONTROL_CLAIM_SERVICE_H_
#define SOURCE_CONTROL_CLAIM_SERVICE_H_

#include "source/base/counters.h"
#include "source/control/control_state.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// The leader's handling of claims: adds them to the next command and replies
/// once they are committed. A claim whose command is lost with the leadership
/// gets no reply; the entry asks again with the same request id.
class ClaimService {
 public:
  ClaimService(Transport& transport, Counters& counters)
      : m_transport(transport), m_counters(counters) {}

  /// Adds a claim to the command. Refuses malformed ones, and drops any beyond
  /// the limit of one command.
  void OnClaim(const NodeId& from,
               const ClaimRequest& request,
               CommandBatch& batch);
  void OnOutcome(const NodeId& from,
                 const ClaimOutcome& outcome,
                 CommandBatch& batch);

  /// Replies to what was committed.
  void OnEffects(const ApplyEffects& effects);

 private:
  Transport& m_transport;
  Counters& m_counters;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CLAIM_SERVICE_H_
