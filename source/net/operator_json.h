#ifndef SOURCE_NET_OPERATOR_JSON_H_
#define SOURCE_NET_OPERATOR_JSON_H_

#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "source/control/operator_service.h"

namespace fulmarrock {

/// Bodies of the operator API. Every wrong, missing or unknown field is
/// reported in one kInvalidArgument error.
Result<ApplyRequest> ReadApplyRequest(std::string_view body);
Result<SubmitRequest> ReadSubmitRequest(std::string_view body);
Result<std::vector<JobId>> ReadCancelRequest(std::string_view body);
Result<bool> ReadDrainRequest(std::string_view body);
Result<bool> ReadEvacuationRequest(std::string_view body);
Result<Member> ReadMemberRequest(std::string_view body);

nlohmann::json ToJson(const ConfigSnapshot& snapshot);
nlohmann::json ToJson(const JobView& job);
nlohmann::json ToJson(const ClusterStatus& status);
nlohmann::json ToJson(const DataCentreView& data_centre);

}  // namespace fulmarrock

#endif  // SOURCE_NET_OPERATOR_JSON_H_
