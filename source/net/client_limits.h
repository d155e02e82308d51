#ifndef SOURCE_NET_CLIENT_LIMITS_H_
#define SOURCE_NET_CLIENT_LIMITS_H_

#include <cstddef>

#include "source/base/millis.h"
#include "source/config/settings.h"

namespace fulmarrock {

/// What the operating system lets this process use.
struct ProcessLimits {
  size_t memory_bytes = 0;
  size_t descriptors = 0;
};

/// Reads the limits of this process: the smallest of the instance's memory and
/// the limits on the process's memory, and the limit on open descriptors.
ProcessLimits ReadProcessLimits();

/// What the clients of a process may use of it.
struct ClientLimits {
  /// Memory for unfinished requests of HTTP clients.
  size_t request_memory = 0;
  /// Memory for unfinished messages of other processes.
  size_t message_memory = 0;
  /// Open connections of the callers' interface, of the process's own HTTP
  /// interface, of each other HTTP interface, and from other processes.
  unsigned caller_connections = 0;
  unsigned http_connections = 0;
  unsigned service_connections = 0;
  unsigned peer_connections = 0;
  /// Longest time to receive the body of a request.
  Millis body_timeout;
  /// Longest time to receive a message of another process.
  Millis message_timeout;
  /// Time after which an idle HTTP connection is closed.
  Millis idle_timeout;
};

/// Returns the limits of the settings. Those that are not set are derived from
/// the limits of the process.
ClientLimits MakeClientLimits(const ClientLimitSettings& settings,
                              const ProcessLimits& process);

}  // namespace fulmarrock

#endif  // SOURCE_NET_CLIENT_LIMITS_H_
