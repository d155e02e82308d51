#include "source/base/steady_clock.h"

#include <chrono>

namespace fulmarrock {

Millis SteadyClock::Now() const {
  const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

}  // namespace fulmarrock
