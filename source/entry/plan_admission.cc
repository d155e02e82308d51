#include "source/entry/plan_admission.h"

namespace fulmarrock {

Result<void> PlanAdmission::Admit(std::string_view customer,
                                  std::string_view,
                                  const Plan* plan) {
  if (!plan)
    return MakeError(ErrorKind::kPermissionDenied,
                     "customer '" + std::string(customer) + "' has no plan",
                     "ask the operators to add it to the customer list");
  if (m_total >= m_max_total)
    return MakeError(ErrorKind::kResourceExhausted,
                     "the entry has too many requests in progress",
                     "send the request again later");
  const auto it = m_in_progress.find(customer);
  const int64_t own = it == m_in_progress.end() ? 0 : it->second;
  if (own >= plan->max_concurrent_requests)
    return MakeError(ErrorKind::kResourceExhausted,
                     "plan '" + plan->name + "' allows " +
                         std::to_string(plan->max_concurrent_requests) +
                         " requests at once",
                     "wait for an answer before sending more, or ask for a "
                     "larger plan");
  if (it == m_in_progress.end())
    m_in_progress.emplace(customer, 1);
  else
    ++it->second;
  ++m_total;
  return {};
}

void PlanAdmission::OnEnded(std::string_view customer,
                            std::string_view,
                            AdmissionSignal,
                            Millis) {
  const auto it = m_in_progress.find(customer);
  if (it == m_in_progress.end())
    return;
  --m_total;
  if (--it->second == 0)
    m_in_progress.erase(it);
}

}  // namespace fulmarrock
