#include "transaction_rules.h"

#include <set>
#include <string>

namespace cassiakeel::platform::pvt {

void CheckTransaction(const std::vector<Write>& writes) {
  if (writes.size() > kMaxTransactionWrites) {
    throw PlatformException(
        Error{"transact", {}, "more than 100 writes in a transaction"}, false);
  }
  std::set<std::string> keys;
  for (const Write& write : writes) {
    if (!keys.insert(write.key).second) {
      throw PlatformException(
          Error{"transact", {}, "two writes of row " + write.key}, false);
    }
  }
}

}  // namespace cassiakeel::platform::pvt
