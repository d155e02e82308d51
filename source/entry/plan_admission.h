#ifndef SOURCE_ENTRY_PLAN_ADMISSION_H_
#define SOURCE_ENTRY_PLAN_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>

#include "source/entry/admission_policy.h"

namespace fulmarrock {

/// Baseline: limits each customer's requests in progress by its plan, and the
/// total of all customers by a constant.
class PlanAdmission : public AdmissionPolicy {
 public:
  /// `max_total` bounds the memory that requests in progress take.
  explicit PlanAdmission(int64_t max_total) : m_max_total(max_total) {}

  Result<void> Admit(const AdmissionRequest& request) override;
  void OnEnded(std::string_view customer) override;

  int64_t CountInProgress(std::string_view customer) const;
  int64_t CountInProgress() const { return m_total; }

 private:
  int64_t m_max_total;
  int64_t m_total = 0;
  std::map<std::string, int64_t, std::less<>> m_in_progress;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_PLAN_ADMISSION_H_
