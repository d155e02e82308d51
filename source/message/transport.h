#ifndef SOURCE_MESSAGE_TRANSPORT_H_
#define SOURCE_MESSAGE_TRANSPORT_H_

#include <string_view>

#include "source/base/ids.h"
#include "source/message/message.h"

namespace fulmarrock {

/// Sends messages to other processes. A message may be lost, delayed, reordered
/// or duplicated; roles resend what must arrive.
class Transport {
 public:
  virtual ~Transport() = default;

  /// Sends one message without waiting.
  virtual void Send(const NodeId& to, const Message& message) = 0;

  /// Records where a node that is not in the settings accepts messages, as
  /// "ip:port".
  virtual void LearnAddress(const NodeId& node, std::string_view address) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_TRANSPORT_H_
