#ifndef SOURCE_NET_REQUEST_GUARD_H_
#define SOURCE_NET_REQUEST_GUARD_H_

#include <exception>

#include "source/net/http_server.h"

namespace fulmarrock {

/// Runs a part of the handling of one request. An exception that nothing else
/// caught fails this request and not the process.
template <typename Function>
void GuardRequest(const HttpServer::Responder& responder, Function function) {
  try {
    function();
  } catch (const std::exception& exception) {
    responder.Fail(exception.what());
  }
}

}  // namespace fulmarrock

#endif  // SOURCE_NET_REQUEST_GUARD_H_
