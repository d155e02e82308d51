#ifndef SOURCE_AGENT_WORKER_LEASE_H_
#define SOURCE_AGENT_WORKER_LEASE_H_

#include <optional>

#include "source/base/millis.h"

namespace fulmarrock {

/// Arithmetic of the lease that an agent hands on to its worker.
///
/// Control grants a term from the moment the agent sent a report. The worker
/// measures time on a clock of its own that may be slow, and ends everything at
/// a time on that clock; the agent extends it in steps, so that little runs on
/// when the agent dies.
class WorkerLease {
 public:
  /// `longest_step` is the longest extension that the worker accepts.
  WorkerLease(Millis now, Millis longest_step);

  /// A new life of the worker; its clock is unknown, and nothing runs.
  void ResetWorker(Millis now);

  /// Control answered a report that was sent at `sent_at`.
  void OnGranted(Millis sent_at, Millis term);

  /// The worker told its clock; the answer arrived now.
  void OnWorkerClock(Millis worker_clock, Millis now);

  /// Whether the agent may start runs and extend the lease.
  bool IsGranted(Millis now) const { return now < m_granted_until; }

  /// Time on the worker's clock until which runs may be extended now, if the
  /// grant and the clock are known. Counts as sent.
  std::optional<Millis> TakeExtension(Millis now);

  /// Whether everything on the worker has surely ended, as nothing extended its
  /// lease in time.
  bool HasSurelyLapsed(Millis now) const;

 private:
  Millis m_longest_step;
  Millis m_granted_until;
  std::optional<Millis> m_worker_clock;
  Millis m_clock_at;
  // On the worker's clock; what earlier calls extended to.
  Millis m_extended_to;
  // Latest end of what an earlier agent process may have extended to.
  Millis m_inherited_until;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKER_LEASE_H_
