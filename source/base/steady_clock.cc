#include "source/base/steady_clock.h"

#include <ctime>

namespace fulmarrock {

Millis SteadyClock::Now() const {
  // Unlike CLOCK_MONOTONIC, this clock also runs while the instance is
  // suspended, as leases also expire in that time.
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return Millis(int64_t{time.tv_sec} * 1'000 + time.tv_nsec / 1'000'000);
}

}  // namespace fulmarrock
