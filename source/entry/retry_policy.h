#ifndef SOURCE_ENTRY_RETRY_POLICY_H_
#define SOURCE_ENTRY_RETRY_POLICY_H_

namespace fulmarrock {

/// Decides whether the entry may send one more copy of a request. Whether a
/// copy would be safe is decided before this is asked.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// Counts a fresh request.
  virtual void OnFresh() = 0;

  /// Asks for a further copy of a request that was sent `attempts` times, and
  /// counts it if it is allowed.
  virtual bool TryRetry(int attempts) = 0;
};

/// Baseline: up to a fixed number of copies of each request.
class FixedRetries : public RetryPolicy {
 public:
  explicit FixedRetries(int max_attempts) : m_max_attempts(max_attempts) {}
  void OnFresh() override {}
  bool TryRetry(int attempts) override { return attempts < m_max_attempts; }

 private:
  int m_max_attempts;
};

/// Limits retries to a share of the fresh traffic, so that retries cannot
/// multiply the load on a failing service.
class RetryBudget : public RetryPolicy {
 public:
  struct Options {
    double share = 0.1;
    /// Retries saved up at most; bounds the burst after a quiet time.
    double max_saved = 20;
    /// Available right after the start, so that an entry with little traffic
    /// gets over a single failure.
    double initial = 1;
    int max_attempts = 4;
  };

  explicit RetryBudget(Options options)
      : m_options(options), m_saved(options.initial) {}

  void OnFresh() override;
  bool TryRetry(int attempts) override;

 private:
  Options m_options;
  double m_saved;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_RETRY_POLICY_H_
