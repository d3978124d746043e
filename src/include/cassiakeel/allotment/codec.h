#pragma once

#include <string>

#include "cassiakeel/allotment/limit.h"
#include "cassiakeel/base/error.h"

/// Messages between nodes and coordinator, in MessagePack. Real numbers are
/// sent in single precision. Decoding fails on malformed bytes, names over
/// `kMaxNameBytes`, more than `kMaxTenants` tenants, repeated tenants and
/// numbers that are not finite or out of range.
namespace cassiakeel::allotment {

/// [node, sequence, held, attached ms, [tenant, demand, used, ...]]
std::string EncodeReport(const DemandReport& report);
Result<DemandReport> DecodeReport(const std::string& bytes);

/// [sequence, counted, [tenant, fraction, use, ...]]
std::string EncodeGrant(const ShareGrant& grant);
Result<ShareGrant> DecodeGrant(const std::string& bytes);

}  // namespace cassiakeel::allotment
