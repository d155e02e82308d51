#ifndef SOURCE_WORKFLOW_BEST_EFFORT_INTERFERENCE_MODEL_H_
#define SOURCE_WORKFLOW_BEST_EFFORT_INTERFERENCE_MODEL_H_

#include <bitset>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Expected interference of a best-effort image with a latency-critical image.
struct InterferenceEstimate {
  /// Natural logarithm of the factor by which the tail latency grows for each
  /// core that the best-effort tasks use; zero or more.
  double growth_per_core = 0;
  /// Whether the variance of the estimate is low enough to rely on it.
  bool is_known = false;
};

/// Most best-effort images that a model tracks.
inline constexpr size_t kMaxBestEffortImages = 32;

/// A set of the best-effort images that a model has samples of. A position
/// stands for the same image for as long as the model is not restored.
using BestEffortImageSet = std::bitset<kMaxBestEffortImages>;

/// Learns how best-effort tasks of each image raise the tail latency of
/// latency-critical tasks of other images.
class BestEffortInterferenceModel {
 public:
  virtual ~BestEffortInterferenceModel() = default;

  /// Adds the samples of one worker taken at the same time.
  virtual void Record(
      std::span<const LatencyCriticalSample> latency_critical_samples,
      std::span<const BestEffortSample> best_effort_samples) = 0;

  virtual InterferenceEstimate EstimateInterference(
      std::string_view latency_critical_image,
      std::string_view best_effort_image) const = 0;

  /// Expected tail latency, in percent of its objective, without best-effort
  /// tasks.
  virtual double BaselineLatency(
      std::string_view latency_critical_image) const = 0;

  /// Best-effort images with at least one sample whose growth per core beside
  /// the latency-critical image is below a limit.
  virtual BestEffortImageSet ImagesBelow(
      std::string_view latency_critical_image,
      double max_growth_per_core) const = 0;

  /// Coefficients of all pairs whose estimate is known.
  virtual std::vector<InterferenceCoefficient> KnownCoefficients() const = 0;

  /// Replaces everything learned by these coefficients.
  virtual void Restore(
      std::span<const InterferenceCoefficient> interference_coefficients) = 0;
};

/// Baseline: assumes no interference.
class NoBestEffortInterferenceModel : public BestEffortInterferenceModel {
 public:
  void Record(std::span<const LatencyCriticalSample>,
              std::span<const BestEffortSample>) override {}
  InterferenceEstimate EstimateInterference(std::string_view,
                                            std::string_view) const override {
    return {};
  }
  double BaselineLatency(std::string_view) const override { return 0; }
  BestEffortImageSet ImagesBelow(std::string_view, double) const override {
    return {};
  }
  std::vector<InterferenceCoefficient> KnownCoefficients() const override {
    return {};
  }
  void Restore(std::span<const InterferenceCoefficient>) override {}
};

/// An exponential model for each latency-critical image: the logarithm of the
/// latency is a baseline plus the sum over best-effort images of growth per
/// core times cores used. Single high samples affect it less than they would a
/// linear model. Recursive least squares estimates the coefficients; process
/// noise added at each step makes old samples lose weight. Coefficients are
/// never negative, since best-effort tasks do not lower a latency.
class ExponentialInterferenceModel : public BestEffortInterferenceModel {
 public:
  void Record(std::span<const LatencyCriticalSample> latency_critical_samples,
              std::span<const BestEffortSample> best_effort_samples) override;
  InterferenceEstimate EstimateInterference(
      std::string_view latency_critical_image,
      std::string_view best_effort_image) const override;
  double BaselineLatency(
      std::string_view latency_critical_image) const override;
  BestEffortImageSet ImagesBelow(std::string_view latency_critical_image,
                                 double max_growth_per_core) const override;
  std::vector<InterferenceCoefficient> KnownCoefficients() const override;
  void Restore(std::span<const InterferenceCoefficient>
                   interference_coefficients) override;

 private:
  /// Coefficients of one latency-critical image, in logarithms. Index 0 is the
  /// baseline.
  struct Estimate {
    std::vector<double> mean;
    /// Covariance of the coefficients, row by row.
    std::vector<std::vector<double>> covariance;
  };

  size_t IndexOf(std::string_view best_effort_image);
  std::optional<size_t> FindIndex(std::string_view best_effort_image) const;
  static void Grow(Estimate& estimate, size_t size);
  static void Update(Estimate& estimate,
                     const std::vector<double>& inputs,
                     double log_latency);

  // Index of each best-effort image among the coefficients, from 1.
  std::map<std::string, size_t, std::less<>> m_indices;
  std::map<std::string, Estimate, std::less<>> m_estimates;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_BEST_EFFORT_INTERFERENCE_MODEL_H_
