#ifndef SOURCE_CONFIG_FIELD_ERRORS_H_
#define SOURCE_CONFIG_FIELD_ERRORS_H_

#include <string>
#include <vector>

#include "source/base/error.h"

namespace fulmarrock {

/// One wrong field of a file or request body.
struct FieldError {
  /// Location of the field as a JSON pointer, for example "/peers/0/address".
  std::string path;
  std::string message;
  std::string remedy;
};

/// Collects every wrong field, so that users can correct all of them at once.
class FieldErrors {
 public:
  void Add(std::string path, std::string message, std::string remedy);

  bool empty() const { return m_errors.empty(); }
  const std::vector<FieldError>& errors() const { return m_errors; }

  /// Returns one kInvalidArgument error that lists the fields, one per line.
  tl::unexpected<Error> ToError() const;

 private:
  std::vector<FieldError> m_errors;
};

}  // namespace fulmarrock

#endif  // SOURCE_CONFIG_FIELD_ERRORS_H_
