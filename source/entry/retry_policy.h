#ifndef SOURCE_ENTRY_RETRY_POLICY_H_
#define SOURCE_ENTRY_RETRY_POLICY_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace fulmarrock {

/// Decides whether the entry may send one more attempt of a request. The caller
/// has already checked that a further attempt is safe.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// Counts an original request (not a retry) of a customer.
  virtual void OnOriginalRequest(std::string_view customer) = 0;

  /// Returns whether a request that was sent `attempts` times may be sent once
  /// more, and counts the retry if so.
  virtual bool TryRetry(std::string_view customer, int attempts) = 0;
};

/// Baseline: up to a fixed number of attempts of each request.
class FixedRetries : public RetryPolicy {
 public:
  explicit FixedRetries(int max_attempts) : m_max_attempts(max_attempts) {}
  void OnOriginalRequest(std::string_view) override {}
  bool TryRetry(std::string_view, int attempts) override {
    return attempts < m_max_attempts;
  }

 private:
  int m_max_attempts;
};

/// Limits retries to a share of the original requests, so that retries cannot
/// multiply the load on a failing service. Each customer has its own budget, so
/// that refusals of one customer's burst do not use up the retries of another.
class RetryBudget : public RetryPolicy {
 public:
  struct Options {
    /// Retries allowed per original request.
    double share = 0.1;
    /// Retries advanced to a new customer. Without them, the first requests of
    /// a customer with little traffic would fail with their target. The first
    /// original requests repay the advance, so the share holds overall.
    double initial_balance = 10;
    /// Maximum balance; bounds the burst of retries after a time without any.
    double max_balance = 20;
    int max_attempts = 4;
    /// Maximum number of customers with a budget; further ones get no retries.
    size_t max_customers = 10'000;
  };

  explicit RetryBudget(Options options) : m_options(options) {}

  void OnOriginalRequest(std::string_view customer) override;
  bool TryRetry(std::string_view customer, int attempts) override;

 private:
  struct Account {
    double balance = 0;
    double debt = 0;
  };

  Options m_options;
  std::map<std::string, Account, std::less<>> m_accounts;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_RETRY_POLICY_H_
