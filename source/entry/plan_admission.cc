#include "source/entry/plan_admission.h"

namespace fulmarrock {

Result<void> PlanAdmission::Admit(const AdmissionRequest& request) {
  const std::string customer(request.customer);
  const Plan* plan = request.plan;
  if (!plan)
    return MakeError(ErrorKind::kPermissionDenied,
                     "customer '" + customer + "' has no plan",
                     "ask the operators to add it to the customer list");
  if (m_total >= m_max_total)
    return MakeError(ErrorKind::kResourceExhausted,
                     "the entry has too many requests in progress",
                     "send the request again later");
  if (CountInProgress(customer) >= plan->max_concurrent_requests)
    return MakeError(ErrorKind::kResourceExhausted,
                     "plan '" + plan->name + "' allows " +
                         std::to_string(plan->max_concurrent_requests) +
                         " requests at once",
                     "wait for an answer before sending more, or ask for a "
                     "larger plan");
  ++m_in_progress[customer];
  ++m_total;
  return {};
}

void PlanAdmission::OnEnded(std::string_view customer) {
  const auto it = m_in_progress.find(customer);
  if (it == m_in_progress.end())
    return;
  --m_total;
  if (--it->second == 0)
    m_in_progress.erase(it);
}

int64_t PlanAdmission::CountInProgress(std::string_view customer) const {
  const auto it = m_in_progress.find(customer);
  return it == m_in_progress.end() ? 0 : it->second;
}

}  // namespace fulmarrock
