#include "source/control/claim_service.h"

namespace fulmarrock {
namespace {

constexpr size_t kMaxKeyBytes = 256;
constexpr size_t kMaxClaimsPerCommand = 4'096;

bool IsWellFormed(const std::string& customer, const std::string& key) {
  return !customer.empty() && customer.size() <= kMaxKeyBytes && !key.empty() &&
         key.size() <= kMaxKeyBytes;
}

}  // namespace

void ClaimService::OnClaim(const NodeId& from,
                           const ClaimRequest& request,
                           CommandBatch& batch) {
  if (!IsWellFormed(request.customer, request.key)) {
    m_counters.Add("control_claims_malformed");
    ClaimReply refusal;
    refusal.id = request.id;
    m_transport.Send(from, refusal);
    return;
  }
  // An overloaded leader does not reply: a refusal could overtake the grant of
  // an earlier duplicate of this request. The entry process sends it again.
  if (batch.claims.size() >= kMaxClaimsPerCommand) {
    m_counters.Add("control_claims_dropped");
    return;
  }
  batch.claims.push_back({from, request});
}

void ClaimService::OnOutcome(const NodeId& from,
                             const ClaimOutcome& outcome,
                             CommandBatch& batch) {
  const bool is_accepted = IsWellFormed(outcome.customer, outcome.key) &&
                           batch.claim_outcomes.size() < kMaxClaimsPerCommand;
  if (!is_accepted) {
    m_counters.Add("control_claim_outcomes_dropped");
    return;
  }
  batch.claim_outcomes.push_back({from, outcome});
}

void ClaimService::OnEffects(const ApplyEffects& effects) {
  for (const auto& [entry, reply] : effects.claims) {
    m_counters.Add("control_claims");
    m_transport.Send(entry, reply);
  }
  for (const auto& [entry, ack] : effects.claim_outcomes)
    m_transport.Send(entry, ack);
}

}  // namespace fulmarrock
