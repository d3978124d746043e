#pragma once

#include <cstddef>
#include <vector>

#include "cassiakeel/platform/platform.h"

namespace cassiakeel::platform::pvt {

/// Highest number of writes in one transaction, a rule of the table service.
inline constexpr std::size_t kMaxTransactionWrites = 100;

/// Throws `PlatformException` for a transaction that the table service
/// rejects unseen: too many writes, or two writes of one row.
void CheckTransaction(const std::vector<Write>& writes);

}  // namespace cassiakeel::platform::pvt
