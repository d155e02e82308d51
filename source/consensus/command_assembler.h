#ifndef SOURCE_CONSENSUS_COMMAND_ASSEMBLER_H_
#define SOURCE_CONSENSUS_COMMAND_ASSEMBLER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "source/message/consensus_messages.h"

namespace fulmarrock {

/// Splits a long command into entries of which only the last one has the kind
/// kCommand. The entries have no term yet.
std::vector<LogEntry> SplitCommand(std::string command, size_t max_entry_bytes);

/// Puts the parts of long commands together again. Entries are added in the
/// order of the log.
class CommandAssembler {
 public:
  /// Adds a committed entry. Returns the command that it completes, which is
  /// valid until the next call, or nothing.
  std::optional<std::string_view> Add(const LogEntry& entry);

  /// Whether the next entry may complete a command that earlier ones began.
  bool HasParts() const { return !m_parts.empty(); }

  void Clear() { m_parts.clear(); }

 private:
  std::string m_parts;
  std::string m_command;
  // Term of the parts. A leader that lost its leadership may leave a command
  // without its last part; entries of the next term do not continue it.
  Term m_term = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONSENSUS_COMMAND_ASSEMBLER_H_
