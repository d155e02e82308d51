#include "source/storage/corruption_error.h"

#include <utility>

namespace fulmarrock {

tl::unexpected<Error> CorruptionError(std::string message) {
  return MakeError(ErrorKind::kCorruption, std::move(message),
                   "remove this member from the group, empty its data folder "
                   "and add it again");
}

}  // namespace fulmarrock
