#include "run_log.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace cassiakeel::testsuite {

namespace {

/// Bounds the memory use of a long test.
constexpr std::size_t kMaxRecords = 200000;

nlohmann::json ToJsonObject(const RunRecord& record) {
  return {{"run", record.run},         {"request", record.request},
          {"attempt", record.attempt}, {"key", record.key},
          {"path", record.path},       {"start_ns", record.start_ns},
          {"end_ns", record.end_ns},   {"cancelled", record.cancelled}};
}

}  // namespace

RunLog::RunLog(const std::string& path) {
  if (!path.empty()) {
    this->file.open(path, std::ios::app);
    if (!this->file) {
      throw std::runtime_error("open run log: cannot write " + path);
    }
  }
}

std::uint64_t RunLog::Start(RunRecord record) {
  record.run = ++this->last_run;
  this->Write(record);
  this->records.push_back(std::move(record));
  if (this->records.size() > kMaxRecords) {
    this->records.pop_front();
  }
  return this->last_run;
}

void RunLog::End(std::uint64_t run, std::int64_t end_ns, bool cancelled) {
  if (this->records.empty() || run < this->records.front().run) {
    return;
  }
  RunRecord& record = this->records[run - this->records.front().run];
  record.end_ns = end_ns;
  record.cancelled = cancelled;
  this->Write(record);
}

std::string RunLog::ToJson() const {
  nlohmann::json runs = nlohmann::json::array();
  for (const RunRecord& record : this->records) {
    runs.push_back(ToJsonObject(record));
  }
  return runs.dump();
}

void RunLog::Write(const RunRecord& record) {
  if (this->file.is_open()) {
    this->file << ToJsonObject(record).dump() << std::endl;
  }
}

}  // namespace cassiakeel::testsuite
