#include "source/net/json_response.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"

namespace fulmarrock {

int HttpStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kNotLeader:
      return 421;
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kResourceExhausted:
      return 429;
    case ErrorKind::kPermissionDenied:
      return 403;
    case ErrorKind::kTimeout:
      return 504;
    case ErrorKind::kFailedPrecondition:
      return 412;
    case ErrorKind::kCorruption:
    case ErrorKind::kIo:
      return 500;
  }
  return 500;
}

HttpResponse MakeErrorResponse(int status, const Error& error) {
  // Errors about several fields have one remedy in each line of the message.
  const std::string remedy = error.remedy.empty()
                                 ? "do what the message says for each field"
                                 : error.remedy;
  const nlohmann::json json = {{"error",
                                {{"kind", ToString(error.kind)},
                                 {"message", error.message},
                                 {"remedy", remedy}}}};
  HttpResponse response;
  response.status = status;
  response.body = ToJsonText(json);
  return response;
}

HttpResponse MakeErrorResponse(const Error& error) {
  return MakeErrorResponse(HttpStatus(error.kind), error);
}

HttpResponse MakeJsonResponse(std::string json) {
  HttpResponse response;
  response.body = std::move(json);
  return response;
}

}  // namespace fulmarrock
