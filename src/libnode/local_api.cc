#include "local_api.h"

#include <nlohmann/json.hpp>

#include "cassiakeel/http/server.h"

namespace cassiakeel::node {
namespace {

constexpr int kMaxSlots = 100'000;

}  // namespace

Result<Announcement> ParseAnnouncement(const std::string& text) {
  const std::string step = "read announcement";
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Fail(step, "the body is not a JSON object");
  }
  const auto service = json.find("service");
  if (service == json.end() || !service->is_string() ||
      service->get<std::string>().empty()) {
    return Fail(step, "\"service\" is not a non-empty string");
  }
  const auto address = json.find("address");
  if (address == json.end() || !address->is_string() ||
      !http::ParseHostPort(PeerAddress(address->get<std::string>()))) {
    return Fail(step, "\"address\" is not IP:port");
  }
  const auto slots = json.find("slots");
  if (slots == json.end() || !slots->is_number_integer() ||
      slots->get<std::int64_t>() < 1 ||
      slots->get<std::int64_t>() > kMaxSlots) {
    return Fail(step, "\"slots\" is not a whole number from 1 to 100000");
  }
  Announcement announcement;
  announcement.service = ServiceName(service->get<std::string>());
  announcement.address = PeerAddress(address->get<std::string>());
  announcement.slots = Slots(slots->get<int>());
  return announcement;
}

}  // namespace cassiakeel::node
