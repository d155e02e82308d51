#ifndef SOURCE_TOOL_OPERATOR_CLIENT_H_
#define SOURCE_TOOL_OPERATOR_CLIENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "source/base/error.h"
#include "source/base/millis.h"
#include "source/tool/http_session.h"

namespace fulmarrock::tool {

/// Client of the operators' interface of the control members. Tries each member
/// in turn, or the leader that a member names, until the timeout expires.
/// Changes carry an operation id, so that a repeat after a lost reply is safe.
class OperatorClient {
 public:
  /// `addresses` are "ip:port" of the members' HTTP interface.
  OperatorClient(std::vector<std::string> addresses, Millis timeout);

  /// Sends a request for the leader, or for any member when `any_member`.
  Result<nlohmann::json> Call(std::string_view method,
                              const std::string& path,
                              const nlohmann::json& body,
                              bool any_member = false);

  /// Reads from the leader.
  Result<nlohmann::json> Get(const std::string& path);

  /// Sends a change to the leader.
  Result<nlohmann::json> Post(const std::string& path,
                              const nlohmann::json& body);

  /// Reads raw text from one process.
  Result<std::string> GetText(const std::string& address,
                              const std::string& path);

  /// Returns a unique operation id.
  static std::string NewOperationId();

 private:
  /// Selects the leader named in a reply, or else the next member.
  void SelectNext(const nlohmann::json& reply);

  std::vector<std::string> m_addresses;
  size_t m_current = 0;
  Millis m_timeout;
  HttpSession m_session;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_OPERATOR_CLIENT_H_
