#include "decision_log.h"

#include <log4cxx/logger.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cassiakeel::mesh::pvt {
namespace {

// Logging 20 lines per second costs about 0.1% of a CPU core.
constexpr double kLinesPerSecond = 20;
constexpr double kBurstLines = 60;

log4cxx::LoggerPtr Logger() {
  static const auto kLogger = log4cxx::Logger::getLogger("cassiakeel.mesh");
  return kLogger;
}

}  // namespace

bool DecisionLog::TakeToken() {
  const auto now = this->clock.Now();
  const std::chrono::duration<double> elapsed = now - this->last_refill;
  this->last_refill = now;
  this->tokens =
      std::min(kBurstLines, this->tokens + elapsed.count() * kLinesPerSecond);
  if (this->tokens < 1) {
    ++this->dropped;
    ++this->dropped_total;
    return false;
  }
  this->tokens -= 1;
  return true;
}

void DecisionLog::Write(std::string_view event, const std::string& fields) {
  std::string line = "{" + JsonString("event", event);
  if (this->dropped > 0) {
    line.append(",").append(
        JsonNumber("left_out", static_cast<std::int64_t>(this->dropped)));
    this->dropped = 0;
  }
  if (!fields.empty()) {
    line.append(",").append(fields);
  }
  line.append("}");
  LOG4CXX_INFO(Logger(), line);
}

std::string JsonString(std::string_view name, std::string_view value) {
  return "\"" + std::string(name) + "\":" +
         nlohmann::json(std::string(value))
             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::int64_t Permille(double share) {
  return static_cast<std::int64_t>(share * 1000);
}

std::string JsonNumber(std::string_view name, std::int64_t value) {
  return "\"" + std::string(name) + "\":" + std::to_string(value);
}

}  // namespace cassiakeel::mesh::pvt
