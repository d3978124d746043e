#include "cassiakeel/base/request_class.h"

#include "enum_names.h"

namespace cassiakeel {
namespace {

constexpr pvt::EnumNames<RequestClass, kRequestClassCount> kClassNames = {{
    {RequestClass::kCritical, "critical"},
    {RequestClass::kInteractive, "interactive"},
    {RequestClass::kInternal, "internal"},
    {RequestClass::kBackground, "background"},
}};

constexpr pvt::EnumNames<WorkLength, 2> kLengthNames = {{
    {WorkLength::kShort, "short"},
    {WorkLength::kLong, "long"},
}};

}  // namespace

std::string_view RequestClassName(RequestClass request_class) {
  return pvt::NameOf(kClassNames, request_class);
}

std::optional<RequestClass> ParseRequestClass(std::string_view name) {
  return pvt::ValueOf(kClassNames, name);
}

std::string_view WorkLengthName(WorkLength length) {
  return pvt::NameOf(kLengthNames, length);
}

std::optional<WorkLength> ParseWorkLength(std::string_view name) {
  return pvt::ValueOf(kLengthNames, name);
}

}  // namespace cassiakeel
