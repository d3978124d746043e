#define CATCH_CONFIG_MAIN
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

#include "cassiakeel/tenancy/authenticate.h"
#include "cassiakeel/tenancy/credential.h"
#include "cassiakeel/tenancy/tenant_table.h"

namespace cassiakeel::tenancy {
namespace {

using Headers = http::HeaderList;
using State = Credential::State;

Tenant MakeTenant(const std::string& name,
                  const std::vector<std::string>& keys) {
  Tenant tenant;
  tenant.name = TenantName(name);
  for (const auto& key : keys) {
    tenant.keys.push_back(DigestOf(key));
  }
  return tenant;
}

// Share of a tenant's trees whose rank is at or above the shed level.
double AdmittedShare(double use, double mean_use, double level) {
  constexpr int kTrees = 10000;
  int admitted = 0;
  for (int i = 0; i < kTrees; ++i) {
    const double hash = (i + 0.5) / kTrees;
    admitted += static_cast<int>(FairRank(hash, use, mean_use) >= level);
  }
  return static_cast<double>(admitted) / kTrees;
}

}  // namespace

// Guards against a key that passes because its field is read leniently.
TEST_CASE("only a single well-formed bearer credential is a key") {
  const auto state = [](const Headers& headers) {
    return ReadCredential(headers).state;
  };
  CHECK(state({{"Host", "h"}}) == State::kMissing);
  CHECK(ReadCredential(Headers{{"authorization", "bEARER  k-1"}}).key == "k-1");
  CHECK(state({{"Authorization", "Bearer a"}, {"AUTHORIZATION", "Bearer a"}}) ==
        State::kMalformed);
  for (const auto& value :
       {std::string("Basic a"), std::string("Bearer"), std::string("Bearer "),
        std::string("Bearer a b"), std::string("Bearer a,b"), std::string("a"),
        std::string(), "Bearer " + std::string(65536, 'a'),
        std::string("Bearer a\0b", 10)}) {
    CAPTURE(value.substr(0, 20));
    CHECK(state({{"Authorization", value}}) == State::kMalformed);
  }
}

TEST_CASE("a key belongs to the tenant that the policy names") {
  const auto table = TenantTable::Create(
      {MakeTenant("a", {"k1", "k2"}), MakeTenant("b", {"k3"})});
  REQUIRE(table);
  CHECK(table->Find(DigestOf("k2"))->name == TenantName("a"));
  CHECK(table->Find(DigestOf("k3"))->name == TenantName("b"));
  CHECK(table->Find(DigestOf("K3")) == nullptr);
  CHECK(table->Find(DigestOf("")) == nullptr);
}

// Guards against keys handed on and tenants that clients claim.
TEST_CASE("the server gets the tenant of the key and not the key") {
  const auto table = TenantTable::Create({MakeTenant("a", {"k1"})});
  REQUIRE(table);
  Headers headers{{"authorization", "Bearer k1"}, {"x-tenant", "b"}};
  const auto caller = Authenticate(*table, headers);
  REQUIRE(caller);
  ReplaceCredential(headers, "X-Tenant", caller);
  CHECK(headers == Headers{{"X-Tenant", "a"}});
  Headers without{{"Authorization", "Bearer k9"}, {"X-TENANT", "a"}};
  CHECK_FALSE(Authenticate(*table, without));
  ReplaceCredential(without, "X-Tenant", std::nullopt);
  CHECK(without.empty());
}

// Guards against a retry under a key that was withdrawn meanwhile.
TEST_CASE("a key is held only while its tenant has it") {
  const auto before =
      TenantTable::Create({MakeTenant("a", {"k1", "k2"}), MakeTenant("b", {})});
  const auto after =
      TenantTable::Create({MakeTenant("a", {"k2"}), MakeTenant("b", {"k1"})});
  REQUIRE((before && after));
  const auto first = Authenticate(*before, {{"Authorization", "Bearer k1"}});
  const auto second = Authenticate(*before, {{"Authorization", "Bearer k2"}});
  CHECK(IsHeld(*before, *first));
  CHECK_FALSE(IsHeld(*after, *first));
  CHECK(IsHeld(*after, *second));
}

// Guards against requests counted for one tenant and charged to another.
TEST_CASE("tenants with a common name or key are rejected") {
  CHECK_FALSE(
      TenantTable::Create({MakeTenant("a", {"k"}), MakeTenant("b", {"k"})}));
  CHECK_FALSE(
      TenantTable::Create({MakeTenant("a", {"k"}), MakeTenant("a", {"l"})}));
}

TEST_CASE("a tenant's priority goes before the route's") {
  CHECK(EffectivePriority(std::nullopt, 2) == 2);
  CHECK(EffectivePriority(0, 2) < EffectivePriority(1, 0));
  CHECK(EffectivePriority(1, 0) < EffectivePriority(1, 1));
  CHECK(EffectivePriority(1, 1000) == 3);
}

// Guards against a tenant that sends several times its usual and takes the room
// of the others.
TEST_CASE("room is divided by max-min fairness over the allotments") {
  CHECK(rc::check([] {
    const double use = *rc::gen::inRange(1, 100) / 100.0;
    const double mean_use = *rc::gen::inRange(1, 100) / 100.0;
    const double level = *rc::gen::inRange(1, 100) / 100.0;
    const double admitted = AdmittedShare(use, mean_use, level) * use;
    const double common_share = (1 - level) * mean_use;
    RC_ASSERT(std::abs(admitted - std::min(use, common_share)) < 0.01);
  }));
}

TEST_CASE("without known demand the hash alone gives the rank") {
  CHECK(FairRank(0.3, 0, 0.5) == 0.3);
  CHECK(FairRank(0.3, 0.5, 0) == 0.3);
  CHECK(FairRank(0, 100, 0.01) == 0);
  CHECK(FairRank(0.9999999, 0.01, 1) < 1);
}

}  // namespace cassiakeel::tenancy
