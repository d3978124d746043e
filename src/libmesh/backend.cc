#include "cassiakeel/mesh/backend.h"

#include <algorithm>

namespace cassiakeel::mesh {
namespace {

// Longest key of a row in the store.
constexpr std::size_t kMaxNameBytes = 200;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::none_of(text.begin(), text.end(), [](unsigned char c) {
           return c < ' ' || c == kDelete || c == '|';
         });
}

}  // namespace cassiakeel::mesh
