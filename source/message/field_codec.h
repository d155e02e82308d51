#ifndef SOURCE_MESSAGE_FIELD_CODEC_H_
#define SOURCE_MESSAGE_FIELD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/millis.h"

// Encodes structs that list their fields in VisitFields() as msgpack arrays.
// This header includes all of msgpack: include it in source files only.

namespace fulmarrock {

template <typename T>
void PackValue(msgpack::packer<msgpack::sbuffer>& packer, const T& value);

template <typename T>
void UnpackValue(const msgpack::object& object, T& value);

/// Packs the fields that VisitFields() passes.
class FieldPacker {
 public:
  explicit FieldPacker(msgpack::packer<msgpack::sbuffer>& packer)
      : m_packer(packer) {}

  template <typename... Fields>
  void operator()(const Fields&... fields) {
    m_packer.pack_array(sizeof...(fields));
    (PackValue(m_packer, fields), ...);
  }

 private:
  msgpack::packer<msgpack::sbuffer>& m_packer;
};

/// Unpacks fields in order. Missing trailing fields keep their defaults and
/// additional ones are ignored, so that processes of different versions can
/// exchange messages.
class FieldUnpacker {
 public:
  explicit FieldUnpacker(const msgpack::object& object) : m_object(object) {}

  template <typename... Fields>
  void operator()(Fields&... fields) {
    if (m_object.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    (UnpackNext(fields), ...);
  }

 private:
  template <typename Field>
  void UnpackNext(Field& field) {
    if (m_next >= m_object.via.array.size)
      return;
    UnpackValue(m_object.via.array.ptr[m_next++], field);
  }

  const msgpack::object& m_object;
  uint32_t m_next = 0;
};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
void PackValue(msgpack::packer<msgpack::sbuffer>& packer, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::underlying_type_t<T>>(value));
  } else if constexpr (std::is_same_v<T, Millis>) {
    packer.pack(value.count());
  } else if constexpr (std::is_same_v<T, TaskId>) {
    FieldPacker{packer}(value.job, value.index);
  } else if constexpr (std::is_same_v<T, RequestId>) {
    FieldPacker{packer}(value.entry_incarnation, value.sequence);
  } else if constexpr (IsVector<T>::value) {
    packer.pack_array(static_cast<uint32_t>(value.size()));
    for (const auto& item : value)
      PackValue(packer, item);
  } else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    packer.pack(value);
  } else {
    FieldPacker fields(packer);
    T::VisitFields(value, fields);
  }
}

template <typename T>
void UnpackValue(const msgpack::object& object, T& value) {
  if constexpr (std::is_enum_v<T>) {
    const auto number = object.as<std::underlying_type_t<T>>();
    if (number > static_cast<std::underlying_type_t<T>>(MaxValue(T{})))
      throw msgpack::type_error();
    value = static_cast<T>(number);
  } else if constexpr (std::is_same_v<T, Millis>) {
    value = Millis(object.as<int64_t>());
  } else if constexpr (std::is_same_v<T, TaskId>) {
    FieldUnpacker{object}(value.job, value.index);
  } else if constexpr (std::is_same_v<T, RequestId>) {
    FieldUnpacker{object}(value.entry_incarnation, value.sequence);
  } else if constexpr (IsVector<T>::value) {
    if (object.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    value.clear();
    value.reserve(object.via.array.size);
    for (uint32_t i = 0; i < object.via.array.size; ++i)
      UnpackValue(object.via.array.ptr[i], value.emplace_back());
  } else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    object.convert(value);
  } else {
    FieldUnpacker fields(object);
    T::VisitFields(value, fields);
  }
}

/// Encodes one struct without a frame header.
template <typename T>
std::string PackStruct(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  PackValue(packer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes one struct; fails with kCorruption on malformed bytes.
template <typename T>
Result<T> UnpackStruct(std::string_view bytes) {
  try {
    // Each element takes at least one byte, so a larger count is malformed. The
    // limits keep such a count from reserving memory.
    const size_t limit = bytes.size();
    constexpr size_t kMaxDepth = 16;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(limit, limit, limit, limit, limit, kMaxDepth));
    T value;
    UnpackValue(handle.get(), value);
    return value;
  } catch (const std::exception& e) {
    return MakeError(ErrorKind::kCorruption,
                     std::string("malformed encoding: ") + e.what(),
                     "check that both ends run compatible versions");
  }
}

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_FIELD_CODEC_H_
