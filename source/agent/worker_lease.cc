#include "source/agent/worker_lease.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// Lowest speed of a worker's clock, in percent of true speed.
constexpr int64_t kSlowestClockPercent = 98;

/// Extensions use this part of the longest one, in percent, so that the lease
/// of an unresponsive worker expires early and its tasks can run elsewhere.
constexpr int64_t kUsedExtensionPercent = 75;

/// Allowance for timers that fire late.
constexpr Millis kTimerMargin{100};

}  // namespace

WorkerLease::WorkerLease(Millis now, Millis max_extension)
    : m_max_extension(max_extension), m_granted_until(now) {
  m_unknown_lease_until = now + LongestExtension();
}

Millis WorkerLease::LongestExtension() const {
  return m_max_extension * 100 / kSlowestClockPercent;
}

void WorkerLease::ResetWorker(Millis now, bool has_same_id) {
  m_worker_clock.reset();
  m_worker_deadline = Millis(0);
  m_unknown_lease_until = has_same_id ? now + LongestExtension() : now;
}

void WorkerLease::OnOtherIncarnation(Millis now) {
  m_unknown_lease_until =
      std::max(m_unknown_lease_until, now + LongestExtension());
}

void WorkerLease::OnGranted(Millis sent_at, Millis duration) {
  m_granted_until = std::max(m_granted_until, sent_at + duration);
}

void WorkerLease::OnWorkerClock(Millis worker_clock, Millis now) {
  m_worker_clock = worker_clock;
  m_worker_clock_read_at = now;
}

std::optional<Millis> WorkerLease::TakeExtension(Millis now) {
  if (!m_worker_clock || !IsGranted(now))
    return std::nullopt;
  const Millis step = m_max_extension * kUsedExtensionPercent / 100;
  const Millis until = std::min(m_granted_until, now + step);
  const Millis extension = *m_worker_clock + (until - m_worker_clock_read_at) *
                                                 kSlowestClockPercent / 100;
  m_worker_deadline = std::max(m_worker_deadline, extension);
  return extension;
}

bool WorkerLease::HasExpired(Millis now) const {
  if (now < m_unknown_lease_until + kTimerMargin)
    return false;
  if (!m_worker_clock)
    return true;
  const Millis remaining = m_worker_deadline - *m_worker_clock;
  return now > m_worker_clock_read_at + remaining * 100 / kSlowestClockPercent +
                   kTimerMargin;
}

}  // namespace fulmarrock
