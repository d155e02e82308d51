#ifndef SOURCE_WORKFLOW_BEST_EFFORT_INTERFERENCE_MODEL_H_
#define SOURCE_WORKFLOW_BEST_EFFORT_INTERFERENCE_MODEL_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// What is expected of a pair of images.
struct Pressure {
  /// Natural logarithm of the factor by which the tail latency grows for each
  /// processor that the fillers use; zero or more.
  double growth_per_core = 0;
  /// Whether enough was measured to rely on it.
  bool is_known = false;
};

/// Learns how fillers of each image raise the tail latency of tasks of other
/// images that serve.
class BestEffortInterferenceModel {
 public:
  virtual ~BestEffortInterferenceModel() = default;

  /// Takes the figures of one worker at one moment.
  virtual void Record(
      std::span<const LatencyCriticalSample> latency_critical_samples,
      std::span<const BestEffortSample> best_effort_samples) = 0;

  virtual Pressure Expect(std::string_view latency_critical_image,
                          std::string_view best_effort_image) const = 0;

  /// Expected latency, in percent of the target, without any filler.
  virtual double BaseOf(std::string_view latency_critical_image) const = 0;

  /// Filler images that were measured.
  virtual std::vector<std::string> FillerImages() const = 0;

  /// All known pairs.
  virtual std::vector<InterferenceCoefficient> KnownSlopes() const = 0;

  /// Forgets everything but these pairs.
  virtual void Restore(
      std::span<const InterferenceCoefficient> interference_coefficients) = 0;
};

/// Baseline: no pair disturbs.
class NoBestEffortInterferenceModel : public BestEffortInterferenceModel {
 public:
  void Record(std::span<const LatencyCriticalSample>,
              std::span<const BestEffortSample>) override {}
  Pressure Expect(std::string_view, std::string_view) const override {
    return {};
  }
  double BaseOf(std::string_view) const override { return 0; }
  std::vector<std::string> FillerImages() const override { return {}; }
  std::vector<InterferenceCoefficient> KnownSlopes() const override {
    return {};
  }
  void Restore(std::span<const InterferenceCoefficient>) override {}
};

/// An exponential model for each serving image: the logarithm of the latency is
/// a base plus the sum over filler images of growth times processors used. It
/// follows single high figures less than a linear model would. The coefficients
/// follow from recursive least squares, with some noise added at each step so
/// that old measurements fade. No filler lowers a latency.
class ExponentialInterferenceModel : public BestEffortInterferenceModel {
 public:
  void Record(std::span<const LatencyCriticalSample> latency_critical_samples,
              std::span<const BestEffortSample> best_effort_samples) override;
  Pressure Expect(std::string_view latency_critical_image,
                  std::string_view best_effort_image) const override;
  double BaseOf(std::string_view latency_critical_image) const override;
  std::vector<std::string> FillerImages() const override;
  std::vector<InterferenceCoefficient> KnownSlopes() const override;
  void Restore(std::span<const InterferenceCoefficient>
                   interference_coefficients) override;

 private:
  /// Estimate of one serving image, in logarithms. Index 0 is the base.
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

  // Position of each filler image among the coefficients, from 1.
  std::map<std::string, size_t, std::less<>> m_indices;
  std::map<std::string, Estimate, std::less<>> m_estimates;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_BEST_EFFORT_INTERFERENCE_MODEL_H_
