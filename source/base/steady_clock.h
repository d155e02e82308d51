#ifndef SOURCE_BASE_STEADY_CLOCK_H_
#define SOURCE_BASE_STEADY_CLOCK_H_

#include "source/base/clock.h"

namespace fulmarrock {

/// Clock of the running system, unaffected by changes of the wall clock.
class SteadyClock : public Clock {
 public:
  Millis Now() const override;
};

}  // namespace fulmarrock

#endif  // SOURCE_BASE_STEADY_CLOCK_H_
