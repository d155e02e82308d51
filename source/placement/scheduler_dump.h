#ifndef SOURCE_PLACEMENT_SCHEDULER_DUMP_H_
#define SOURCE_PLACEMENT_SCHEDULER_DUMP_H_

#include <string>

#include "source/placement/cluster.h"
#include "source/placement/pending_queue.h"
#include "source/placement/reservation_table.h"

namespace fulmarrock {

/// Returns the state of a scheduler as JSON, for operators.
std::string DumpScheduler(const PendingQueue& queue,
                          const Cluster& cluster,
                          const ReservationTable& reservations);

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_SCHEDULER_DUMP_H_
