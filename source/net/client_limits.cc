#include "source/net/client_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace fulmarrock {
namespace {

/// Shares of the process's memory, in percent. The rest is for the state of the
/// roles, and for buffers of the system that are not read yet.
constexpr size_t kRequestMemoryPercent = 15;
constexpr size_t kMessageMemoryPercent = 15;
/// One configuration of the largest size and one message fit in any case.
constexpr size_t kMinMemory = size_t{8} << 20;
constexpr size_t kMaxMemory = size_t{1} << 30;

/// Shares of the process's descriptors, in 32nds. Together they leave a tenth
/// of the descriptors for files and outgoing connections.
constexpr size_t kShareDenominator = 32;
constexpr size_t kCallerShare = 8;
constexpr size_t kHttpShare = 6;
constexpr size_t kServiceShare = 1;
constexpr size_t kPeerShare = 12;
constexpr size_t kMinConnections = 8;
constexpr size_t kMaxConnections = 65'536;

size_t ReadLimit(__rlimit_resource resource) {
  rlimit limit{};
  if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return SIZE_MAX;
  return static_cast<size_t>(limit.rlim_cur);
}

size_t MemoryShare(int64_t setting_mib, size_t percent, size_t memory_bytes) {
  if (setting_mib > 0)
    return static_cast<size_t>(setting_mib) << 20;
  return std::clamp(memory_bytes / 100 * percent, kMinMemory, kMaxMemory);
}

unsigned ConnectionShare(int64_t setting, size_t share, size_t descriptors) {
  if (setting > 0)
    return static_cast<unsigned>(setting);
  return static_cast<unsigned>(
      std::clamp(descriptors / kShareDenominator * share, kMinConnections,
                 kMaxConnections));
}

}  // namespace

ProcessLimits ReadProcessLimits() {
  ProcessLimits limits;
  const long pages = sysconf(_SC_PHYS_PAGES);
  const long page_bytes = sysconf(_SC_PAGESIZE);
  const size_t installed =
      pages > 0 && page_bytes > 0
          ? static_cast<size_t>(pages) * static_cast<size_t>(page_bytes)
          : SIZE_MAX;
  limits.memory_bytes =
      std::min({installed, ReadLimit(RLIMIT_DATA), ReadLimit(RLIMIT_AS)});
  limits.descriptors = ReadLimit(RLIMIT_NOFILE);
  return limits;
}

ClientLimits MakeClientLimits(const ClientLimitSettings& settings,
                              const ProcessLimits& process) {
  size_t memory = process.memory_bytes;
  if (settings.process_memory_mib > 0)
    memory = std::min(memory, static_cast<size_t>(settings.process_memory_mib)
                                  << 20);
  size_t descriptors = process.descriptors;
  if (settings.process_descriptors > 0)
    descriptors = std::min(descriptors,
                           static_cast<size_t>(settings.process_descriptors));
  ClientLimits limits;
  limits.request_memory =
      MemoryShare(settings.request_memory_mib, kRequestMemoryPercent, memory);
  limits.message_memory =
      MemoryShare(settings.message_memory_mib, kMessageMemoryPercent, memory);
  limits.caller_connections =
      ConnectionShare(settings.caller_connections, kCallerShare, descriptors);
  limits.http_connections =
      ConnectionShare(settings.http_connections, kHttpShare, descriptors);
  limits.service_connections =
      ConnectionShare(settings.service_connections, kServiceShare, descriptors);
  limits.peer_connections =
      ConnectionShare(settings.peer_connections, kPeerShare, descriptors);
  limits.body_timeout = settings.body_timeout;
  limits.message_timeout = settings.message_timeout;
  limits.idle_timeout = settings.idle_timeout;
  return limits;
}

}  // namespace fulmarrock
