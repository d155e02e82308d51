#include "source/entry/claim_client.h"

#include <utility>

namespace fulmarrock {

ClaimClient::ClaimClient(Options options,
                         const Clock& clock,
                         Transport& transport,
                         Counters& counters)
    : m_options(std::move(options)),
      m_members(m_options.members),
      m_clock(clock),
      m_transport(transport),
      m_counters(counters) {}

void ClaimClient::OnTick() {
  if (m_members.IsEmpty())
    return;
  const bool has_resent_claim = ResendDue(m_claims);
  const bool has_resent_outcome = ResendDue(m_outcomes);
  // The member did not answer in time, so the next messages go to another one.
  if (has_resent_claim || has_resent_outcome)
    m_members.MoveToNext();
}

void ClaimClient::Claim(const ClaimRequest& request) {
  Pending<ClaimRequest>& pending = m_claims[request.id];
  pending.message = request;
  Send(pending);
}

void ClaimClient::ClaimLater(const ClaimRequest& request) {
  m_claims[request.id] = {request, m_clock.Now() + m_options.resend_interval};
}

bool ClaimClient::OnReply(const NodeId& from, const ClaimReply& reply) {
  const auto it = m_claims.find(reply.id);
  if (!m_members.Contains(from) || it == m_claims.end()) {
    m_counters.Add("claim_reply_dropped");
    return false;
  }
  if (reply.status == ClaimStatus::kUnavailable) {
    m_counters.Add("claim_unavailable");
    return false;
  }
  m_claims.erase(it);
  return true;
}

void ClaimClient::Report(const ClaimOutcome& outcome) {
  Pending<ClaimOutcome>& pending = m_outcomes[outcome.id];
  pending.message = outcome;
  Send(pending);
  if (m_outcomes.size() > m_options.max_outcomes) {
    m_counters.Add("claim_outcome_dropped");
    m_outcomes.erase(m_outcomes.begin());
  }
}

void ClaimClient::OnOutcomeAck(const NodeId& from, const ClaimOutcomeAck& ack) {
  if (m_members.Contains(from))
    m_outcomes.erase(ack.id);
}

template <typename T>
bool ClaimClient::ResendDue(std::map<RequestId, Pending<T>>& pending) {
  bool has_resent = false;
  for (auto& [id, item] : pending) {
    if (item.next_send > m_clock.Now())
      continue;
    Send(item);
    has_resent = true;
  }
  return has_resent;
}

template <typename T>
void ClaimClient::Send(Pending<T>& pending) {
  pending.next_send = m_clock.Now() + m_options.resend_interval;
  if (!m_members.IsEmpty())
    m_transport.Send(m_members.current(), pending.message);
}

}  // namespace fulmarrock
