#include "source/control/claim_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fulmarrock {
namespace {

// The length prefix keeps ("a", "bc") and ("ab", "c") apart.
std::string MakeId(const std::string& customer, const std::string& key) {
  return std::to_string(customer.size()) + ":" + customer + key;
}

ClaimReply MakeReply(const ClaimRequest& request,
                     const ClaimRecord& claim,
                     ClaimStatus status) {
  ClaimReply reply;
  reply.id = request.id;
  reply.status = status;
  reply.holder = claim.holder;
  reply.holder_entry = claim.holder_entry;
  reply.outcome = claim.outcome;
  reply.response_status = claim.response_status;
  return reply;
}

}  // namespace

ClaimReply ClaimTable::Claim(const ClaimCommand& command, Millis now) {
  const ClaimRequest& request = command.request;
  ClaimReply refusal;
  refusal.id = request.id;
  const std::string id = MakeId(request.customer, request.key);
  const auto it = m_claims.find(id);
  if (it != m_claims.end()) {
    ClaimRecord& claim = it->second;
    const bool is_holder = claim.holder == request.id;
    // A delayed duplicate of a request that released its claim must not claim
    // the key again.
    if (claim.IsReleased() && is_holder)
      return refusal;
    if (!claim.IsReleased()) {
      if (claim.fingerprint != request.fingerprint)
        return MakeReply(request, claim, ClaimStatus::kMismatch);
      if (claim.is_finished)
        return MakeReply(request, claim, ClaimStatus::kFinished);
      return MakeReply(
          request, claim,
          is_holder ? ClaimStatus::kGranted : ClaimStatus::kInProgress);
    }
  } else if (m_claims.size() >= kMaxClaims) {
    return refusal;
  }
  ClaimRecord& claim = m_claims[id];
  claim = ClaimRecord();
  claim.customer = request.customer;
  claim.key = request.key;
  claim.holder = request.id;
  claim.holder_entry = command.entry;
  claim.fingerprint = request.fingerprint;
  claim.time = now;
  m_claim_order.push_back({id, now});
  return MakeReply(request, claim, ClaimStatus::kGranted);
}

void ClaimTable::Finish(const ClaimOutcome& outcome) {
  const auto it = m_claims.find(MakeId(outcome.customer, outcome.key));
  if (it == m_claims.end())
    return;
  ClaimRecord& claim = it->second;
  if (claim.holder != outcome.id || claim.is_finished)
    return;
  claim.is_finished = true;
  claim.outcome = outcome.outcome;
  claim.response_status = outcome.response_status;
}

void ClaimTable::Prune(Millis now) {
  while (!m_claim_order.empty() &&
         m_claim_order.front().time + kRetention <= now) {
    const auto it = m_claims.find(m_claim_order.front().id);
    if (it != m_claims.end() && it->second.time == m_claim_order.front().time)
      m_claims.erase(it);
    m_claim_order.pop_front();
  }
}

std::vector<ClaimRecord> ClaimTable::Save() const {
  std::vector<ClaimRecord> records;
  records.reserve(m_claims.size());
  for (const auto& [id, claim] : m_claims)
    records.push_back(claim);
  // The iteration order of the hash table may differ between members; sorting
  // makes equal states give equal snapshots.
  std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) {
    return std::tie(a.time, a.customer, a.key) <
           std::tie(b.time, b.customer, b.key);
  });
  return records;
}

void ClaimTable::Restore(std::vector<ClaimRecord> records) {
  m_claims.clear();
  m_claim_order.clear();
  for (ClaimRecord& record : records) {
    std::string id = MakeId(record.customer, record.key);
    m_claim_order.push_back({id, record.time});
    m_claims.emplace(std::move(id), std::move(record));
  }
}

}  // namespace fulmarrock
