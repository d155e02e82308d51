#ifndef SOURCE_NET_PEER_QUEUE_H_
#define SOURCE_NET_PEER_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>

#include "source/base/counters.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Limits for the frames queued for one peer.
struct PeerQueueLimits {
  size_t max_frames = 8192;
  size_t max_bytes = size_t{16} << 20;
  /// Older frames are dropped unsent; roles have retried by then.
  Millis max_age{5'000};
};

/// Frames queued for the connection to one peer. When full, it drops the oldest
/// periodic frame, which a newer one will replace anyway, or the oldest of all
/// if none is periodic. Every drop is counted.
class PeerQueue {
 public:
  PeerQueue(const PeerQueueLimits& limits, Counters& counters)
      : m_limits(limits), m_counters(counters) {}

  void Push(std::string frame, bool is_periodic, Millis now);

  /// Returns the oldest frame that has not expired, if any.
  std::optional<std::string> Pop(Millis now);

  /// Drops the expired frames, also while the peer cannot be reached.
  void DropExpired(Millis now);

  bool is_empty() const { return m_frames.empty(); }
  size_t size() const { return m_frames.size(); }
  size_t bytes() const { return m_bytes; }

 private:
  struct Item {
    std::string frame;
    bool is_periodic;
    Millis since;
  };
  using Items = std::list<Item>;

  void DropOne();
  void Erase(Items::iterator item);

  const PeerQueueLimits m_limits;
  Counters& m_counters;
  Items m_frames;
  size_t m_periodic_count = 0;
  size_t m_bytes = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_PEER_QUEUE_H_
