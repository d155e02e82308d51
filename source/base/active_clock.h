#ifndef SOURCE_BASE_ACTIVE_CLOCK_H_
#define SOURCE_BASE_ACTIVE_CLOCK_H_

#include "source/base/clock.h"

namespace fulmarrock {

/// Clock that counts only the time in which this process ran.
///
/// A process on the same instance may have a clock that stands still while the
/// instance is suspended. This process cannot tell a suspension from a time in
/// which only it was stopped, so this clock leaves out both: a deadline on the
/// other clock that has passed by this one has passed there as well.
/// Suspensions of up to `kMaxGap` are not recognized.
class ActiveClock : public Clock {
 public:
  /// Longest time between two updates that counts as time in which this process
  /// ran. An agent that has used up its processor quota does not run for almost
  /// 100 ms.
  static constexpr Millis kMaxGap{250};

  /// Starts at the current time of `clock`, which outlives this object.
  explicit ActiveClock(const Clock& clock)
      : m_clock(clock), m_updated_at(clock.Now()), m_now(m_updated_at) {}

  /// Counts the time since the last update. Called on each tick, and before the
  /// time of another event is taken.
  void Update();

  // Clock:
  /// Returns the time of the last update.
  Millis Now() const override { return m_now; }

 private:
  const Clock& m_clock;
  // The last update, on `m_clock`.
  Millis m_updated_at;
  Millis m_now;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_ACTIVE_CLOCK_H_
