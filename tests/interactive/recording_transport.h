#ifndef TESTS_INTERACTIVE_RECORDING_TRANSPORT_H_
#define TESTS_INTERACTIVE_RECORDING_TRANSPORT_H_

#include <string_view>
#include <utility>
#include <vector>

#include "source/message/transport.h"

namespace fulmarrock::test {

/// Records the messages that are sent, for tests of a single role.
class RecordingTransport : public Transport {
 public:
  void Send(const NodeId& to, const Message& message) override {
    sent.emplace_back(to, message);
  }
  void LearnAddress(const NodeId&, std::string_view) override {}

  /// Returns and removes the sent messages of one type, with their receivers.
  template <typename T>
  std::vector<std::pair<NodeId, T>> Take() {
    std::vector<std::pair<NodeId, T>> taken;
    std::erase_if(sent, [&](const auto& item) {
      const T* message = std::get_if<T>(&item.second);
      if (message)
        taken.emplace_back(item.first, *message);
      return message != nullptr;
    });
    return taken;
  }

  std::vector<std::pair<NodeId, Message>> sent;
};

}  // namespace fulmarrock::test

#endif  // TESTS_INTERACTIVE_RECORDING_TRANSPORT_H_
