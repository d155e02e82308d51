#ifndef SOURCE_BASE_CLOCK_H_
#define SOURCE_BASE_CLOCK_H_

#include "source/base/millis.h"

namespace fulmarrock {

/// Source of the current time for all decision logic.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns the current instant. Never goes backwards.
  virtual Millis Now() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_CLOCK_H_
