#include "source/base/active_clock.h"

namespace fulmarrock {

void ActiveClock::Update() {
  const Millis now = m_clock.Now();
  const Millis gap = now - m_updated_at;
  m_updated_at = now;
  if (gap <= kMaxGap)
    m_now += gap;
}

}  // namespace fulmarrock
