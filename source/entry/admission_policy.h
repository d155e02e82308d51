#ifndef SOURCE_ENTRY_ADMISSION_POLICY_H_
#define SOURCE_ENTRY_ADMISSION_POLICY_H_

#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/base/millis.h"
#include "source/message/configuration.h"

namespace fulmarrock {

/// What the admission policy learns from the end of a request.
enum class AdmissionSignal {
  kServed,
  kOverloaded,  ///< A target refused it for lack of capacity.
  kOther,
};

/// Decides whether an entry takes a request of a customer.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// Counts one more request of the customer, or returns the reason and remedy
  /// of a refusal: kPermissionDenied when repeating is useless, and
  /// kResourceExhausted when a later try may succeed. `plan` is the customer's,
  /// or null without one.
  virtual Result<void> Admit(std::string_view customer,
                             std::string_view service,
                             const Plan* plan) = 0;

  /// Counts an admitted request as ended.
  virtual void OnEnded(std::string_view customer,
                       std::string_view service,
                       AdmissionSignal signal,
                       Millis now) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_ADMISSION_POLICY_H_
