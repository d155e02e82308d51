#ifndef SOURCE_AGENT_WORKER_LEASE_H_
#define SOURCE_AGENT_WORKER_LEASE_H_

#include <cstddef>
#include <optional>

#include "source/agent/run_client.h"
#include "source/base/active_clock.h"
#include "source/base/clock.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Computes the lease that an agent passes on to its worker.
///
/// Control grants a lease that lasts from the moment the agent sent a report.
/// The worker measures time on its own clock, which may be slow and stands
/// still while the instance is suspended, and ends all runs at a deadline on
/// that clock. The agent extends the deadline in small steps, so that runs do
/// not continue for long when the agent dies.
///
/// Time is counted conservatively in each direction: control's grant ends on
/// the agent's clock, which includes suspensions, and the worker's lease on an
/// ActiveClock, which never runs ahead of the worker's.
class WorkerLease {
 public:
  /// `max_extension` is the longest extension that the worker accepts at once.
  /// The clocks outlive this object.
  WorkerLease(const Clock& clock,
              ActiveClock& active_clock,
              Millis max_extension);

  /// A new worker incarnation started, whose clock is unknown. If it has the id
  /// of the earlier one, requests that were meant for that one reached it and
  /// may have extended its lease.
  void ResetWorker(bool has_same_id);

  /// Another incarnation under the worker's id received a request that was
  /// meant for the current one and may have given it the longest lease.
  void OnOtherIncarnation();

  /// Control granted a lease of length `duration` for a report that was sent at
  /// `sent_at`.
  void OnGranted(Millis sent_at, Millis duration);

  /// The worker reported its clock in a response to a request that was sent at
  /// `sent_at`. `has_start_time`: whether it is known that the current
  /// incarnation responded.
  void OnResponse(Millis worker_clock, Millis sent_at, bool has_start_time);

  /// A request got no response. No extension is sent until the worker responds
  /// to a request that was sent later, so that the lease of an unresponsive
  /// worker expires.
  void OnNoResponse();

  /// Whether the last request got no response.
  bool IsUnanswered() const { return m_unanswered_since.has_value(); }

  /// The current incarnation announced itself, when its clock was
  /// `worker_clock`.
  void OnAnnouncement(Millis worker_clock);

  /// Whether the agent may start runs and extend the lease.
  bool IsGranted() const { return m_clock.Now() < m_granted_until; }

  /// Returns the deadline on the worker's clock to which runs may be extended
  /// now, or nothing if there is no valid lease, the clock is unknown or the
  /// worker is unresponsive. The deadline counts as sent to the worker in a
  /// request whose end is passed to OnExtensionEnded().
  std::optional<Millis> TakeExtension();

  /// A request with an extension ended. Unless its recipient is known, another
  /// incarnation under the worker's id may have received it, on whose clock the
  /// deadline lies so far ahead that it took the longest lease.
  void OnExtensionEnded(Recipient recipient);

  /// Whether the worker's lease has expired even with maximum clock drift, so
  /// that all runs on it have ended. That holds once the longest lease has
  /// passed which any request may have given.
  bool HasExpired() const;

 private:
  Millis LongestExtension() const;
  /// Active time until which the longest extension lasts if it begins now.
  Millis LongestLeaseEnd();
  /// Highest value that the worker's clock may have had at a time since its
  /// last response.
  Millis LatestWorkerClock(Millis time) const;
  /// The current incarnation is known to have been the only one up to `time`.
  void ConfirmIncarnation(Millis time);

  const Clock& m_clock;
  ActiveClock& m_active_clock;
  const Millis m_max_extension;
  Millis m_granted_until;
  std::optional<Millis> m_worker_clock;
  // Active time of the response that held `m_worker_clock`, and when the
  // request for it was sent.
  Millis m_worker_clock_read_at;
  Millis m_worker_clock_requested_at;
  // Latest deadline that was sent to the worker, on its clock.
  Millis m_worker_deadline;
  // Active time until which a lease may last that an earlier agent process, or
  // requests for an earlier worker incarnation, extended.
  Millis m_unknown_lease_until;
  size_t m_extensions_in_flight = 0;
  // Active time until which a lease may last that another incarnation took from
  // an extension that was meant for the current one; nothing if none did.
  std::optional<Millis> m_unconfirmed_lease_until;
  // When the last of these extensions ended.
  Millis m_unconfirmed_at;
  std::optional<Millis> m_unanswered_since;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKER_LEASE_H_
