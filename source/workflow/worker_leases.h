#ifndef SOURCE_WORKFLOW_WORKER_LEASES_H_
#define SOURCE_WORKFLOW_WORKER_LEASES_H_

#include <map>
#include <set>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/workflow_messages.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// Leader's record of when each worker's lease surely ends.
///
/// An agent counts its lease from the moment it sent a report, and the leader
/// from the later moment it received that report, with an allowance for the
/// drift of the clocks. A leader that has not heard from a worker assumes that
/// its predecessor extended the lease just before it was elected.
class WorkerLeases {
 public:
  explicit WorkerLeases(Millis term) : m_term(term) {}

  /// Changes the term; must come before the first worker.
  void SetTerm(Millis term) { m_term = term; }

  /// Forgets everything at the start of a leadership.
  void Reset(Millis now);

  /// Starts watching a worker, whose lease may run.
  void Add(WorkerNumber worker);
  void Remove(WorkerNumber worker);

  /// Extends a lease. Returns false while the worker's runs are being released,
  /// during which nothing may extend it.
  bool OnReport(WorkerNumber worker, Millis now);

  /// Returns workers whose lease has ended since the last call.
  std::vector<WorkerNumber> TakeExpired(Millis now);

  /// The release of an expired worker's runs was applied.
  void OnReleased(WorkerNumber worker);

  /// Whether the worker reported lately enough to be given work.
  bool IsHeard(WorkerNumber worker, Millis now) const;

  Millis term() const { return m_term; }

 private:
  struct Lease {
    Millis heard_at;
    bool is_heard = false;
    bool is_expired = false;
    bool is_releasing = false;
  };

  Millis EndOf(const Lease& lease) const;

  Millis m_term;
  Millis m_started_at;
  std::map<WorkerNumber, Lease> m_leases;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKER_LEASES_H_
