#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace cassiakeel::history {

/// Kinds of faults and operations that a schedule applies.
enum class FaultKind {
  /// Every call to the store times out and changes nothing.
  kStoreDown,
  /// Calls to the store are delayed by up to 1.2 s each way.
  kStoreSlow,
  /// Answers to writes are lost; the write itself is applied at once, applied
  /// later, or lost as well.
  kAnswersLost,
  /// One node cannot reach the store.
  kCutFromStore,
  /// Nodes with even and odd numbers cannot reach each other; odd ones cannot
  /// reach the store either.
  kPartition,
  /// Messages between nodes are dropped, delayed, duplicated and reordered.
  kMessageFaults,
  /// One node process is paused.
  kPause,
  /// One node process is paused at a given call to the platform, before or
  /// after the call takes effect.
  kPauseAtCall,
  /// One node process is paused between the decision to run and the dispatch.
  kPauseBeforeDispatch,
  /// The node process crashes and is restarted on the same address.
  kCrash,
  /// A new process takes over the address while the old one is only paused.
  kReplacePaused,
  /// The node shuts down gracefully and a new process is started.
  kLeave,
  /// The wall clock of a node jumps, and jumps back when the fault ends.
  kWallJump,
  /// Answers of the backend server do not reach its node.
  kServerAnswersLost,
  /// A node is missing from the member lists of the others.
  kSuspected,
};
inline constexpr int kFaultKindCount = 15;

struct Fault {
  FaultKind kind = FaultKind::kStoreDown;
  int at_s = 0;
  int duration_s = 0;
  int node = 0;
  /// kPauseAtCall: number of `PauseIfDue` points (one before and one after each
  /// call) that the process passes before it is paused, modulo 12.
  /// kWallJump: the jump is (amount - 50) * 600 ms. Otherwise unused.
  int amount = 0;
};

/// One simulated run; `seed` determines all its random choices.
struct Schedule {
  int nodes = 3;
  std::uint32_t seed = 0;
  int duration_s = 180;
  int submissions = 150;
  std::vector<Fault> faults;
};

std::string_view FaultKindName(FaultKind kind);
std::ostream& operator<<(std::ostream& out, const Fault& fault);
std::ostream& operator<<(std::ostream& out, const Schedule& schedule);

}  // namespace cassiakeel::history
