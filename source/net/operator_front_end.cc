#include "source/net/operator_front_end.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/net/json_response.h"
#include "source/net/operator_json.h"
#include "source/net/request_guard.h"

namespace fulmarrock {
namespace {

using nlohmann::json;

constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr std::string_view kWorkerPrefix = "/v1/workers/";
constexpr std::string_view kDrainSuffix = "/drain";
constexpr std::string_view kDataCentrePrefix = "/v1/data-centres/";
constexpr std::string_view kEvacuationSuffix = "/evacuation";
constexpr std::string_view kMemberPrefix = "/v1/members/";

HttpResponse MakeResponse(const json& value, int status = 200) {
  HttpResponse response = MakeJsonResponse(ToJsonText(value));
  response.status = status;
  return response;
}

}  // namespace

OperatorFrontEnd::OperatorFrontEnd(OperatorService& service,
                                   EventLoop& service_loop,
                                   std::map<NodeId, std::string> addresses,
                                   HttpServer& server)
    : m_service(service),
      m_loop(service_loop),
      m_addresses(std::move(addresses)) {
  using Method = void (OperatorFrontEnd::*)(const HttpRequest&, const Respond&);
  const auto route = [&](const char* method, std::string_view path,
                         Method handler) {
    server.Route(method, std::string(path),
                 [this, handler](HttpRequest request, Respond responder) {
                   m_loop.Post([this, handler, request = std::move(request),
                                responder = std::move(responder)] {
                     GuardRequest(responder, [&] {
                       (this->*handler)(request, responder);
                     });
                   });
                 });
  };
  route("POST", "/v1/configuration", &OperatorFrontEnd::Apply);
  route("GET", "/v1/configuration", &OperatorFrontEnd::GetConfiguration);
  route("GET", "/v1/status", &OperatorFrontEnd::GetStatus);
  route("POST", "/v1/jobs", &OperatorFrontEnd::Submit);
  route("GET", "/v1/jobs", &OperatorFrontEnd::List);
  route("GET", kJobPrefix, &OperatorFrontEnd::Show);
  route("POST", "/v1/jobs/cancel", &OperatorFrontEnd::Cancel);
  route("POST", kWorkerPrefix, &OperatorFrontEnd::Drain);
  route("POST", kDataCentrePrefix, &OperatorFrontEnd::SetEvacuation);
  route("GET", "/v1/data-centres", &OperatorFrontEnd::ListDataCentres);
  route("POST", "/v1/members", &OperatorFrontEnd::AddMember);
  route("DELETE", kMemberPrefix, &OperatorFrontEnd::RemoveMember);
}

void OperatorFrontEnd::GetConfiguration(const HttpRequest&,
                                        const Respond& responder) {
  responder.Respond(MakeResponse(ToJson(m_service.GetConfiguration())));
}

void OperatorFrontEnd::GetStatus(const HttpRequest&, const Respond& responder) {
  responder.Respond(MakeResponse(ToJson(m_service.GetStatus())));
}

void OperatorFrontEnd::Apply(const HttpRequest& request,
                             const Respond& responder) {
  Result<ApplyRequest> body = ReadApplyRequest(request.body);
  if (!body)
    return Fail(body.error(), responder);
  m_service.ApplyConfiguration(
      std::move(*body), RespondWithField<uint64_t>("version", responder));
}

void OperatorFrontEnd::Submit(const HttpRequest& request,
                              const Respond& responder) {
  Result<SubmitRequest> body = ReadSubmitRequest(request.body);
  if (!body)
    return Fail(body.error(), responder);
  m_service.SubmitJob(std::move(*body),
                      RespondWithField<JobId>("job", responder));
}

void OperatorFrontEnd::Cancel(const HttpRequest& request,
                              const Respond& responder) {
  Result<std::vector<JobId>> body = ReadCancelRequest(request.body);
  if (!body)
    return Fail(body.error(), responder);
  m_service.CancelJobs(std::move(*body),
                       RespondWithField<uint64_t>("cancelled", responder));
}

void OperatorFrontEnd::List(const HttpRequest& request,
                            const Respond& responder) {
  json jobs = json::array();
  for (const JobView& job : m_service.ListJobs(request.Query("customer")))
    jobs.push_back(ToJson(job));
  responder.Respond(MakeResponse({{"jobs", std::move(jobs)}}));
}

void OperatorFrontEnd::Show(const HttpRequest& request,
                            const Respond& responder) {
  const std::string_view text =
      std::string_view(request.path).substr(kJobPrefix.size());
  JobId id = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, id);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail({ErrorKind::kInvalidArgument, "the path contains no job number",
                 "use a number from the list of jobs"},
                responder);
  }
  const Result<JobView> job = m_service.ShowJob(id);
  if (!job)
    return Fail(job.error(), responder);
  responder.Respond(MakeResponse(ToJson(*job)));
}

