#ifndef SOURCE_NET_OPERATOR_FRONT_END_H_
#define SOURCE_NET_OPERATOR_FRONT_END_H_

#include <functional>
#include <map>
#include <string>

#include "source/base/counters.h"
#include "source/control/operator_service.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// Serves the operators' HTTP interface with JSON on a control member.
/// docs/interfaces/operator.md documents paths, bodies and statuses.
class OperatorFrontEnd {
 public:
  /// `service` is called on the thread of `service_loop`. `addresses` are the
  /// HTTP addresses of the control members by node; a follower's 421 response
  /// contains that of the leader. The referenced objects must outlive this one.
  OperatorFrontEnd(OperatorService& service,
                   EventLoop& service_loop,
                   std::map<NodeId, std::string> addresses,
                   HttpServer& server);

  /// May be used only on the thread of the service.
  const Counters& counters() const { return m_counters; }

 private:
  using Respond = HttpServer::Responder;

  void Apply(const HttpRequest& request, const Respond& responder);
  void Submit(const HttpRequest& request, const Respond& responder);
  void Cancel(const HttpRequest& request, const Respond& responder);
  void List(const HttpRequest& request, const Respond& responder);
  void GetConfiguration(const HttpRequest& request, const Respond& responder);
  void GetStatus(const HttpRequest& request, const Respond& responder);
  void Show(const HttpRequest& request, const Respond& responder);
  void Drain(const HttpRequest& request, const Respond& responder);
  void SetEvacuation(const HttpRequest& request, const Respond& responder);
  void ListDataCentres(const HttpRequest& request, const Respond& responder);
  void AddMember(const HttpRequest& request, const Respond& responder);
  void RemoveMember(const HttpRequest& request, const Respond& responder);

  /// Responds with an error and counts invalid requests.
  void Fail(const Error& error, const Respond& responder);

  /// Returns a callback that responds with one JSON field.
  template <typename T>
  OperatorService::Done<T> RespondWithField(std::string field,
                                            const Respond& responder);

  OperatorService& m_service;
  EventLoop& m_loop;
  const std::map<NodeId, std::string> m_addresses;
  Counters m_counters;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_OPERATOR_FRONT_END_H_
