#include "neighbor_contact.h"

#include <utility>

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{1000};
// Longer than the interval, so that the connection is kept.
constexpr milliseconds kIdleTimeout{3000};
constexpr milliseconds kConnectTimeout{400};
constexpr milliseconds kExchangeTimeout{1000};
// Nodes tried in a row. Those that have ended keep their rows.
constexpr int kMaxAttempts = 4;

h1::ClientOptions MakeClientOptions() {
  h1::ClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.idle_timeout = kIdleTimeout;
  options.max_idle_per_peer = 1;
  return options;
}

}  // namespace

const DirectoryEntry* NextNode(const Directory& directory,
                               const NodeId& after,
                               const NodeId& own) {
  auto next = directory.upper_bound(after);
  for (std::size_t i = 0; i < directory.size(); ++i, ++next) {
    if (next == directory.end()) {
      next = directory.begin();
    }
    if (next->first != own) {
      return &next->second;
    }
  }
  return nullptr;
}

std::unique_ptr<NeighborContact> NeighborContact::Create(
    asio::io_context& io_context,
    std::shared_ptr<h1::TimerQueue> timers,
    NodeId own,
    StateRequestHandler on_state_request) {
  return std::unique_ptr<NeighborContact>(
      new NeighborContact(io_context, std::move(timers), std::move(own),
                          std::move(on_state_request)));
}

NeighborContact::NeighborContact(asio::io_context& io_context,
                                 std::shared_ptr<h1::TimerQueue> timers,
                                 NodeId own,
                                 StateRequestHandler on_state_request)
    : timers(std::move(timers)),
      client(h1::Client::Create(io_context, this->timers, MakeClientOptions())),
      own(std::move(own)),
      on_state_request(std::move(on_state_request)),
      timer(this->timers) {}

void NeighborContact::SetDirectory(std::shared_ptr<const Directory> next) {
  if (!std::exchange(this->directory, std::move(next))) {
    this->ScheduleNext();
  }
}

void NeighborContact::ScheduleNext() {
  this->timer.Set(this->timers->Now() + kInterval,
                  [this] { this->Contact(this->own, kMaxAttempts); });
}

void NeighborContact::Contact(const NodeId& after, int attempts_left) {
  const auto* entry = NextNode(*this->directory, after, this->own);
  if (entry == nullptr || attempts_left == 0) {
    this->ScheduleNext();
    return;
  }
  h1::Fetch fetch;
  fetch.peer = entry->address;
  fetch.request = {
      "POST", kContactPath, {{"Host", entry->address.Value()}}, {}};
  fetch.deadline = this->timers->Now() + kExchangeTimeout;
  this->client->Start(
      std::move(fetch), [this, node = entry->node, address = entry->address,
                         attempts_left](const h1::FetchResult& result) {
        if (result.end != h1::FetchEnd::kComplete) {
          this->Contact(node, attempts_left - 1);
          return;
        }
        if (h1::FindHeader(result.response.headers, kNeedsStateField) !=
            nullptr) {
          this->on_state_request(address);
        }
        this->ScheduleNext();
      });
}

}  // namespace cassiakeel::mesh::pvt
