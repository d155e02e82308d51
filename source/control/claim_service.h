#ifndef SOURCE_CONTROL_CLAIM_SERVICE_H_
#define SOURCE_CONTROL_CLAIM_SERVICE_H_

#include "source/base/counters.h"
#include "source/control/control_state.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// The leader's handling of claims: adds them to the next command batch and
/// replies once they are committed. A claim whose batch is not committed
/// because the leader changed gets no reply; the entry process sends the claim
/// again with the same request id.
class ClaimService {
 public:
  ClaimService(Transport& transport, Counters& counters)
      : m_transport(transport), m_counters(counters) {}

  /// Adds a claim to the batch. Refuses malformed claims, and drops claims
  /// beyond the limit of one batch.
  void OnClaim(const NodeId& from,
               const ClaimRequest& request,
               CommandBatch& batch);
  void OnOutcome(const NodeId& from,
                 const ClaimOutcome& outcome,
                 CommandBatch& batch);

  /// Replies to the claims and outcomes that were committed.
  void OnEffects(const ApplyEffects& effects);

 private:
  Transport& m_transport;
  Counters& m_counters;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CLAIM_SERVICE_H_
