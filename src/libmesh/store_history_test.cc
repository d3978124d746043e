#include "cassiakeel/mesh/store_history.h"

#include <catch2/catch.hpp>

#include "peer_versions.h"

namespace cassiakeel::mesh {
namespace {

StoreHistoryState StateOf(std::uint64_t era, std::uint64_t epoch) {
  return {StoreEra(era), epoch, false};
}

}  // namespace

TEST_CASE("replies are placed by their era and the epoch of their call") {
  const auto known = StateOf(3, 2);
  const auto place = [&known](std::optional<std::uint64_t> era,
                              std::uint64_t epoch) {
    return PlaceReply(known, era ? std::optional(StoreEra(*era)) : std::nullopt,
                      epoch);
  };
  CHECK(place(3, 2) == ReplyPlace::kSame);
  CHECK(place(3, 1) == ReplyPlace::kLate);
  CHECK(place(4, 2) == ReplyPlace::kReturned);
  CHECK(place(4, 1) == ReplyPlace::kReturned);
  CHECK(place(9, 2) == ReplyPlace::kReturned);
  CHECK(place(2, 1) == ReplyPlace::kLate);
  // A call of this epoch was sent after the higher era had been seen.
  CHECK(place(2, 2) == ReplyPlace::kReturned);
  CHECK(place(std::nullopt, 2) == ReplyPlace::kUnplaced);
  CHECK(place(std::nullopt, 1) == ReplyPlace::kLate);
  // The first era is no return, unless rows were taken without one before.
  CHECK(PlaceReply(StateOf(0, 0), StoreEra(5), 0) == ReplyPlace::kSame);
  CHECK(PlaceReply({StoreEra(0), 0, true}, StoreEra(5), 0) ==
        ReplyPlace::kReturned);
  CHECK(PlaceReply(StateOf(0, 1), StoreEra(5), 0) == ReplyPlace::kLate);
}

// Guards against a return that no read shows, because the version of a write is
// forgotten or one of an earlier epoch is remembered.
TEST_CASE("versions of writes count in the epoch of their call") {
  const auto history =
      StoreHistory::Create([](const StoreHistory::Return&) {}, [](StoreEra) {});
  WriteReply reply;
  reply.version = 9;
  CHECK(history->ObserveWrite({"t", "a", false, 0}, reply));
  CHECK(history->newest_version() == 0);
  reply.applied = true;
  CHECK(history->ObserveWrite({"t", "a", false, 0}, reply));
  CHECK(history->newest_version() == 9);
  history->RecordReturn("test");
  CHECK(history->newest_version() == 0);
  CHECK_FALSE(history->ObserveWrite({"t", "a", false, 0}, reply));
  CHECK(history->newest_version() == 0);
  reply.era = StoreEra(3);
  reply.version = 4;
  CHECK(history->ObserveWrite({"t", "a", false, 1}, reply));
  CHECK(history->newest_version() == 4);
}

// Guards against an own row that stays lost because a read without it is taken
// for one from before the write.
TEST_CASE("a read after an own write shows the written row") {
  const auto history =
      StoreHistory::Create([](const StoreHistory::Return&) {}, [](StoreEra) {});
  WriteReply reply;
  reply.applied = true;
  reply.version = 9;
  history->ObserveWrite({"t", "a", false, 0}, reply);
  const auto lacks = [&history](std::uint64_t version, const char* table = "t",
                                std::uint64_t version_at_call = 9) {
    return history->LacksWrittenRow(table, {{{"a", "1", version, false}}, 20},
                                    version_at_call);
  };
  CHECK(lacks(8));
  CHECK_FALSE(lacks(9));
  CHECK_FALSE(lacks(8, "other"));
  CHECK_FALSE(lacks(8, "t", 8));
  CHECK(history->LacksWrittenRow("t", {{}, 20}, 9));
  reply.version = 10;
  history->ObserveWrite({"t", "a", true, 0}, reply);
  CHECK_FALSE(history->LacksWrittenRow("t", {{}, 20}, 10));
  reply.version = 11;
  history->ObserveWrite({"t", "a", false, 0}, reply);
  history->RecordReturn("test");
  CHECK_FALSE(history->LacksWrittenRow("t", {{}, 20}, 11));
}

// Guards against a peer's older numbers that hide the newer state behind them.
TEST_CASE("positions of peers are ordered by the era before the version") {
  pvt::PeerVersions versions;
  const SteadyTime now;
  pvt::SetOwnDirectory(versions, {StoreEra(1), 90});
  CHECK_FALSE(pvt::RecordPeerVersions(versions, {0, {StoreEra(1), 80}}, now));
  CHECK(pvt::RecordPeerVersions(versions, {0, {StoreEra(2), 10}}, now));
  CHECK_FALSE(pvt::RecordPeerVersions(versions, {0, {StoreEra(1), 95}}, now));
  pvt::SetOwnDirectory(versions, {StoreEra(2), 10});
  CHECK(pvt::RecordPeerVersions(versions, {0, {StoreEra(2), 11}}, now));
  // A store without an era: what peers told before counts for nothing.
  versions = {};
  pvt::SetOwnDirectory(versions, {StoreEra(0), 90});
  pvt::SetOwnDirectory(versions, {StoreEra(0), 10});
  CHECK(pvt::RecordPeerVersions(versions, {0, {StoreEra(0), 11}}, now));
}

}  // namespace cassiakeel::mesh
