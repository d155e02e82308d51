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

WorkerLease::WorkerLease(const Clock& clock,
                         ActiveClock& active_clock,
                         Millis max_extension)
    : m_clock(clock),
      m_active_clock(active_clock),
      m_max_extension(max_extension),
      m_granted_until(clock.Now()),
      m_unknown_lease_until(LongestLeaseEnd()) {}

Millis WorkerLease::LongestExtension() const {
  return m_max_extension * 100 / kSlowestClockPercent;
}

Millis WorkerLease::LongestLeaseEnd() {
  m_active_clock.Update();
  return m_active_clock.Now() + LongestExtension();
}

Millis WorkerLease::LatestWorkerClock(Millis time) const {
  return *m_worker_clock + (time - m_worker_clock_requested_at);
}

void WorkerLease::ResetWorker(bool has_same_id) {
  m_worker_clock.reset();
  m_worker_deadline = Millis(0);
  m_extensions_in_flight = 0;
  m_unconfirmed_lease_until.reset();
  m_unanswered_since.reset();
  m_unknown_lease_until =
      has_same_id ? LongestLeaseEnd() : m_active_clock.Now();
}

void WorkerLease::OnOtherIncarnation() {
  m_unknown_lease_until = std::max(m_unknown_lease_until, LongestLeaseEnd());
  OnNoResponse();
}

void WorkerLease::OnGranted(Millis sent_at, Millis duration) {
  m_granted_until = std::max(m_granted_until, sent_at + duration);
}

void WorkerLease::OnResponse(Millis worker_clock,
                             Millis sent_at,
                             bool has_start_time) {
  m_active_clock.Update();
  m_worker_clock = worker_clock;
  m_worker_clock_read_at = m_active_clock.Now();
  m_worker_clock_requested_at = sent_at;
  if (m_unanswered_since && sent_at >= *m_unanswered_since)
    m_unanswered_since.reset();
  if (has_start_time)
    ConfirmIncarnation(sent_at);
}

void WorkerLease::OnNoResponse() {
  m_unanswered_since = m_clock.Now();
}

void WorkerLease::OnAnnouncement(Millis worker_clock) {
  // The announcement may have been delayed. Its clock tells when it was sent.
  if (m_worker_clock && worker_clock > LatestWorkerClock(m_unconfirmed_at))
    ConfirmIncarnation(m_unconfirmed_at);
}

void WorkerLease::ConfirmIncarnation(Millis time) {
  if (time >= m_unconfirmed_at)
    m_unconfirmed_lease_until.reset();
}

std::optional<Millis> WorkerLease::TakeExtension() {
  if (!m_worker_clock || !IsGranted() || IsUnanswered())
    return std::nullopt;
  m_active_clock.Update();
  const Millis now = m_clock.Now();
  const Millis step = m_max_extension * kUsedExtensionPercent / 100;
  const Millis length = std::min(m_granted_until - now, step);
  // The worker's clock has advanced by the active time at least.
  const Millis age = m_active_clock.Now() - m_worker_clock_read_at;
  const Millis extension =
      *m_worker_clock + (age + length) * kSlowestClockPercent / 100;
  m_worker_deadline = std::max(m_worker_deadline, extension);
  ++m_extensions_in_flight;
  return extension;
}

void WorkerLease::OnExtensionEnded(Recipient recipient) {
  --m_extensions_in_flight;
  if (recipient != Recipient::kAny)
    return;
  m_unconfirmed_lease_until = LongestLeaseEnd();
  m_unconfirmed_at = m_clock.Now();
}

bool WorkerLease::HasExpired() const {
  const Millis active_now = m_active_clock.Now();
  const Millis other_leases_until =
      std::max(m_unknown_lease_until,
               m_unconfirmed_lease_until.value_or(m_unknown_lease_until));
  if (m_extensions_in_flight > 0 ||
      active_now < other_leases_until + kTimerMargin) {
    return false;
  }
  if (!m_worker_clock)
    return true;
  const Millis remaining = m_worker_deadline - *m_worker_clock;
  return active_now > m_worker_clock_read_at +
                          remaining * 100 / kSlowestClockPercent + kTimerMargin;
}

}  // namespace fulmarrock
