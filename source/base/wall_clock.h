#ifndef SOURCE_BASE_WALL_CLOCK_H_
#define SOURCE_BASE_WALL_CLOCK_H_

#include <cstdint>

namespace fulmarrock {

/// Time of day. It may jump; only work that is due at a time of day uses it.
class WallClock {
 public:
  virtual ~WallClock() = default;

  /// Milliseconds since 1970.
  virtual int64_t NowUnixMs() const = 0;
};

/// The operating system's time of day.
class SystemWallClock : public WallClock {
 public:
  int64_t NowUnixMs() const override;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_WALL_CLOCK_H_
