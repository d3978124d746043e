#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace cassiakeel::h1 {

/// Body of a request, immutable. Copies share the bytes, so that a request that
/// may be sent again is held once. `charge` is kept as long as the bytes, for
/// the account in which they are counted. Like a shared pointer, copies may be
/// used on several threads.
class Body {
 public:
  Body() = default;
  // Implicit, so that a body is written and read like the string it holds.
  Body(std::string text, std::shared_ptr<void> charge = nullptr)
      : content(text.empty() ? nullptr
                             : std::make_shared<const Content>(Content{
                                   std::move(charge), std::move(text)})) {}
  Body(const char* text) : Body(std::string(text)) {}

  const std::string& text() const {
    static const std::string kEmpty;
    return this->content ? this->content->text : kEmpty;
  }
  operator const std::string&() const { return this->text(); }
  bool empty() const { return this->content == nullptr; }
  std::size_t size() const { return this->text().size(); }
  std::size_t find(const std::string& part) const {
    return this->text().find(part);
  }
  bool operator==(const Body& other) const {
    return this->text() == other.text();
  }

 private:
  struct Content {
    std::shared_ptr<void> charge;
    std::string text;
  };
  std::shared_ptr<const Content> content;
};

}  // namespace cassiakeel::h1
