#ifndef SOURCE_AGENT_BEST_EFFORT_CONTROLLER_H_
#define SOURCE_AGENT_BEST_EFFORT_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "source/agent/speed_limit_policy.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// CPU use of the best-effort tasks of one image in one poll response.
struct ImageCpuUse {
  std::string image;
  int64_t cpu_millicores = 0;
};

/// Sets the speed limit of the best-effort tasks of each image. The limit
/// depends on the latency of those latency-critical tasks to whose slowdown the
/// image contributes most, or for which its interference is not known yet. An
/// image that contributes little is limited only when a latency stays over its
/// target nevertheless.
class BestEffortController {
 public:
  using MakePolicy = std::function<std::unique_ptr<SpeedLimitPolicy>()>;

  explicit BestEffortController(MakePolicy make_policy)
      : m_make_policy(std::move(make_policy)) {}

  /// Discards the measurements of an earlier worker incarnation.
  void Reset();

  /// Adds or replaces interference coefficients that control has estimated.
  void SetInterferenceCoefficients(
      std::span<const InterferenceCoefficient> interference_coefficients);

  /// Updates the speed limits from the measurements of one poll response.
  void Update(std::span<const LatencyCriticalSample> latency_critical_samples,
              std::span<const ImageCpuUse> cpu_uses,
              Millis now);

  /// Speed limit of the best-effort tasks of an image, in percent of full
  /// speed; 100 for an unknown image.
  int64_t SpeedLimitOf(std::string_view image) const;

  /// CPU use and speed limit of each image, for the report to control.
  std::vector<BestEffortSample> BestEffortSamples() const;
  const std::vector<LatencyCriticalSample>& latency_critical_samples() const {
    return m_latency_critical_samples;
  }

 private:
  struct ImageState {
    std::unique_ptr<SpeedLimitPolicy> policy;
    int64_t speed_limit_percent = 100;
    double smoothed_cpu = 0;
    Millis last_seen_at;
  };

  void SmoothCpuUse(std::span<const ImageCpuUse> cpu_uses, Millis now);
  /// Upper bound for the speed limits of all images, in percent: zero once some
  /// latency has been over its target for too long, whatever the coefficients.
  int64_t EmergencySpeedLimit(Millis now);
  /// Growth of the tail latency of a latency-critical image, as a natural
  /// logarithm, that the best-effort tasks of an image cause now. Nothing while
  /// the coefficient of the pair is not known.
  std::optional<double> Contribution(const std::string& best_effort,
                                     const ImageState& state,
                                     const std::string& latency_critical) const;
  /// Largest of the known contributions to the latency of a latency-critical
  /// image.
  double LargestContribution(const std::string& latency_critical) const;
  /// Worst latency among the latency-critical tasks to whose slowdown the
  /// best-effort tasks of an image contribute most, or by an unknown amount.
  TailLatency WorstAffectedLatency(const std::string& image,
                                   const ImageState& state) const;

  const MakePolicy m_make_policy;
  std::map<std::string, ImageState, std::less<>> m_images;
  // Growth per core, by best-effort image and latency-critical image.
  std::map<std::string, std::map<std::string, double>>
      m_interference_coefficients;
  std::vector<LatencyCriticalSample> m_latency_critical_samples;
  Millis m_updated_at;
  // Since when a latency has been over its target; zero if none is.
  Millis m_over_target_since;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_BEST_EFFORT_CONTROLLER_H_
