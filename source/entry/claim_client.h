#ifndef SOURCE_ENTRY_CLAIM_CLIENT_H_
#define SOURCE_ENTRY_CLAIM_CLIENT_H_

#include <cstddef>
#include <map>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Repeats claims until they are answered or withdrawn, and outcomes until they
/// are acknowledged, with one control member after the other.
class ClaimClient {
 public:
  struct Options {
    std::vector<NodeId> members;
    Millis resend_interval{200};
    /// Outcomes waiting for control. The oldest is dropped beyond it; its claim
    /// then stays open, and repeats of its key get "outcome unknown".
    size_t max_outcomes = 10'000;
  };

  ClaimClient(Options options,
              const Clock& clock,
              Transport& transport,
              Counters& counters);

  void OnTick();

  /// Starts to ask for a claim.
  void Claim(const ClaimRequest& request);

  /// Asks again after the interval, while another request gives its claim up.
  void ClaimLater(const ClaimRequest& request);

  /// Handles an answer. Returns whether it settles a claim that is asked for.
  bool OnReply(const NodeId& from, const ClaimReply& reply);

  /// Ends asking for a claim.
  void Withdraw(RequestId id) { m_claims.erase(id); }

  /// Starts to report how a claimed request ended.
  void Report(const ClaimOutcome& outcome);
  void OnOutcomeAck(const NodeId& from, const ClaimOutcomeAck& ack);

  /// Outcomes that are not acknowledged yet.
  size_t CountUnreported() const { return m_outcomes.size(); }

 private:
  template <typename T>
  struct Pending {
    T message;
    Millis next_send;
  };

  bool IsMember(const NodeId& node) const;
  template <typename T>
  bool ResendDue(std::map<RequestId, Pending<T>>& pending);
  template <typename T>
  void Send(Pending<T>& pending);

  Options m_options;
  const Clock& m_clock;
  Transport& m_transport;
  Counters& m_counters;
  size_t m_member = 0;
  std::map<RequestId, Pending<ClaimRequest>> m_claims;
  std::map<RequestId, Pending<ClaimOutcome>> m_outcomes;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_CLAIM_CLIENT_H_
