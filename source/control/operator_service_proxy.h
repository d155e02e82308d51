#ifndef SOURCE_CONTROL_OPERATOR_SERVICE_PROXY_H_
#define SOURCE_CONTROL_OPERATOR_SERVICE_PROXY_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "source/control/operator_service.h"

namespace fulmarrock {

/// Forwards to the service of a control member while the member is open.
/// Otherwise it behaves like a follower that knows no leader, with an empty
/// state: changes fail with kNotLeader.
class OperatorServiceProxy : public OperatorService {
 public:
  explicit OperatorServiceProxy(NodeId self) : m_self(std::move(self)) {}

  /// Sets the service to forward to, or null.
  void SetService(OperatorService* service) { m_service = service; }

  void ApplyConfiguration(ApplyRequest request, Done<uint64_t> done) override;
  void SubmitJob(SubmitRequest request, Done<JobId> done) override;
  void CancelJobs(std::vector<JobId> jobs, Done<uint64_t> done) override;
  void SetWorkerDraining(NodeId worker,
                         bool is_draining,
                         Done<bool> done) override;
  void AddMember(NodeId node,
                 Incarnation incarnation,
                 Done<bool> done) override;
  void RemoveMember(NodeId node, Done<bool> done) override;
  ConfigSnapshot GetConfiguration() const override;
  Result<JobView> ShowJob(JobId job) const override;
  std::vector<JobView> ListJobs(std::string_view customer) const override;
  ClusterStatus GetStatus() const override;
  void SetQueueConfiguration(QueueConfiguration queue_configuration,
                             Done<bool> done) override;
  Result<QueueConfiguration> GetQueueConfiguration() const override;
  void SetEvacuation(EvacuationRequest request, Done<bool> done) override;
  Result<std::vector<DataCentreView>> ListDataCentres() const override;
  NodeId LeaderNode() const override;

 private:
  static tl::unexpected<Error> NotOpenError();

  const NodeId m_self;
  OperatorService* m_service = nullptr;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_OPERATOR_SERVICE_PROXY_H_
