#pragma once

#include <cstddef>

namespace cassiakeel::h1::pvt {

/// Memory for the messages that are being received by one client or server. The
/// load this answers: peers in trouble that send without end, one or several at
/// a time, beside others whose messages have to get through.
class BufferBudget {
 public:
  std::size_t used() const { return this->used_bytes; }

 private:
  friend class BufferShare;
  std::size_t used_bytes = 0;
};

/// Part of a budget that one message holds; returned on destruction.
class BufferShare {
 public:
  explicit BufferShare(BufferBudget& budget) : budget(budget) {}
  ~BufferShare() { this->Set(0); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  /// Sets the number of bytes that the message holds.
  void Set(std::size_t bytes) {
    this->budget.used_bytes += bytes;
    this->budget.used_bytes -= this->held;
    this->held = bytes;
  }

  /// Whether the message holds at most as much as is left of `limit` bytes. See
  /// `ClientOptions::max_buffered_bytes` for what this guarantees.
  bool Fits(std::size_t limit) const {
    return this->budget.used_bytes <= limit &&
           this->held <= limit - this->budget.used_bytes;
  }

 private:
  BufferBudget& budget;
  std::size_t held = 0;
};

}  // namespace cassiakeel::h1::pvt
