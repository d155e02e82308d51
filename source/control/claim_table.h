#ifndef SOURCE_CONTROL_CLAIM_TABLE_H_
#define SOURCE_CONTROL_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/control/commands.h"

namespace fulmarrock {

/// A stored claim of an idempotency key.
struct ClaimRecord {
  std::string customer;
  std::string key;
  RequestId holder;
  NodeId holder_entry;
  uint64_t fingerprint = 0;
  Millis time;
  bool is_finished = false;
  Outcome outcome = Outcome::kOutcomeUnknown;
  int32_t response_status = 0;

  /// Whether the request did not run, so that another request may claim the
  /// key.
  bool IsReleased() const { return is_finished && outcome == Outcome::kNotRun; }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.customer, self.key, self.holder, self.holder_entry,
            self.fingerprint, self.time, self.is_finished, self.outcome,
            self.response_status);
  }
};

/// Claims of the idempotency keys of non-idempotent requests, kept for 24 h.
class ClaimTable {
 public:
  static constexpr Millis kRetention = Millis::FromSeconds(24 * 3600);

  /// New claims are refused beyond this count; a claim takes about 200 bytes.
  static constexpr size_t kMaxClaims = 300'000;

  /// Claims a key for a request, or returns which request holds it. A repeated
  /// claim by the holder is granted again unless the holder has finished.
  ClaimReply Claim(const ClaimCommand& command, Millis now);

  /// Records an outcome if the request holds the claim. Later outcomes do not
  /// replace the first.
  void Finish(const ClaimOutcome& outcome);

  /// Removes claims older than the retention period.
  void Prune(Millis now);

  size_t size() const { return m_claims.size(); }
  std::vector<ClaimRecord> Save() const;
  void Restore(std::vector<ClaimRecord> records);

 private:
  struct ClaimOrder {
    std::string id;
    Millis time;
  };

  std::unordered_map<std::string, ClaimRecord> m_claims;
  // In the order of claiming. An element is stale when another request has
  // claimed the key since.
  std::deque<ClaimOrder> m_claim_order;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_CLAIM_TABLE_H_
