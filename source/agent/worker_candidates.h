#ifndef SOURCE_AGENT_WORKER_CANDIDATES_H_
#define SOURCE_AGENT_WORKER_CANDIDATES_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "source/agent/run_client.h"
#include "source/agent/worker_announcement.h"
#include "source/base/clock.h"

namespace fulmarrock {

/// Worker incarnations that were announced and are not the agent's current one.
///
/// An announcement alone proves nothing: it may come from another program, or
/// arrive late. A candidate is confirmed once the worker at its address
/// responds to an identity request as that incarnation. One that another
/// incarnation responds for, or that does not respond in time, is discarded.
class WorkerCandidates {
 public:
  /// `identity` is kConfirmed or kIdOnly.
  using OnConfirmed = std::function<void(const WorkerAnnouncement& announcement,
                                         WorkerIdentity identity)>;

  /// The references outlive this object.
  WorkerCandidates(const Clock& clock,
                   RunClient& client,
                   OnConfirmed on_confirmed)
      : m_clock(clock),
        m_client(client),
        m_on_confirmed(std::move(on_confirmed)) {}

  /// Adds a candidate, or updates it by a newer announcement, and sends the
  /// identity requests that are due.
  void Add(const WorkerAnnouncement& announcement, uint64_t fencing_token);

  /// Discards candidates that were not announced again, and repeats identity
  /// requests without a response.
  void OnTick(uint64_t fencing_token);

  /// Whether a worker incarnation at this address is not confirmed yet.
  bool HasAddress(std::string_view address) const;

 private:
  struct Candidate {
    WorkerAnnouncement announcement;
    Millis announced_at;
    Millis next_request;
    bool is_request_in_flight = false;
  };
  using Candidates = std::vector<Candidate>;

  Candidates::iterator Find(const WorkerAnnouncement& announcement);
  void SendRequest(Candidate& candidate, uint64_t fencing_token);
  void OnResponse(const WorkerAnnouncement& announcement,
                  WorkerIdentity identity);

  const Clock& m_clock;
  RunClient& m_client;
  const OnConfirmed m_on_confirmed;
  Candidates m_candidates;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKER_CANDIDATES_H_
