#include "source/control/commands.h"

#include "source/base/checksum.h"
#include "source/message/field_codec.h"

namespace fulmarrock {

bool CommandBatch::IsEmpty() const {
  return configurations.empty() && submissions.empty() &&
         cancellations.empty() && announcements.empty() && drains.empty() &&
         events.empty() && expired.empty() && removed_workers.empty() &&
         evictions.empty() && unplaceable.empty() && grants.empty() &&
         claims.empty() && claim_outcomes.empty() && workflow.IsEmpty() &&
         evacuations.empty();
}

std::string EncodeBatch(const CommandBatch& batch) {
  return PackStruct(batch);
}

Result<CommandBatch> DecodeBatch(std::string_view payload) {
  return UnpackStruct<CommandBatch>(payload);
}

uint64_t Fingerprint(uint64_t base_version,
                     const Configuration& configuration) {
  return Checksum(PackStruct(configuration), base_version);
}

uint64_t Fingerprint(const JobSpec& spec) {
  return Checksum(PackStruct(spec));
}

}  // namespace fulmarrock
