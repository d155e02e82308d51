#include "source/agent/worker_candidates.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// A candidate that is not announced again for this time is discarded. Workers
/// announce themselves about once a second.
constexpr Millis kCandidateTimeout{2'500};

/// Delay of the next identity request after one without a response.
constexpr Millis kRequestRetryDelay{200};

/// Most candidates at a time. There is one worker beside an agent, so that more
/// than a few come from other programs.
constexpr size_t kMaxCandidates = 8;

}  // namespace

void WorkerCandidates::Add(const WorkerAnnouncement& announcement,
                           uint64_t fencing_token) {
  auto it = Find(announcement);
  if (it == m_candidates.end()) {
    if (m_candidates.size() >= kMaxCandidates)
      m_candidates.erase(m_candidates.begin());
    it = m_candidates.insert(m_candidates.end(), Candidate());
  } else if (announcement.sequence <= it->announcement.sequence) {
    return;
  }
  it->announcement = announcement;
  it->announced_at = m_clock.Now();
  SendRequest(*it, fencing_token);
}

void WorkerCandidates::OnTick(uint64_t fencing_token) {
  const Millis now = m_clock.Now();
  std::erase_if(m_candidates, [now](const Candidate& candidate) {
    return now - candidate.announced_at >= kCandidateTimeout;
  });
  for (Candidate& candidate : m_candidates)
    SendRequest(candidate, fencing_token);
}

bool WorkerCandidates::HasAddress(std::string_view address) const {
  return std::any_of(m_candidates.begin(), m_candidates.end(),
                     [address](const Candidate& candidate) {
                       return candidate.announcement.address == address;
                     });
}

WorkerCandidates::Candidates::iterator WorkerCandidates::Find(
    const WorkerAnnouncement& announcement) {
  return std::find_if(m_candidates.begin(), m_candidates.end(),
                      [&](const Candidate& candidate) {
                        return candidate.announcement.worker_incarnation ==
                                   announcement.worker_incarnation &&
                               candidate.announcement.address ==
                                   announcement.address;
                      });
}

void WorkerCandidates::SendRequest(Candidate& candidate,
                                   uint64_t fencing_token) {
  if (candidate.is_request_in_flight || m_clock.Now() < candidate.next_request)
    return;
  candidate.is_request_in_flight = true;
  m_client.Identify(
      candidate.announcement.worker_incarnation, candidate.announcement.address,
      fencing_token,
      [this, announcement = candidate.announcement](WorkerIdentity identity) {
        OnResponse(announcement, identity);
      });
}

void WorkerCandidates::OnResponse(const WorkerAnnouncement& announcement,
                                  WorkerIdentity identity) {
  const auto it = Find(announcement);
  if (it == m_candidates.end())
    return;
  it->is_request_in_flight = false;
  it->next_request = m_clock.Now() + kRequestRetryDelay;
  if (identity == WorkerIdentity::kNoResponse)
    return;
  const WorkerAnnouncement latest = it->announcement;
  m_candidates.erase(it);
  if (identity != WorkerIdentity::kOther)
    m_on_confirmed(latest, identity);
}

}  // namespace fulmarrock
