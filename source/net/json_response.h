#ifndef SOURCE_NET_JSON_RESPONSE_H_
#define SOURCE_NET_JSON_RESPONSE_H_

#include <string>

#include "source/base/error.h"
#include "source/net/http_message.h"

namespace fulmarrock {

/// Returns the HTTP status for a kind of error.
int HttpStatus(ErrorKind kind);

/// Returns a response with {"error": {"kind", "message", "remedy"}}.
HttpResponse MakeErrorResponse(int status, const Error& error);
HttpResponse MakeErrorResponse(const Error& error);

/// Returns a response with a JSON text.
HttpResponse MakeJsonResponse(std::string json);

}  // namespace fulmarrock

#endif  // SOURCE_NET_JSON_RESPONSE_H_
