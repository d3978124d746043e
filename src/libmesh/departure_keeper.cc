#include "cassiakeel/mesh/departure_keeper.h"

#include <algorithm>
#include <set>

#include "cassiakeel/base/hash.h"
#include "cassiakeel/mesh/directory_view.h"
#include "cassiakeel/mesh/registrar.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// A node that is alive has written its own row by then.
constexpr milliseconds kOwnerFirst{700};
// A node reads what the one before it wrote within this time: changes of the
// directory are read in batches of up to 1.8 s.
constexpr milliseconds kTurn{2200};
// Nodes that take a turn; the others leave it to them.
constexpr std::size_t kMaxTurns = 4;
constexpr milliseconds kFirstRetryDelay{300};
constexpr int kMaxDoublings = 3;

// Place of `own` among the nodes of the directory that may write for
// `departed`. Rows of nodes that have ended stay in the table; they are leaving
// and take no turn.
std::size_t TurnOf(const NodeId& own,
                   const NodeId& departed,
                   const Directory& directory) {
  const auto weight = [&departed](const NodeId& node) {
    return StableHash(departed.Value() + "|" + node.Value());
  };
  const auto own_weight = weight(own);
  return static_cast<std::size_t>(
      std::ranges::count_if(directory, [&](const auto& item) {
        const auto& [node, entry] = item;
        return node != own && node != departed && !entry.leaving &&
               weight(node) < own_weight;
      }));
}

// Whether `row`, which was written since the return, shows the departed process
// or an earlier one with its id, and not its departure. Any other row is the
// word of its node, which is alive.
bool IsUndone(const DirectoryEntry& departure, const StoredRow& row) {
  const auto current = DecodeDirectoryEntry(row.key, row.value);
  return !current || (CoversDeparture(departure, *current) &&
                      !CoversDeparture(*current, departure));
}

}  // namespace

std::shared_ptr<DepartureKeeper> DepartureKeeper::Create(
    SharedStore& store,
    std::shared_ptr<StoreHistory> history,
    std::shared_ptr<h1::TimerQueue> timers,
    std::string table,
    NodeId own_node,
    WrittenHandler on_written) {
  std::shared_ptr<DepartureKeeper> keeper(new DepartureKeeper());
  keeper->store = &store;
  keeper->history = std::move(history);
  keeper->timers = std::move(timers);
  keeper->table = std::move(table);
  keeper->own_node = std::move(own_node);
  keeper->on_written = std::move(on_written);
  return keeper;
}

void DepartureKeeper::Update(const std::vector<DirectoryEntry>& departures,
                             const RowMap& rows,
                             const Directory& visible) {
  std::set<NodeId> unstored;
  for (const auto& entry : departures) {
    unstored.insert(entry.node);
    auto& item = this->pending[entry.node];
    if (item.entry != entry) {
      item.entry = entry;
      item.done = false;
    }
    const auto row = rows.find(entry.node.Value());
    item.stored_version = row == rows.end() ? 0 : row->second.version;
    // A restarted node that knows of a departure from its row alone has no row
    // to publish, so that the registrar does not write it.
    const auto turn = entry.node == this->own_node
                          ? 0
                          : TurnOf(this->own_node, entry.node, visible);
    if (!item.scheduled && !item.done && turn < kMaxTurns) {
      this->Schedule(entry.node,
                     kOwnerFirst + kTurn * static_cast<std::int64_t>(turn));
    }
  }
  std::erase_if(this->pending, [&unstored](const auto& item) {
    return !unstored.contains(item.first);
  });
}

void DepartureKeeper::OnStoreReturned() {
  this->pending.clear();
}

void DepartureKeeper::Schedule(const NodeId& node, milliseconds wait) {
  this->pending[node].scheduled = true;
  this->timers->Add(
      this->timers->Now() + wait,
      [keeper = this->weak_from_this(), node, epoch = this->history->epoch()] {
        const auto self = keeper.lock();
        if (self && epoch == self->history->epoch() &&
            self->pending.contains(node)) {
          self->Write(node);
        }
      });
}

void DepartureKeeper::Write(const NodeId& node) {
  const auto& item = this->pending[node];
  this->store->Write(
      this->table, node.Value(), EncodeDirectoryEntry(item.entry),
      item.stored_version,
      [self = this->shared_from_this(), node,
       write = SentWrite{this->table, node.Value(), false,
                         this->history->epoch()}](const WriteReply& reply) {
        if (self->history->ObserveWrite(write, reply) &&
            self->pending.contains(node)) {
          self->OnWritten(node, reply);
        }
      });
}

void DepartureKeeper::OnWritten(const NodeId& node, const WriteReply& reply) {
  auto& item = this->pending[node];
  item.scheduled = false;
  if (reply.fault == StoreFault::kNone) {
    if (reply.applied) {
      item.done = true;
      this->on_written(item.entry);
      return;
    }
    if (reply.current && !IsUndone(item.entry, *reply.current)) {
      item.done = true;
      return;
    }
    item.stored_version = reply.current ? reply.current->version : 0;
  }
  this->Schedule(
      node, kFirstRetryDelay * (1 << std::min(item.failures++, kMaxDoublings)));
}

}  // namespace cassiakeel::mesh
