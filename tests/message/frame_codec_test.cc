#include "source/message/frame_codec.h"

#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "source/base/checksum.h"

namespace fulmarrock {
namespace {

GrantBatch MakeGrantBatch() {
  GrantBatch batch;
  batch.incarnation = 7;
  TaskGrant grant;
  grant.task = {42, 3};
  grant.epoch = 9;
  grant.kind = TaskKind::kKernel;
  grant.resources = {2000, 4096, 1};
  grant.customer = "north-gallery";
  grant.payload = std::string("\0binary\xff", 8);
  batch.grants.push_back(grant);
  return batch;
}

// Guards against fields that are missing in VisitFields(), which would be lost
// on the wire.
TEST_CASE("a decoded frame equals the encoded message") {
  const Result<Message> decoded = DecodeFrame(EncodeFrame(MakeGrantBatch()));
  REQUIRE(decoded);
  const auto& batch = std::get<GrantBatch>(*decoded);
  REQUIRE(batch.grants.size() == 1);
  CHECK(batch.incarnation == 7);
  CHECK(batch.grants[0].task == TaskId{42, 3});
  CHECK(batch.grants[0].kind == TaskKind::kKernel);
  CHECK(batch.grants[0].resources == Resources{2000, 4096, 1});
  CHECK(batch.grants[0].payload == std::string("\0binary\xff", 8));
}

// Guards against accepting a corrupted frame as a message.
TEST_CASE("a frame with a flipped bit or a missing tail is rejected") {
  const std::string frame = EncodeFrame(MakeGrantBatch());
  for (size_t i = 0; i < frame.size(); ++i) {
    std::string damaged = frame;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    CHECK_FALSE(DecodeFrame(damaged));
    CHECK_FALSE(DecodeFrame(std::string_view(frame).substr(0, i)));
  }
}

// Guards against crashes and unbounded memory use on data of another protocol.
TEST_CASE("arbitrary bytes behind a valid header decode or fail cleanly") {
  const bool is_ok = rc::check([](const std::string& body, uint8_t type) {
    std::string frame = EncodeFrame(RequestCancel{}).substr(0, 12);
    frame[3] = static_cast<char>(type % 34);
    const uint64_t checksum = Checksum(body, type % 34);
    frame.replace(4, 8, reinterpret_cast<const char*>(&checksum), 8);
    frame += body;
    const Result<Message> decoded = DecodeFrame(frame);
    RC_ASSERT(decoded || !decoded.error().remedy.empty());
  });
  CHECK(is_ok);
}

}  // namespace
}  // namespace fulmarrock
