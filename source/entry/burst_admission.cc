#include "source/entry/burst_admission.h"

#include <algorithm>
#include <cmath>

namespace fulmarrock {
namespace {

// Rates decay in steps of this interval; customers whose rate falls below
// kNegligible are removed.
constexpr Millis kDecayInterval{50};
constexpr double kNegligible = 0.01;

}  // namespace

Result<void> BurstAdmission::Admit(const AdmissionRequest& request) {
  Decay(request.now);
  if (request.plan) {
    Rate& rate = m_rates[std::string(request.customer)];
    const double weight =
        static_cast<double>(std::max<int64_t>(1, request.plan->weight));
    m_total_weight += weight - (rate.requests > 0 ? rate.weight : 0);
    rate.weight = weight;
    rate.requests += 1;
    m_total_requests += 1;
    if (request.utilization > m_options.max_utilization &&
        ExceedsShare(request))
      return MakeError(ErrorKind::kResourceExhausted,
                       "the service is saturated and customer '" +
                           std::string(request.customer) +
                           "' sends more than its fair share",
                       "send requests more slowly, or again later");
  }
  return m_plans.Admit(request);
}

bool BurstAdmission::ExceedsShare(const AdmissionRequest& request) const {
  const Rate& rate = m_rates.find(request.customer)->second;
  const double share = rate.weight / m_total_weight;
  if (rate.requests <= m_options.burst_factor * share * m_total_requests)
    return false;
  // Even in a burst, a customer may have its share of the requests in progress.
  return static_cast<double>(m_plans.CountInProgress(request.customer)) >=
         share * static_cast<double>(m_plans.CountInProgress());
}

void BurstAdmission::Decay(Millis now) {
  if (now - m_last_decay < kDecayInterval)
    return;
  const double factor =
      std::exp2(-static_cast<double>((now - m_last_decay).count()) /
                static_cast<double>(m_options.half_life.count()));
  m_last_decay = now;
  for (auto& [customer, rate] : m_rates)
    rate.requests *= factor;
  std::erase_if(m_rates, [](const auto& item) {
    return item.second.requests < kNegligible;
  });
  m_total_requests = 0;
  m_total_weight = 0;
  for (const auto& [customer, rate] : m_rates) {
    m_total_requests += rate.requests;
    m_total_weight += rate.weight;
  }
}

}  // namespace fulmarrock
