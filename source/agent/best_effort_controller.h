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

/// Use of processors by the fillers of one image in one look.
struct ImageCpuUse {
  std::string image;
  int64_t cpu_millicores = 0;
};

/// Paces the fillers of each image by the latency of those tasks that they
/// disturb most, or are not yet known to leave alone. The others follow only
/// when a latency stays over its target all the same.
class BestEffortController {
 public:
  using MakePolicy = std::function<std::unique_ptr<SpeedLimitPolicy>()>;

  explicit BestEffortController(MakePolicy make_policy)
      : m_make_policy(std::move(make_policy)) {}

  /// Forgets the figures of an earlier life of the worker.
  void Reset();

  /// Takes what control knows of the images.
  void SetInterferenceCoefficients(
      std::span<const InterferenceCoefficient> interference_coefficients);

  /// Takes the figures of one look.
  void Update(std::span<const LatencyCriticalSample> latency_critical_samples,
              std::span<const ImageCpuUse> uses,
              Millis now);

  /// Share at which fillers of an image work, in percent.
  int64_t PercentOf(std::string_view image) const;

  /// Figures for control.
  std::vector<BestEffortSample> Figures() const;
  const std::vector<LatencyCriticalSample>& latency_critical_samples() const {
    return m_latency_critical_samples;
  }

 private:
  struct Image {
    std::unique_ptr<SpeedLimitPolicy> policy;
    int64_t percent = 100;
    double smoothed_cpu = 0;
    Millis seen_at;
  };

  void Smooth(std::span<const ImageCpuUse> uses, Millis now);
  /// Share that all fillers keep within while some latency stays over its
  /// target, whatever is known of the images, in percent.
  int64_t EmergencyShare(Millis now);
  /// Growth of a serving image's latency, as a logarithm, that the fillers of
  /// an image cause now. Nothing while the pair is not known.
  std::optional<double> Contribution(const std::string& filler,
                                     const Image& state,
                                     const std::string& serving) const;
  /// Largest of the known contributions to a serving image's latency.
  double LargestContribution(const std::string& serving) const;
  /// Latency that the fillers of an image answer for.
  ServingLatency LatencyFor(const std::string& image, const Image& state) const;

  const MakePolicy m_make_policy;
  std::map<std::string, Image, std::less<>> m_images;
  // Growth per processor, by filler image and serving image.
  std::map<std::string, std::map<std::string, double>>
      m_interference_coefficients;
  std::vector<LatencyCriticalSample> m_latency_critical_samples;
  Millis m_updated_at;
  // Since when a latency has been over its target; zero for not.
  Millis m_over_since;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_BEST_EFFORT_CONTROLLER_H_
