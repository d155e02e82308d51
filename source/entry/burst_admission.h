#ifndef SOURCE_ENTRY_BURST_ADMISSION_H_
#define SOURCE_ENTRY_BURST_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>

#include "source/entry/plan_admission.h"

namespace fulmarrock {

/// Limits customers by their plans and, while the targets are nearly saturated,
/// limits customers in a burst to their fair share. The limit depends on the
/// utilization that targets report, so that a burst may use capacity that the
/// other customers leave free.
class BurstAdmission : public AdmissionPolicy {
 public:
  struct Options {
    int64_t max_total = 20'000;
    /// Bursts are limited above this number of requests per slot.
    double max_utilization = 0.95;
    /// A customer is in a burst when it sends more than this many times its
    /// fair share.
    double burst_factor = 1.5;
    /// Half-life of a request in the decaying request rate of its customer.
    Millis half_life{1000};
  };

  explicit BurstAdmission(Options options)
      : m_options(options), m_plans(options.max_total) {}

  Result<void> Admit(const AdmissionRequest& request) override;
  void OnEnded(std::string_view customer) override {
    m_plans.OnEnded(customer);
  }

 private:
  struct Rate {
    double requests = 0;
    double weight = 1;
  };

  void Decay(Millis now);
  bool ExceedsShare(const AdmissionRequest& request) const;

  Options m_options;
  PlanAdmission m_plans;
  std::map<std::string, Rate, std::less<>> m_rates;
  double m_total_requests = 0;
  double m_total_weight = 0;
  Millis m_last_decay;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_BURST_ADMISSION_H_
