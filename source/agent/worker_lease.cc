#include "source/agent/worker_lease.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// A worker's clock runs at no less than this share of true speed, in percent.
constexpr int64_t kSlowestClockPercent = 98;

/// Part of the longest step that is used, in percent: short enough that the
/// tasks of a silent worker can soon run elsewhere.
constexpr int64_t kStepPercent = 75;

/// Allowance for timers that fire late.
constexpr Millis kMargin{100};

}  // namespace

WorkerLease::WorkerLease(Millis now, Millis longest_step)
    : m_longest_step(longest_step), m_granted_until(now) {
  m_inherited_until = now + longest_step * 100 / kSlowestClockPercent;
}

void WorkerLease::ResetWorker(Millis now) {
  m_worker_clock.reset();
  m_extended_to = Millis(0);
  m_inherited_until = now;
}

void WorkerLease::OnGranted(Millis sent_at, Millis term) {
  m_granted_until = std::max(m_granted_until, sent_at + term);
}

void WorkerLease::OnWorkerClock(Millis worker_clock, Millis now) {
  m_worker_clock = worker_clock;
  m_clock_at = now;
}

std::optional<Millis> WorkerLease::TakeExtension(Millis now) {
  if (!m_worker_clock || !IsGranted(now))
    return std::nullopt;
  const Millis step = m_longest_step * kStepPercent / 100;
  const Millis until = std::min(m_granted_until, now + step);
  const Millis extension =
      *m_worker_clock + (until - m_clock_at) * kSlowestClockPercent / 100;
  m_extended_to = std::max(m_extended_to, extension);
  return extension;
}

bool WorkerLease::HasSurelyLapsed(Millis now) const {
  if (now < m_inherited_until + kMargin)
    return false;
  if (!m_worker_clock)
    return true;
  const Millis remaining = m_extended_to - *m_worker_clock;
  return now > m_clock_at + remaining * 100 / kSlowestClockPercent + kMargin;
}

}  // namespace fulmarrock
