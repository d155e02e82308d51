#include "source/agent/request_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace fulmarrock {

std::optional<QueuedRequest> RequestQueue::Push(QueuedRequest request) {
  Band& band = m_bands[static_cast<size_t>(request.forward.request_class)];
  const auto [it, is_new] = band.flows.try_emplace(request.forward.customer);
  Flow& flow = it->second;
  flow.weight =
      static_cast<double>(std::max<int64_t>(1, request.forward.weight));
  // An idle customer does not save up service for later.
  if (is_new || flow.requests.empty())
    flow.start = std::max(flow.start, band.virtual_time);
  const Millis deadline = request.deadline;
  flow.requests.emplace(deadline, std::move(request));
  ++m_size;
  if (m_size <= m_capacity)
    return std::nullopt;
  return TakeWorst();
}

std::optional<QueuedRequest> RequestQueue::Pop() {
  for (Band& band : m_bands) {
    Flow* next = nullptr;
    for (auto& [customer, flow] : band.flows) {
      if (!flow.requests.empty() && (!next || flow.start < next->start))
        next = &flow;
    }
    if (!next)
      continue;
    band.virtual_time = std::max(band.virtual_time, next->start);
    next->start += 1 / next->weight;
    QueuedRequest request = std::move(next->requests.begin()->second);
    next->requests.erase(next->requests.begin());
    --m_size;
    ForgetIdleFlows(band);
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
    for (const auto& [customer, flow] : m_bands[i].flows)
      ahead += flow.requests.size();
  }
  const Band& band = m_bands[band_index];
  const auto own = band.flows.find(request.customer);
  const double own_count =
      own == band.flows.end()
          ? 0
          : static_cast<double>(own->second.requests.size());
  const double rounds = (own_count + 1) / static_cast<double>(std::max<int64_t>(
                                              1, request.weight));
  // Another customer is served at most its weight's share in the rounds that
  // pass until the own request is reached.
  for (const auto& [customer, flow] : band.flows) {
    const double count = static_cast<double>(flow.requests.size());
    ahead += static_cast<size_t>(
        customer == request.customer
            ? count
            : std::min(count, std::ceil(rounds * flow.weight)));
  }
  return ahead;
}

template <typename Predicate>
std::vector<QueuedRequest> RequestQueue::TakeIf(Predicate predicate) {
  std::vector<QueuedRequest> taken;
  for (Band& band : m_bands) {
    for (auto& [customer, flow] : band.flows) {
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
    ForgetIdleFlows(band);
  }
  return taken;
}

QueuedRequest RequestQueue::TakeWorst() {
  for (size_t i = kBandCount; i-- > 0;) {
    Flow* worst = nullptr;
    double worst_share = 0;
    for (auto& [customer, flow] : m_bands[i].flows) {
      const double share =
          static_cast<double>(flow.requests.size()) / flow.weight;
      if (share > worst_share) {
        worst = &flow;
        worst_share = share;
      }
    }
    if (!worst)
      continue;
    const auto last = std::prev(worst->requests.end());
    QueuedRequest request = std::move(last->second);
    worst->requests.erase(last);
    --m_size;
    return request;
  }
  return {};
}

void RequestQueue::ForgetIdleFlows(Band& band) {
  const bool is_empty = std::all_of(
      band.flows.begin(), band.flows.end(),
      [](const auto& item) { return item.second.requests.empty(); });
  std::erase_if(band.flows, [&](const auto& item) {
    return item.second.requests.empty() &&
           (is_empty || item.second.start <= band.virtual_time);
  });
}

}  // namespace fulmarrock
