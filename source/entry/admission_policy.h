#ifndef SOURCE_ENTRY_ADMISSION_POLICY_H_
#define SOURCE_ENTRY_ADMISSION_POLICY_H_

#include <string_view>

#include "source/base/error.h"
#include "source/base/millis.h"
#include "source/message/configuration.h"

namespace fulmarrock {

/// The input of an admission decision.
struct AdmissionRequest {
  std::string_view customer;
  /// The customer's plan, or null without one.
  const Plan* plan = nullptr;
  /// Estimated number of requests per slot at the service's targets.
  double utilization = 0;
  Millis now;
};

/// Decides whether an entry accepts a request of a customer.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// Counts one more request in progress for the customer, or returns the
  /// reason and remedy of a refusal: kPermissionDenied when repeating is
  /// useless, kResourceExhausted when a later try may succeed.
  virtual Result<void> Admit(const AdmissionRequest& request) = 0;

  /// Counts an admitted request of the customer as no longer in progress.
  virtual void OnEnded(std::string_view customer) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ADMISSION_POLICY_H_
