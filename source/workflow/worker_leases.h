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

/// Leader's record of when each worker's lease has expired even with maximum
/// clock drift.
///
/// An agent counts its lease from the time it sent a report, and the leader
/// from the later time it received that report, plus an allowance for clock
/// drift. A leader without a report of a worker assumes that its predecessor
/// extended the lease just before this leader was elected.
class WorkerLeases {
 public:
  explicit WorkerLeases(Millis duration) : m_duration(duration) {}

  /// Changes the lease duration; must be called before the first worker is
  /// added.
  void SetDuration(Millis duration) { m_duration = duration; }

  /// Removes all workers at the start of a leadership.
  void Reset(Millis now);

  /// Adds a worker, whose lease may be valid.
  void Add(WorkerNumber worker);
  void Remove(WorkerNumber worker);

  /// Extends a lease. Returns false while the worker's runs are being released,
  /// during which nothing may extend it.
  bool OnReport(WorkerNumber worker, Millis now);

  /// Returns workers whose lease has expired since the last call, and marks
  /// their runs as being released.
  std::vector<WorkerNumber> TakeExpired(Millis now);

  /// The release of an expired worker's runs was applied.
  void OnReleased(WorkerNumber worker);

  /// Whether the last report is recent enough to give the worker new runs.
  bool HasRecentReport(WorkerNumber worker, Millis now) const;

  Millis duration() const { return m_duration; }

 private:
  struct Lease {
    Millis last_report_at;
    bool has_report = false;
    bool is_expired = false;
    bool is_releasing = false;
  };

  Millis ExpiryOf(const Lease& lease) const;

  Millis m_duration;
  Millis m_started_at;
  std::map<WorkerNumber, Lease> m_leases;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKER_LEASES_H_
