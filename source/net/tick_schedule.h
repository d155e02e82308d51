#ifndef SOURCE_NET_TICK_SCHEDULE_H_
#define SOURCE_NET_TICK_SCHEDULE_H_

#include <cstdint>

namespace fulmarrock {

/// Due times of a periodic tick, at fixed multiples of the interval after the
/// start, so that late ticks do not shift later ones. All times are nanoseconds
/// of one clock.
class TickSchedule {
 public:
  TickSchedule(int64_t start, int64_t interval)
      : m_interval(interval), m_next(start + interval) {}

  int64_t next_due() const { return m_next; }

  /// Number of due times that were skipped because a tick came late.
  uint64_t missed() const { return m_missed; }

  /// Returns whether a tick is due, and if so moves on to the first due time
  /// after `now`. Several missed due times yield one tick.
  bool TakeDue(int64_t now) {
    if (now < m_next)
      return false;
    const int64_t passed = (now - m_next) / m_interval;
    m_missed += static_cast<uint64_t>(passed);
    m_next += (passed + 1) * m_interval;
    return true;
  }

 private:
  int64_t m_interval;
  int64_t m_next;
  uint64_t m_missed = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_TICK_SCHEDULE_H_
