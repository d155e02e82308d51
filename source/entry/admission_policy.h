#ifndef SOURCE_ENTRY_ADMISSION_POLICY_H_
#define SOURCE_ENTRY_ADMISSION_POLICY_H_

#include <string_view>

#include "source/base/error.h"
#include "source/base/millis.h"
#include "source/message/configuration.h"

namespace fulmarrock {

/// A request that asks for admission.
struct AdmissionRequest {
  std::string_view customer;
  /// The customer's plan, or null without one.
  const Plan* plan = nullptr;
  /// Requests at the service's targets, estimated, per slot.
  double utilization = 0;
  Millis now;
};

/// Decides whether an entry takes a request of a customer.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// Counts one more request of the customer, or returns the reason and remedy
  /// of a refusal: kPermissionDenied when repeating is useless, and
  /// kResourceExhausted when a later try may succeed.
  virtual Result<void> Admit(const AdmissionRequest& request) = 0;

  /// Counts an admitted request of the customer as ended.
  virtual void OnEnded(std::string_view customer) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ADMISSION_POLICY_H_
