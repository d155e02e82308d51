#ifndef SOURCE_ENTRY_RETRY_POLICY_H_
#define SOURCE_ENTRY_RETRY_POLICY_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace fulmarrock {

/// Decides whether the entry may send one more copy of a request. Whether a
/// copy would be safe is decided before this is asked.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// Counts a fresh request of a customer.
  virtual void OnFresh(std::string_view customer) = 0;

  /// Asks for a further copy of a request that was sent `attempts` times, and
  /// counts it if it is allowed.
  virtual bool TryRetry(std::string_view customer, int attempts) = 0;
};

/// Baseline: up to a fixed number of copies of each request.
class FixedRetries : public RetryPolicy {
 public:
  explicit FixedRetries(int max_attempts) : m_max_attempts(max_attempts) {}
  void OnFresh(std::string_view) override {}
  bool TryRetry(std::string_view, int attempts) override {
    return attempts < m_max_attempts;
  }

 private:
  int m_max_attempts;
};

/// Limits retries to a share of the fresh traffic, so that retries cannot
/// multiply the load on a failing service. Each customer has a budget of its
/// own, so that the refusals of one in a burst do not cost another its retries.
class RetryBudget : public RetryPolicy {
 public:
  struct Options {
    double share = 0.1;
    /// Retries lent to a customer that has sent nothing before. Without them
    /// the first requests of a quiet customer would fail with their target.
    /// Its first fresh requests pay them back, so the share holds overall.
    double initial = 10;
    /// Retries saved up at most; bounds the burst after a quiet time.
    double max_saved = 20;
    int max_attempts = 4;
    /// Customers with a budget; further ones have no retries.
    size_t max_customers = 10'000;
  };

  explicit RetryBudget(Options options) : m_options(options) {}

  void OnFresh(std::string_view customer) override;
  bool TryRetry(std::string_view customer, int attempts) override;

 private:
  struct Account {
    double saved = 0;
    double owed = 0;
  };

  Options m_options;
  std::map<std::string, Account, std::less<>> m_accounts;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_RETRY_POLICY_H_
