#include "source/net/peer_queue.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {

void PeerQueue::Push(std::string frame, bool is_periodic, Millis now) {
  m_bytes += frame.size();
  m_periodic_count += is_periodic ? 1 : 0;
  m_frames.push_back({std::move(frame), is_periodic, now});
  while (m_frames.size() > m_limits.max_frames ||
         (m_bytes > m_limits.max_bytes && m_frames.size() > 1)) {
    DropOne();
  }
}

void PeerQueue::DropExpired(Millis now) {
  while (!m_frames.empty() && now - m_frames.front().since > m_limits.max_age) {
    m_counters.Add("transport_dropped_expired");
    Erase(m_frames.begin());
  }
}

std::optional<std::string> PeerQueue::Pop(Millis now) {
  DropExpired(now);
  if (m_frames.empty())
    return std::nullopt;
  std::string frame = std::move(m_frames.front().frame);
  m_bytes -= frame.size();
  m_periodic_count -= m_frames.front().is_periodic ? 1 : 0;
  m_frames.pop_front();
  return frame;
}

void PeerQueue::DropOne() {
  auto victim = m_frames.begin();
  if (m_periodic_count > 0) {
    victim = std::find_if(m_frames.begin(), m_frames.end(),
                          [](const Item& item) { return item.is_periodic; });
  }
  m_counters.Add(victim->is_periodic ? "transport_dropped_periodic"
                                     : "transport_dropped_other");
  Erase(victim);
}

void PeerQueue::Erase(Items::iterator item) {
  m_bytes -= item->frame.size();
  m_periodic_count -= item->is_periodic ? 1 : 0;
  m_frames.erase(item);
}

}  // namespace fulmarrock
