#pragma once

#include <string>

#include "cassiakeel/h1/message.h"

namespace cassiakeel::h1::pvt {

/// Which of the requests on a connection a response answers.
enum class Answered {
  /// The current one, as the repeated value shows.
  kCurrent,
  /// The current one, although it repeats no value: the connection has carried
  /// no other request.
  kOnly,
  kEarlier,
  /// It may be a late copy of an earlier response.
  kUnknown,
};

/// `field` names the response field that repeats `value`, a value of the
/// current request that may be empty; with an empty name each response answers
/// the current request. `is_first` means that the connection has carried no
/// other request.
Answered FindAnswered(const HeaderList& headers,
                      const std::string& field,
                      const std::string& value,
                      bool is_first);

}  // namespace cassiakeel::h1::pvt