void OperatorFrontEnd::Drain(const HttpRequest& request,
                             const Respond& responder) {
  std::string_view worker =
      std::string_view(request.path).substr(kWorkerPrefix.size());
  if (!worker.ends_with(kDrainSuffix) || worker.size() <= kDrainSuffix.size()) {
    return Fail(
        {ErrorKind::kNotFound, "the path is not the drain state of a worker",
         "send POST /v1/workers/NAME/drain"},
        responder);
  }
  worker.remove_suffix(kDrainSuffix.size());
  const Result<bool> is_draining = ReadDrainRequest(request.body);
  if (!is_draining)
    return Fail(is_draining.error(), responder);
  m_service.SetWorkerDraining(NodeId(worker), *is_draining,
                              RespondWithField<bool>("done", responder));
}

void OperatorFrontEnd::SetEvacuation(const HttpRequest& request,
                                     const Respond& responder) {
  std::string_view data_centre =
      std::string_view(request.path).substr(kDataCentrePrefix.size());
  if (!data_centre.ends_with(kEvacuationSuffix)) {
    return Fail({ErrorKind::kNotFound,
                 "the path is not the evacuation of a data centre",
                 "send POST /v1/data-centres/NAME/evacuation"},
                responder);
  }
  data_centre.remove_suffix(kEvacuationSuffix.size());
  const Result<bool> is_evacuated = ReadEvacuationRequest(request.body);
  if (!is_evacuated)
    return Fail(is_evacuated.error(), responder);
  m_service.SetEvacuation({std::string(data_centre), *is_evacuated},
                          RespondWithField<bool>("done", responder));
}

void OperatorFrontEnd::ListDataCentres(const HttpRequest&,
                                       const Respond& responder) {
  const Result<std::vector<DataCentreView>> data_centres =
      m_service.ListDataCentres();
  if (!data_centres)
    return Fail(data_centres.error(), responder);
  json list = json::array();
  for (const DataCentreView& data_centre : *data_centres)
    list.push_back(ToJson(data_centre));
  responder.Respond(MakeResponse({{"data_centres", std::move(list)}}));
}

void OperatorFrontEnd::AddMember(const HttpRequest& request,
                                 const Respond& responder) {
  const Result<Member> member = ReadMemberRequest(request.body);
  if (!member)
    return Fail(member.error(), responder);
  m_service.AddMember(member->node, member->incarnation,
                      RespondWithField<bool>("done", responder));
}

void OperatorFrontEnd::RemoveMember(const HttpRequest& request,
                                    const Respond& responder) {
  const std::string node = request.path.substr(kMemberPrefix.size());
  if (node.empty()) {
    return Fail(
        {ErrorKind::kInvalidArgument, "the path contains no member name",
         "send DELETE /v1/members/NAME"},
        responder);
  }
  m_service.RemoveMember(node, RespondWithField<bool>("done", responder));
}

void OperatorFrontEnd::Fail(const Error& error, const Respond& responder) {
  if (error.kind == ErrorKind::kInvalidArgument)
    m_counters.Add("operator_invalid_requests");
  HttpResponse response = MakeErrorResponse(error);
  if (error.kind == ErrorKind::kNotLeader) {
    const NodeId leader = m_service.GetStatus().leader;
    const auto address = m_addresses.find(leader);
    json body = json::parse(response.body);
    body["error"]["leader"] = leader;
    body["error"]["leader_address"] =
        address == m_addresses.end() ? std::string() : address->second;
    response = MakeResponse(body, response.status);
  }
  responder.Respond(std::move(response));
}

template <typename T>
OperatorService::Done<T> OperatorFrontEnd::RespondWithField(
    std::string field,
    const Respond& responder) {
  return [this, field = std::move(field), responder](const Result<T>& result) {
    if (!result)
      Fail(result.error(), responder);
    else
      responder.Respond(MakeResponse({{field, *result}}));
  };
}

}  // namespace fulmarrock
