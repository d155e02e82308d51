#include "source/agent/request_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace fulmarrock {

std::optional<QueuedRequest> RequestQueue::Push(QueuedRequest request) {
  Band& band = m_bands[static_cast<size_t>(request.forward.request_class)];
  Flow& flow = band[request.forward.customer];
  flow.weight =
      static_cast<double>(std::max<int64_t>(1, request.forward.weight));
  const Millis deadline = request.deadline;
  flow.requests.emplace(deadline, std::move(request));
  ++m_size;
  if (m_size <= m_capacity)
    return std::nullopt;
  return TakeVictim();
}

std::optional<QueuedRequest> RequestQueue::Pop() {
  for (Band& band : m_bands) {
    if (band.empty())
      continue;
    const auto next = std::min_element(
        band.begin(), band.end(), [](const auto& a, const auto& b) {
          return QueuedPerWeight(a.second) < QueuedPerWeight(b.second);
        });
    auto& requests = next->second.requests;
    QueuedRequest request = std::move(requests.begin()->second);
    requests.erase(requests.begin());
    if (requests.empty())
      band.erase(next);
    --m_size;
    return request;
  }
  return std::nullopt;
}

std::optional<QueuedRequest> RequestQueue::Remove(RequestId id) {
  std::vector<QueuedRequest> taken = TakeIf(
      [&](const QueuedRequest& request) { return request.forward.id == id; });
  if (taken.empty())
    return std::nullopt;
  return std::move(taken.front());
}

std::vector<QueuedRequest> RequestQueue::TakeExpired(Millis now) {
  return TakeIf(
      [&](const QueuedRequest& request) { return request.deadline <= now; });
}

std::vector<QueuedRequest> RequestQueue::TakeAll() {
  return TakeIf([](const QueuedRequest&) { return true; });
}

size_t RequestQueue::CountAhead(const RequestForward& request) const {
  const auto band_index = static_cast<size_t>(request.request_class);
  size_t ahead = 0;
  for (size_t i = 0; i < band_index; ++i) {
    for (const auto& [customer, flow] : m_bands[i])
      ahead += flow.requests.size();
  }
  const Band& band = m_bands[band_index];
  const auto own = band.find(request.customer);
  const size_t own_count = own == band.end() ? 0 : own->second.requests.size();
  const double weight =
      static_cast<double>(std::max<int64_t>(1, request.weight));
  for (const auto& [customer, flow] : band) {
    if (customer == request.customer ||
        QueuedPerWeight(flow) <= static_cast<double>(own_count + 1) / weight)
      ahead += flow.requests.size();
  }
  return ahead;
}

template <typename Predicate>
std::vector<QueuedRequest> RequestQueue::TakeIf(Predicate predicate) {
  std::vector<QueuedRequest> taken;
  for (Band& band : m_bands) {
    for (auto& [customer, flow] : band) {
      for (auto it = flow.requests.begin(); it != flow.requests.end();) {
        if (!predicate(it->second)) {
          ++it;
          continue;
        }
        taken.push_back(std::move(it->second));
        it = flow.requests.erase(it);
        --m_size;
      }
    }
    std::erase_if(
        band, [](const auto& item) { return item.second.requests.empty(); });
  }
  return taken;
}

QueuedRequest RequestQueue::TakeVictim() {
  const auto band = std::find_if(m_bands.rbegin(), m_bands.rend(),
                                 [](const Band& b) { return !b.empty(); });
  const auto victim = std::max_element(
      band->begin(), band->end(), [](const auto& a, const auto& b) {
        return QueuedPerWeight(a.second) < QueuedPerWeight(b.second);
      });
  auto& requests = victim->second.requests;
  const auto last = std::prev(requests.end());
  QueuedRequest request = std::move(last->second);
  requests.erase(last);
  if (requests.empty())
    band->erase(victim);
  --m_size;
  return request;
}

double RequestQueue::QueuedPerWeight(const Flow& flow) {
  return static_cast<double>(flow.requests.size()) / flow.weight;
}

}  // namespace fulmarrock
