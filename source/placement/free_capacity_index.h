#ifndef SOURCE_PLACEMENT_FREE_CAPACITY_INDEX_H_
#define SOURCE_PLACEMENT_FREE_CAPACITY_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "source/base/resources.h"

namespace fulmarrock {

/// Position of a worker in the cluster's table.
using WorkerIndex = uint32_t;

/// Finds workers by their amount of resources without visiting all of them. The
/// workers are bucketed into cells by accelerators, CPU and memory; with bit
/// masks of the occupied cells a search takes a few hundred word operations at
/// most.
class FreeCapacityIndex {
 public:
  /// Adds a worker or updates its amount.
  void Set(WorkerIndex worker, const Resources& amount);

  /// Removes a worker. Unknown workers are ignored.
  void Remove(WorkerIndex worker);

  /// Appends up to `limit` workers whose amount fits `need`, those with the
  /// smallest amounts first. `rotation` selects the position in a cell at which
  /// to start, so that similar workers are chosen in turn. Appends at least one
  /// worker if any fits.
  void Collect(const Resources& need,
               size_t limit,
               uint32_t rotation,
               std::vector<WorkerIndex>& out) const;

  size_t size() const { return m_size; }

 private:
  static constexpr uint32_t kLevels = 9;
  static constexpr uint32_t kBuckets = 64;
  static constexpr uint32_t kNoCell = ~uint32_t{0};

  struct Position {
    uint32_t cell = kNoCell;
    uint32_t offset = 0;
    Resources amount;
  };
  struct Cell {
    uint32_t level = 0;
    uint32_t cpu = 0;
    uint32_t memory = 0;
  };

  static Cell CellOf(const Resources& amount);
  static uint32_t Number(const Cell& cell) {
    return (cell.level * kBuckets + cell.cpu) * kBuckets + cell.memory;
  }

  /// Appends fitting members of one cell after inspecting at most
  /// `inspect_limit` of them.
  void CollectCell(uint32_t cell,
                   const Resources& need,
                   size_t limit,
                   size_t inspect_limit,
                   uint32_t rotation,
                   std::vector<WorkerIndex>& out) const;

  size_t m_size = 0;
  std::vector<Position> m_positions;
  std::unordered_map<uint32_t, std::vector<WorkerIndex>> m_cells;
  // Bit m of the word for (level, cpu) is set if the cell (level, cpu, m) has
  // members.
  std::array<uint64_t, static_cast<size_t>(kLevels) * kBuckets> m_occupied{};
};

}  // namespace fulmarrock

#endif  // SOURCE_PLACEMENT_FREE_CAPACITY_INDEX_H_
