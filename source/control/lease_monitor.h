#ifndef SOURCE_CONTROL_LEASE_MONITOR_H_
#define SOURCE_CONTROL_LEASE_MONITOR_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "source/base/millis.h"
#include "source/control/commands.h"
#include "source/message/lease.h"

namespace fulmarrock {

/// Something that came due at a worker.
struct LeaseEvent {
  enum class Kind {
    kExpired,         ///< All leases of the worker surely expired.
    kOrphansExpired,  ///< The leases of its earlier incarnations did.
    kSilent,          ///< Renewals are missing; place nothing there.
    kHeard,           ///< Renewals arrive again.
    kGone,            ///< Silent for so long that it may be forgotten.
  };
  Kind kind = Kind::kExpired;
  WorkerIndex worker = kNoWorker;
};

/// Renewal times of all workers, as the leader has received them. Starts over
/// with each leadership.
class LeaseMonitor {
 public:
  /// Time from the receipt of a renewal until the lease surely expired.
  static constexpr Millis kSafeTerm = kLeaseDuration + kClockDriftMargin;

  /// Time for which a replaced leader may still answer renewals until its
  /// quorum check fails; a new leader adds it to its first wait.
  static constexpr Millis kLeaderOverlap{1'000};

  /// Two missed renewals or answers.
  static constexpr Millis kSilence{9'000};
  static constexpr Millis kGoneAfter = Millis::FromSeconds(3600);

  /// Starts a leadership: every worker counts as renewed just now.
  void Reset(WorkerIndex count, Millis now);

  /// A worker was announced; after a restart the leases of the predecessor
  /// keep their own deadline.
  void OnAnnounced(WorkerIndex worker, bool is_restart, Millis now);

  /// Takes a renewal of the current incarnation, which names the newest one
  /// that the agent saw answered. False when none of the answers of a whole
  /// term arrived: such a worker never learns of its grants. While it has
  /// leases they must not be renewed, so that they end and run elsewhere.
  bool OnRenewal(WorkerIndex worker,
                 Millis sent_at,
                 Millis answered_at,
                 bool has_leases,
                 Millis now);

  /// Whether the release of the worker's leases is proposed, so that they must
  /// not be renewed.
  bool IsExpiring(WorkerIndex worker) const;

  /// Whether all leases of the worker's current incarnation surely expired.
  bool HasExpired(WorkerIndex worker, Millis now) const;

  /// The leases were released; renewals count again.
  void OnReleased(WorkerIndex worker);

  /// The agent's send time of the newest renewal, if this leader has one.
  std::optional<Millis> LastSentAt(WorkerIndex worker) const;

  /// Whether tasks may be placed on the worker.
  bool IsAlive(WorkerIndex worker) const;

  /// Refuses placements on a worker for a while.
  void Pause(WorkerIndex worker, Millis until);

  /// Checks the next part of the workers; calls every tick see each worker
  /// about once a second.
  std::vector<LeaseEvent> Scan(Millis now);

 private:
  struct Entry {
    Millis last_heard;
    Millis deadline;
    Millis orphan_deadline;
    Millis last_sent_at;
    Millis paused_until;
    // First renewal whose answer is not known to have arrived, by the agent's
    // clock and by the own one.
    Millis open_sent_at;
    Millis open_since;
    bool is_answer_open = false;
    bool has_renewal = false;
    bool is_expiring = false;
    bool is_alive = true;
    bool has_orphans = false;
  };

  Entry& Get(WorkerIndex worker);
  void Check(WorkerIndex worker, Millis now, std::vector<LeaseEvent>& events);

  std::vector<Entry> m_entries;
  WorkerIndex m_next = 0;
  Millis m_reset_at;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_LEASE_MONITOR_H_
