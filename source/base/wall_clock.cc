#include "source/base/wall_clock.h"

#include <chrono>

namespace fulmarrock {

int64_t SystemWallClock::NowUnixMs() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

}  // namespace fulmarrock
