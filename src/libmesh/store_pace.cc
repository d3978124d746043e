#include "store_pace.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFleetPollInterval{500};
// A node without traffic hears of nothing from its peers.
constexpr milliseconds kMinMeanPollWait{1000};
constexpr milliseconds kRereadInterval{1};
constexpr milliseconds kMaxRereadSpread{1000};

}  // namespace

milliseconds MeanPolicyPollWait(std::size_t nodes) {
  return std::max(kMinMeanPollWait,
                  kFleetPollInterval * static_cast<std::int64_t>(nodes));
}

milliseconds RereadSpread(std::size_t nodes) {
  return std::min(kMaxRereadSpread,
                  kRereadInterval * static_cast<std::int64_t>(nodes + 1));
}

}  // namespace cassiakeel::mesh::pvt
