#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "cassiakeel/platform/platform.h"

namespace cassiakeel::platform {

/// Table and object store in the memory of this process, for tests, demos and
/// the platform's test double. Safe from any thread. The switches reproduce
/// the failures that the real service shows; they affect calls that start
/// afterwards.
class MemoryPlatform {
 public:
  MemoryPlatform();
  ~MemoryPlatform();
  MemoryPlatform(const MemoryPlatform&) = delete;
  MemoryPlatform& operator=(const MemoryPlatform&) = delete;

  Table& table();
  ObjectStore& objects();

  /// While down, every call throws and nothing is applied.
  void SetDown(bool down);
  /// Each call blocks for `delay` before it takes effect.
  void SetSlow(std::chrono::milliseconds delay);
  /// The next `count` writes of table or objects are applied, then throw with
  /// `may_have_applied()`. A transaction that conflicts counts as a write.
  void LoseNextWriteAnswers(int count = 1);

  /// Calls that were not refused since construction.
  std::uint64_t reads() const;
  std::uint64_t writes() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace cassiakeel::platform
