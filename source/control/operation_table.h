#ifndef SOURCE_CONTROL_OPERATION_TABLE_H_
#define SOURCE_CONTROL_OPERATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "source/base/error.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Stored result of an operation, which is returned again to repeated requests.
struct OperationRecord {
  std::string id;
  uint64_t fingerprint = 0;
  Millis time;
  bool is_success = false;
  uint64_t value = 0;
  /// Numeric ErrorKind; kinds unknown to this version are decoded as
  /// kFailedPrecondition.
  uint32_t error_kind = 0;
  std::string error_message;
  std::string error_remedy;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.fingerprint, self.time, self.is_success, self.value,
            self.error_kind, self.error_message, self.error_remedy);
  }
};

/// Results of operators' changes by operation id, so that a repeated request
/// gets the first result. Kept for 24 h, and at most 100,000 of them.
class OperationTable {
 public:
  static constexpr size_t kMaxOperations = 100'000;
  static constexpr Millis kRetention = Millis::FromSeconds(24 * 3600);

  /// Returns the first result of an operation, or null for a new operation.
  /// Returns a kInvalidArgument error when the id was used for another request.
  const Result<uint64_t>* Find(std::string_view id, uint64_t fingerprint);

  /// Records the first result of an operation.
  void Record(const std::string& id,
              uint64_t fingerprint,
              Millis time,
              const Result<uint64_t>& result);

  /// Removes results beyond the retention period or the limit, oldest first.
  void Prune(Millis now);

  size_t size() const { return m_by_id.size(); }
  std::vector<OperationRecord> Save() const;
  void Restore(const std::vector<OperationRecord>& records);

 private:
  struct Entry {
    uint64_t fingerprint = 0;
    Millis time;
    Result<uint64_t> result;
  };

  std::unordered_map<std::string, Entry> m_by_id;
  // Ids in the order of recording.
  std::deque<std::string> m_order;
  Result<uint64_t> m_mismatch;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_OPERATION_TABLE_H_
