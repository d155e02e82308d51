#include "source/control/operator_service_proxy.h"

namespace fulmarrock {

void OperatorServiceProxy::ApplyConfiguration(ApplyRequest request,
                                              Done<uint64_t> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->ApplyConfiguration(std::move(request), std::move(done));
}

void OperatorServiceProxy::SubmitJob(SubmitRequest request, Done<JobId> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->SubmitJob(std::move(request), std::move(done));
}

void OperatorServiceProxy::CancelJobs(std::vector<JobId> jobs,
                                      Done<uint64_t> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->CancelJobs(std::move(jobs), std::move(done));
}

void OperatorServiceProxy::SetWorkerDraining(NodeId worker,
                                             bool is_draining,
                                             Done<bool> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->SetWorkerDraining(std::move(worker), is_draining, std::move(done));
}

void OperatorServiceProxy::AddMember(NodeId node,
                                     Incarnation incarnation,
                                     Done<bool> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->AddMember(std::move(node), incarnation, std::move(done));
}

void OperatorServiceProxy::RemoveMember(NodeId node, Done<bool> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->RemoveMember(std::move(node), std::move(done));
}

ConfigSnapshot OperatorServiceProxy::GetConfiguration() const {
  return m_service ? m_service->GetConfiguration() : ConfigSnapshot();
}

Result<JobView> OperatorServiceProxy::ShowJob(JobId job) const {
  if (!m_service)
    return NotOpenError();
  return m_service->ShowJob(job);
}

std::vector<JobView> OperatorServiceProxy::ListJobs(
    std::string_view customer) const {
  return m_service ? m_service->ListJobs(customer) : std::vector<JobView>();
}

ClusterStatus OperatorServiceProxy::GetStatus() const {
  if (m_service)
    return m_service->GetStatus();
  ClusterStatus status;
  status.member = m_self;
  return status;
}

void OperatorServiceProxy::SetQueueConfiguration(
    QueueConfiguration queue_configuration,
    Done<bool> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->SetQueueConfiguration(std::move(queue_configuration),
                                   std::move(done));
}

Result<QueueConfiguration> OperatorServiceProxy::GetQueueConfiguration() const {
  if (!m_service)
    return NotOpenError();
  return m_service->GetQueueConfiguration();
}

void OperatorServiceProxy::SetEvacuation(EvacuationRequest request,
                                         Done<bool> done) {
  if (!m_service)
    return done(NotOpenError());
  m_service->SetEvacuation(std::move(request), std::move(done));
}

Result<std::vector<DataCentreView>> OperatorServiceProxy::ListDataCentres()
    const {
  if (!m_service)
    return NotOpenError();
  return m_service->ListDataCentres();
}

NodeId OperatorServiceProxy::LeaderNode() const {
  return m_service ? m_service->LeaderNode() : NodeId();
}

tl::unexpected<Error> OperatorServiceProxy::NotOpenError() {
  return MakeError(ErrorKind::kNotLeader,
                   "this member cannot use its data folder",
                   "ask another member; the state dump of this one has the "
                   "reason");
}

}  // namespace fulmarrock
