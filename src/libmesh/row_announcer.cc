#include "row_announcer.h"

#include <utility>

#include "peer_state.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{400};
// Nodes that have ended keep their rows; their machines may not answer at all.
constexpr milliseconds kExchangeTimeout{1000};
// Part of the second in which a backend server expects a confirmation. The
// exchange with a node that is alive takes a few round trips.
constexpr milliseconds kMaxWait{200};

h1::ClientOptions MakeClientOptions() {
  h1::ClientOptions options;
  options.connect_timeout = kConnectTimeout;
  // A node announces its row rarely.
  options.idle_timeout = milliseconds(0);
  return options;
}

}  // namespace

struct RowAnnouncer::Announcement {
  SteadyTime started;
  std::size_t pending = 0;
  AnnouncementReport report;
};

std::unique_ptr<RowAnnouncer> RowAnnouncer::Create(
    asio::io_context& io_context,
    std::shared_ptr<h1::TimerQueue> timers,
    ReportHandler on_sent) {
  return std::unique_ptr<RowAnnouncer>(
      new RowAnnouncer(io_context, std::move(timers), std::move(on_sent)));
}

RowAnnouncer::RowAnnouncer(asio::io_context& io_context,
                           std::shared_ptr<h1::TimerQueue> timers,
                           ReportHandler on_sent)
    : timers(std::move(timers)),
      client(h1::Client::Create(io_context, this->timers, MakeClientOptions())),
      on_sent(std::move(on_sent)),
      wait_timer(this->timers) {}

void RowAnnouncer::Send(const DirectoryEntry& row, const Directory& directory) {
  const auto announcement = std::make_shared<Announcement>();
  announcement->started = this->timers->Now();
  this->wait_end = announcement->started + kMaxWait;
  const auto body = EncodeAnnouncement(row);
  for (const auto& [node, entry] : directory) {
    if (node == row.node) {
      continue;
    }
    ++this->pending;
    ++announcement->pending;
    ++announcement->report.nodes;
    h1::Fetch fetch;
    fetch.peer = entry.address;
    fetch.request = {
        "POST", kPeerStatePath, {{"Host", entry.address.Value()}}, body};
    fetch.deadline = announcement->started + kExchangeTimeout;
    this->client->Start(std::move(fetch),
                        [this, announcement](const h1::FetchResult& result) {
                          this->OnExchangeEnd(*announcement, result);
                        });
  }
}

void RowAnnouncer::OnExchangeEnd(Announcement& announcement,
                                 const h1::FetchResult& result) {
  if (result.end == h1::FetchEnd::kComplete && result.response.status == 200) {
    ++announcement.report.acknowledged;
  }
  if (--announcement.pending == 0) {
    announcement.report.time = std::chrono::duration_cast<milliseconds>(
        this->timers->Now() - announcement.started);
    this->on_sent(announcement.report);
  }
  if (--this->pending == 0) {
    this->NotifyWaiters();
  }
}

void RowAnnouncer::WhenSent(std::function<void()> handler) {
  if (this->pending == 0 || this->timers->Now() >= this->wait_end) {
    handler();
    return;
  }
  this->waiters.push_back(std::move(handler));
  this->wait_timer.Set(this->wait_end, [this] { this->NotifyWaiters(); });
}

void RowAnnouncer::NotifyWaiters() {
  this->wait_timer.Cancel();
  for (const auto& handler : std::exchange(this->waiters, {})) {
    handler();
  }
}

}  // namespace cassiakeel::mesh::pvt
