#include "store_pace.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFleetPollInterval{300};
// A node without traffic hears of nothing from its peers.
constexpr milliseconds kMinMeanPollWait{1000};
// A node reads the policy and, with 830 nodes, two pages of the directory.
constexpr milliseconds kRereadInterval{2};
constexpr milliseconds kMaxRereadSpread{1500};
constexpr milliseconds kQuietTime{5000};
// Returns that come one after the other without a longer spread.
constexpr int kFreeReturns = 4;
constexpr milliseconds kFirstRepeatedSpread{250};
constexpr int kMaxDoublings = 2;

}  // namespace

milliseconds MeanPolicyPollWait(std::size_t nodes) {
  return std::max(kMinMeanPollWait,
                  kFleetPollInterval * static_cast<std::int64_t>(nodes));
}

void CountReturn(RecentReturns& recent, SteadyTime now) {
  const bool is_repeated = recent.latest && now - *recent.latest < kQuietTime;
  recent = {now, is_repeated ? recent.before + 1 : 0};
}

milliseconds RereadSpread(std::size_t nodes, const RecentReturns& recent) {
  const auto spread = std::min(
      kMaxRereadSpread, kRereadInterval * static_cast<std::int64_t>(nodes + 1));
  if (recent.before < kFreeReturns) {
    return spread;
  }
  const auto doublings = std::min(recent.before - kFreeReturns, kMaxDoublings);
  return spread + kFirstRepeatedSpread * (1 << doublings);
}

}  // namespace cassiakeel::mesh::pvt
