#include "cassiakeel/allotment/codec.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace cassiakeel::allotment {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNesting = 2;
// Far more than any message with `kMaxTenants` names of `kMaxNameBytes`.
constexpr std::size_t kMaxMessageBytes = 1 << 18;
constexpr double kMaxAttachedMs = 3600e3;
constexpr std::size_t kReportFields = 5;
constexpr std::size_t kGrantFields = 3;
constexpr std::size_t kDemandStride = 3;
constexpr std::size_t kShareStride = 3;

/// Stops the parser, which is recursive, at messages that are nested too
/// deeply for the stack.
class NestingCheck final : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override {
    return ++this->nesting <= kMaxNesting;
  }
  bool end_array() override {
    --this->nesting;
    return true;
  }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  std::size_t nesting = 0;
};

/// Reading errors leave as exceptions of nlohmann::json; only `Decode` catches.
[[noreturn]] void Reject(const char* what) {
  throw Json::other_error::create(500, what, nullptr);
}

Json Parse(const std::string& bytes, std::size_t fields) {
  NestingCheck check;
  if (bytes.size() > kMaxMessageBytes ||
      !Json::sax_parse(bytes, &check, Json::input_format_t::msgpack)) {
    Reject("not a message of this size and nesting");
  }
  Json json = Json::from_msgpack(bytes);
  if (!json.is_array() || json.size() != fields) {
    Reject("wrong number of fields");
  }
  return json;
}

double ReadNumber(const Json& json, double max) {
  if (!json.is_number()) {
    Reject("not a number");
  }
  const auto number = json.get<double>();
  // Also true for NaN.
  if (!(number >= 0 && number <= max)) {
    Reject("number out of range");
  }
  return number;
}

std::uint64_t ReadCount(const Json& json) {
  if (!json.is_number_unsigned()) {
    Reject("not a count");
  }
  return json.get<std::uint64_t>();
}

std::string ReadName(const Json& json) {
  const auto& name = json.get_ref<const std::string&>();
  if (name.empty() || name.size() > kMaxNameBytes) {
    Reject("name empty or too long");
  }
  return name;
}

/// Calls `read` with each tenant and the index of its first value in a list of
/// `stride` entries per tenant.
template <typename Function>
void ForEachTenant(const Json& list, std::size_t stride, Function read) {
  if (!list.is_array() || list.size() % stride != 0 ||
      list.size() / stride > kMaxTenants) {
    Reject("wrong list of tenants");
  }
  for (std::size_t i = 0; i < list.size(); i += stride) {
    if (!read(TenantName(ReadName(list[i])), i + 1)) {
      Reject("tenant listed twice");
    }
  }
}

template <typename Message, typename Function>
Result<Message> Decode(const char* step, Function read) {
  try {
    return read();
  } catch (const Json::exception& error) {
    return Fail(step, error.what());
  }
}

/// Halves the size of numbers: a value that single precision holds is encoded
/// in 5 bytes instead of 9.
double Rounded(double value) {
  return static_cast<double>(static_cast<float>(value));
}

std::string ToBytes(const Json& json) {
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

}  // namespace

std::string EncodeReport(const DemandReport& report) {
  Json tenants = Json::array();
  for (const auto& [name, demand] : report.demand) {
    tenants.push_back(name.Value());
    tenants.push_back(Rounded(demand.per_s));
    tenants.push_back(demand.used);
  }
  return ToBytes(
      Json::array({report.node.Value(), report.sequence, report.held,
                   static_cast<std::uint64_t>(report.attached.count()),
                   std::move(tenants)}));
}

Result<DemandReport> DecodeReport(const std::string& bytes) {
  return Decode<DemandReport>("read demand report", [&bytes] {
    const Json json = Parse(bytes, kReportFields);
    DemandReport report;
    report.node = NodeId(ReadName(json[0]));
    report.sequence = ReadCount(json[1]);
    report.held = ReadCount(json[2]);
    report.attached = std::chrono::milliseconds(
        static_cast<std::int64_t>(ReadNumber(json[3], kMaxAttachedMs)));
    const Json& list = json[4];
    ForEachTenant(list, kDemandStride, [&](TenantName tenant, std::size_t i) {
      const Demand demand{
          ReadNumber(list[i], kMaxDemandPerS),
          static_cast<std::uint32_t>(ReadNumber(list[i + 1], kMaxUsed))};
      return report.demand.emplace(std::move(tenant), demand).second;
    });
    return report;
  });
}

std::string EncodeGrant(const ShareGrant& grant) {
  Json tenants = Json::array();
  for (const auto& [name, share] : grant.shares) {
    tenants.push_back(name.Value());
    tenants.push_back(Rounded(share.fraction));
    tenants.push_back(Rounded(share.use));
  }
  return ToBytes(
      Json::array({grant.sequence, grant.counted, std::move(tenants)}));
}

Result<ShareGrant> DecodeGrant(const std::string& bytes) {
  return Decode<ShareGrant>("read share grant", [&bytes] {
    const Json json = Parse(bytes, kGrantFields);
    ShareGrant grant;
    grant.sequence = ReadCount(json[0]);
    grant.counted = json[1].get<bool>();
    const Json& list = json[2];
    ForEachTenant(list, kShareStride, [&](TenantName tenant, std::size_t i) {
      const Share share{ReadNumber(list[i], 1),
                        ReadNumber(list[i + 1], kMaxUse)};
      return grant.shares.emplace(std::move(tenant), share).second;
    });
    return grant;
  });
}

}  // namespace cassiakeel::allotment
