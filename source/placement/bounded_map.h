#ifndef SOURCE_PLACEMENT_BOUNDED_MAP_H_
#define SOURCE_PLACEMENT_BOUNDED_MAP_H_

#include <cstddef>
#include <unordered_map>
#include <utility>

namespace fulmarrock {

/// A map that keeps at least the `limit` most recently written keys and at most
/// twice as many. Old keys are dropped in bulk.
template <typename Key, typename Value, typename Hash = std::hash<Key>>
class BoundedMap {
 public:
  explicit BoundedMap(size_t limit) : m_limit(limit) {}

  /// Returns the value for reading, or null.
  const Value* Find(const Key& key) const {
    const auto it = m_recent.find(key);
    if (it != m_recent.end())
      return &it->second;
    const auto old = m_old.find(key);
    return old == m_old.end() ? nullptr : &old->second;
  }

  /// Returns the value for writing, adding a default one for a new key. The
  /// reference is valid until the next call for another key.
  Value& Get(const Key& key) {
    const auto it = m_recent.find(key);
    if (it != m_recent.end())
      return it->second;
    Value value{};
    const auto old = m_old.find(key);
    if (old != m_old.end()) {
      value = std::move(old->second);
      m_old.erase(old);
    }
    if (m_recent.size() >= m_limit)
      m_old = std::exchange(m_recent, {});
    return m_recent.emplace(key, std::move(value)).first->second;
  }

  void Erase(const Key& key) {
    m_recent.erase(key);
    m_old.erase(key);
  }

  size_t size() const { return m_recent.size() + m_old.size(); }

 private:
  size_t m_limit;
  std::unordered_map<Key, Value, Hash> m_recent;
  std::unordered_map<Key, Value, Hash> m_old;
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_BOUNDED_MAP_H_
