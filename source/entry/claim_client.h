#ifndef SOURCE_ENTRY_CLAIM_CLIENT_H_
#define SOURCE_ENTRY_CLAIM_CLIENT_H_

#include <cstddef>
#include <map>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/entry/member_rotation.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Sends claim requests to control until they are answered or withdrawn, and
/// claim outcomes until they are acknowledged. Moves on to the next control
/// member when one does not answer in time.
class ClaimClient {
 public:
  struct Options {
    std::vector<NodeId> members;
    Millis resend_interval{200};
    /// Maximum number of unacknowledged outcomes. Beyond it the oldest is
    /// dropped; its claim then stays open, and repeats of its key get "outcome
    /// unknown".
    size_t max_outcomes = 10'000;
  };

  ClaimClient(Options options,
              const Clock& clock,
              Transport& transport,
              Counters& counters);

  void OnTick();

  /// Starts sending a claim request.
  void Claim(const ClaimRequest& request);

  /// Starts sending a claim request after the resend interval; used while
  /// control has yet to release the claim of another request.
  void ClaimLater(const ClaimRequest& request);

  /// Handles a reply. Returns whether it decides a pending claim request.
  bool OnReply(const NodeId& from, const ClaimReply& reply);

  /// Stops sending a claim request.
  void Withdraw(RequestId id) { m_claims.erase(id); }

  /// Starts reporting how a claimed request ended.
  void Report(const ClaimOutcome& outcome);
  void OnOutcomeAck(const NodeId& from, const ClaimOutcomeAck& ack);

  /// Number of outcomes that control has not acknowledged yet.
  size_t CountUnreported() const { return m_outcomes.size(); }

 private:
  template <typename T>
  struct Pending {
    T message;
    Millis next_send;
  };

  template <typename T>
  bool ResendDue(std::map<RequestId, Pending<T>>& pending);
  template <typename T>
  void Send(Pending<T>& pending);

  Options m_options;
  MemberRotation m_members;
  const Clock& m_clock;
  Transport& m_transport;
  Counters& m_counters;
  std::map<RequestId, Pending<ClaimRequest>> m_claims;
  std::map<RequestId, Pending<ClaimOutcome>> m_outcomes;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_CLAIM_CLIENT_H_
