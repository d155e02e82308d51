#ifndef SOURCE_AGENT_WORKER_ANNOUNCEMENT_H_
#define SOURCE_AGENT_WORKER_ANNOUNCEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "source/base/millis.h"
#include "source/message/workflow.h"

namespace fulmarrock {

/// Registration or heartbeat of a worker.
struct WorkerAnnouncement {
  WorkerIncarnation worker_incarnation;
  /// Address at which the worker accepts requests, as "ip:port".
  std::string address;
  WorkerAttributes attributes;
  bool is_draining = false;
  /// Increases with each announcement of one worker incarnation.
  uint64_t sequence = 0;
  std::optional<Millis> worker_clock;
};

/// Last message of a worker before its planned end.
struct WorkerDeregistration {
  std::string id;
  /// Start time of the incarnation that ends; not set by workers that do not
  /// include it.
  std::optional<int64_t> start_time_unix_ms;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_WORKER_ANNOUNCEMENT_H_
