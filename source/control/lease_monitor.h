#ifndef SOURCE_CONTROL_LEASE_MONITOR_H_
#define SOURCE_CONTROL_LEASE_MONITOR_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "source/base/millis.h"
#include "source/control/commands.h"
#include "source/message/lease.h"

namespace fulmarrock {

/// A change of a worker's leases or availability that Scan() detected.
struct LeaseEvent {
  enum class Kind {
    kExpired,         ///< All leases of the current incarnation have expired.
    kOrphansExpired,  ///< The leases of earlier incarnations have expired.
    kPlacementsStopped,  ///< No tasks may be placed on the worker.
    kPlacementsResumed,  ///< Tasks may be placed on the worker again.
    kRemovable,          ///< Unresponsive for so long that it may be removed.
  };
  Kind kind = Kind::kExpired;
  WorkerIndex worker = kNoWorker;
};

/// Tracks the lease renewals of all workers, by the times at which this leader
/// received them. Restarts with each leadership.
class LeaseMonitor {
 public:
  /// Time from the receipt of a renewal until the lease has expired even with
  /// maximum clock drift.
  static constexpr Millis kSafeLeaseDuration =
      kLeaseDuration + kClockDriftMargin;

  /// Time for which a replaced leader may still reply to renewals until its
  /// quorum check fails. A new leader adds it to the first deadline of each
  /// lease.
  static constexpr Millis kLeaderOverlap{1'000};

  /// Time without a renewal, or without a confirmed reply, after which a worker
  /// gets no more tasks: two missed renewals or replies.
  static constexpr Millis kUnresponsiveAfter{9'000};
  static constexpr Millis kRemovableAfter = Millis::FromSeconds(3600);

  /// Starts a leadership: every worker counts as just renewed.
  void Reset(WorkerIndex count, Millis now);

  /// Handles the announcement of a worker. After a restart the leases of the
  /// previous incarnation keep their own deadline.
  void OnAnnounced(WorkerIndex worker, bool is_restart, Millis now);

  /// Records a renewal by the current incarnation. `answered_at` is the send
  /// time of the newest renewal to which the agent received a reply. Returns
  /// false when a worker with leases received no reply for a whole lease
  /// duration: such a worker never receives its grants, so its leases must not
  /// be renewed and its tasks run elsewhere once the leases have expired.
  bool OnRenewal(WorkerIndex worker,
                 Millis sent_at,
                 Millis answered_at,
                 bool has_leases,
                 Millis now);

  /// Whether the release of the worker's leases is proposed, so that they must
  /// not be renewed any more.
  bool IsExpiring(WorkerIndex worker) const;

  /// Whether all leases of the worker's current incarnation have expired even
  /// with maximum clock drift.
  bool HasExpired(WorkerIndex worker, Millis now) const;

  /// Called when the leases were released: renewals are accepted again.
  void OnReleased(WorkerIndex worker);

  /// Send time, by the agent's clock, of the newest renewal that this leader
  /// received, if any.
  std::optional<Millis> LastSentAt(WorkerIndex worker) const;

  /// Whether tasks may be placed on the worker.
  bool IsAvailable(WorkerIndex worker) const;

  /// Allows no placements on a worker until the given time.
  void PausePlacements(WorkerIndex worker, Millis until);

  /// Checks the next part of the workers. With one call per tick, each worker
  /// is checked about once a second.
  std::vector<LeaseEvent> Scan(Millis now);

 private:
  struct Entry {
    Millis last_contact_at;
    Millis deadline;
    Millis orphan_deadline;
    Millis last_sent_at;
    Millis placements_paused_until;
    // First renewal whose reply the agent has not confirmed: its send time by
    // the agent's clock, and its receipt by the local clock.
    Millis unconfirmed_sent_at;
    Millis unconfirmed_since;
    bool has_unconfirmed_reply = false;
    bool has_renewal = false;
    bool is_expiring = false;
    bool is_available = true;
    bool has_orphans = false;
  };

  Entry& Get(WorkerIndex worker);
  void Check(WorkerIndex worker, Millis now, std::vector<LeaseEvent>& events);

  std::vector<Entry> m_entries;
  WorkerIndex m_next_worker = 0;
  Millis m_reset_at;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_LEASE_MONITOR_H_
