#include "source/placement/free_capacity_index.h"

#include <algorithm>
#include <bit>

namespace fulmarrock {
namespace {

constexpr int64_t kCpuUnit = 125;
constexpr int64_t kMemoryUnit = 128;

// In the first pass at most this many workers are inspected per cell: those of
// the boundary cells may be too small, while cells where all workers fit may
// follow.
constexpr size_t kInspectLimit = 32;

// Limit of the workers taken from one cell, so that the candidates differ.
constexpr size_t kCellLimit = 8;

// Returns the bucket of an amount. Bucket widths grow geometrically, with four
// buckets for each doubling.
uint32_t BucketOf(int64_t amount, int64_t unit, uint32_t bucket_count) {
  const int64_t scaled = amount * 4 / unit;
  if (scaled < 4)
    return 0;
  const auto bits =
      static_cast<uint32_t>(std::bit_width(static_cast<uint64_t>(scaled)) - 3);
  const auto step = static_cast<uint32_t>((scaled >> bits) & 3);
  return std::min(bits * 4 + step + 1, bucket_count - 1);
}

}  // namespace

FreeCapacityIndex::Cell FreeCapacityIndex::CellOf(const Resources& amount) {
  const int64_t accelerators = std::max<int64_t>(amount.accelerators, 0);
  return {static_cast<uint32_t>(std::min<int64_t>(accelerators, kLevels - 1)),
          BucketOf(amount.cpu_millicores, kCpuUnit, kBuckets),
          BucketOf(amount.memory_mib, kMemoryUnit, kBuckets)};
}

void FreeCapacityIndex::Set(WorkerIndex worker, const Resources& amount) {
  if (worker >= m_positions.size())
    m_positions.resize(worker + 1);
  const Cell cell = CellOf(amount);
  const uint32_t number = Number(cell);
  if (m_positions[worker].cell == number) {
    m_positions[worker].amount = amount;
    return;
  }
  Remove(worker);
  std::vector<WorkerIndex>& members = m_cells[number];
  m_positions[worker] = {number, static_cast<uint32_t>(members.size()), amount};
  members.push_back(worker);
  m_occupied[cell.level * kBuckets + cell.cpu] |= uint64_t{1} << cell.memory;
  ++m_size;
}

void FreeCapacityIndex::Remove(WorkerIndex worker) {
  if (worker >= m_positions.size() || m_positions[worker].cell == kNoCell)
    return;
  Position& position = m_positions[worker];
  std::vector<WorkerIndex>& members = m_cells[position.cell];
  members[position.offset] = members.back();
  m_positions[members.back()].offset = position.offset;
  members.pop_back();
  if (members.empty())
    m_occupied[position.cell / kBuckets] &=
        ~(uint64_t{1} << (position.cell % kBuckets));
  position.cell = kNoCell;
  --m_size;
}

void FreeCapacityIndex::Collect(const Resources& need,
                                size_t limit,
                                uint32_t rotation,
                                std::vector<WorkerIndex>& out) const {
  const Cell first = CellOf(need);
  const size_t size_before = out.size();
  const uint64_t memory_mask = ~uint64_t{0} << first.memory;
  for (const bool is_exhaustive : {false, true}) {
    for (uint32_t level = first.level; level < kLevels; ++level) {
      for (uint32_t cpu = first.cpu; cpu < kBuckets; ++cpu) {
        const uint32_t row = level * kBuckets + cpu;
        for (uint64_t mask = m_occupied[row] & memory_mask; mask != 0;
             mask &= mask - 1) {
          const uint32_t cell =
              row * kBuckets + static_cast<uint32_t>(std::countr_zero(mask));
          const size_t wanted = limit - (out.size() - size_before);
          CollectCell(cell, need, std::min(wanted, kCellLimit),
                      is_exhaustive ? SIZE_MAX : kInspectLimit, rotation, out);
          if (out.size() - size_before >= limit)
            return;
        }
      }
    }
    if (out.size() > size_before)
      return;
  }
}

void FreeCapacityIndex::CollectCell(uint32_t cell,
                                    const Resources& need,
                                    size_t limit,
                                    size_t inspect_limit,
                                    uint32_t rotation,
                                    std::vector<WorkerIndex>& out) const {
  const std::vector<WorkerIndex>& members = m_cells.find(cell)->second;
  size_t position = rotation % members.size();
  const size_t inspected = std::min(members.size(), inspect_limit);
  for (size_t i = 0; i < inspected && limit > 0; ++i) {
    const WorkerIndex worker = members[position];
    if (need.FitsIn(m_positions[worker].amount)) {
      out.push_back(worker);
      --limit;
    }
    if (++position == members.size())
      position = 0;
  }
}

}  // namespace fulmarrock
