#include "mesh_test_support.h"

namespace cassiakeel::mesh {
namespace {

const h1::HeaderList kKey{{"Authorization", "Bearer k1"}};

tenancy::Tenant MakeTenant(const std::string& name, const std::string& key) {
  tenancy::Tenant tenant;
  tenant.name = TenantName(name);
  tenant.keys = {tenancy::DigestOf(key)};
  return tenant;
}

// A front node and a node with a backend server; the policy names one tenant.
struct TenantMesh {
  TenantMesh() {
    this->mesh.AddNode("a", "front");
    this->mesh.AddNode("b", "back");
    this->mesh.SetBackend("b", this->backend);
    this->Publish({MakeTenant("t1", "k1")}, 1);
  }
  void Publish(std::vector<tenancy::Tenant> tenants, std::uint64_t version) {
    auto open = TestMesh::MakeRoute("back", true);
    open.path_prefix = "/open/";
    open.is_public = true;
    this->mesh.Publish({TestMesh::MakeRoute("back", true), open},
                       std::move(tenants), PolicyVersion(version));
  }
  h1::Response Call(const std::string& path, const h1::HeaderList& headers) {
    return this->mesh.Call("a", path, "id", 2000, headers).response;
  }

  FakeBackend backend{[](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  }};
  TestMesh mesh;
};

}  // namespace

// Guards against a key that reaches the backend server, and against a tenant
// that the client claims.
TEST_CASE("the backend server gets the tenant of the key and not the key") {
  TenantMesh tenants;
  const h1::HeaderList headers{{"authorization", "Bearer k1"},
                               {"Tenant", "t2"}};
  CHECK(tenants.Call("/back/1", headers).status == 200);
  const auto request = tenants.backend.LastRequest();
  CHECK(h1::FindHeader(request.headers, "Authorization") == nullptr);
  CHECK(std::ranges::count_if(request.headers, [](const auto& field) {
          return field.first == "Tenant";
        }) == 1);
  CHECK(*h1::FindHeader(request.headers, "Tenant") == "t1");
}

TEST_CASE("a request without a key that the policy holds does not run") {
  TenantMesh tenants;
  for (const auto& headers :
       {h1::HeaderList{}, h1::HeaderList{{"Authorization", "Bearer k2"}},
        h1::HeaderList{{"Authorization", "Basic k1"}},
        h1::HeaderList{{"Authorization", "Bearer k1"},
                       {"Authorization", "Bearer k1"}}}) {
    CHECK(tenants.Call("/back/1", headers).status == 401);
  }
  CHECK(tenants.backend.runs == 0);
}

// Calls of backend servers use public routes and have no key.
TEST_CASE("a public route needs no key and names no tenant") {
  TenantMesh tenants;
  CHECK(tenants.Call("/open/1", {}).status == 200);
  CHECK(tenants.Call("/open/1", kKey).status == 200);
  const auto request = tenants.backend.LastRequest();
  CHECK(h1::FindHeader(request.headers, "Tenant") == nullptr);
  CHECK(h1::FindHeader(request.headers, "Authorization") == nullptr);
}

TEST_CASE("a withdrawn key is refused from the next policy on") {
  TenantMesh tenants;
  CHECK(tenants.Call("/back/1", kKey).status == 200);
  tenants.Publish({MakeTenant("t1", "k3")}, 2);
  CHECK(tenants.Call("/back/1", kKey).status == 401);
  CHECK(tenants.backend.runs == 1);
}

// Guards against a client that is told its new key is invalid by a node that
// has not read the policy that added it.
TEST_CASE("a node behind its peers answers 503 to an unknown key") {
  TenantMesh tenants;
  tenants.Publish({MakeTenant("t1", "k1")}, 2);
  auto& behind = *tenants.mesh.nodes["a"];
  behind.SetPeerHandlers({});
  tenancy::Tenant old = MakeTenant("t1", "k1");
  auto table = tenancy::TenantTable::Create({old});
  REQUIRE(table);
  behind.SetPolicy(std::make_shared<const TrafficPolicy>(
      PolicyVersion(1), std::vector<Route>{TestMesh::MakeRoute("back", true)},
      InputLimits(), std::move(*table)));
  // The result tells the node of the newer policy.
  CHECK(tenants.Call("/back/1", kKey).status == 200);
  const auto refused =
      tenants.Call("/back/1", {{"Authorization", "Bearer new"}});
  CHECK(refused.status == 503);
  CHECK(h1::FindHeader(refused.headers, "Retry-After") != nullptr);
}

// Guards against a tenant that gets its allotment at each node.
TEST_CASE("requests beyond the allotment get 429 on all nodes together") {
  TenantMesh tenants;
  auto limited = MakeTenant("t1", "k1");
  limited.rate_per_s = 2;
  limited.burst = 2;
  tenants.Publish({limited}, 2);
  // (2 x 5 + 2) x 1.1 + 20 in any window of 5 s, with the default bounds.
  constexpr int kBound = 33;
  std::optional<h1::Response> refused;
  for (int i = 0; i < 2 * kBound; ++i) {
    for (const auto* node : {"a", "b"}) {
      auto response =
          tenants.mesh.Call(node, "/back/1", "id", 2000, kKey).response;
      if (response.status == 429) {
        refused = std::move(response);
      }
    }
  }
  CHECK(tenants.backend.runs <= kBound);
  REQUIRE(refused);
  CHECK(h1::FindHeader(refused->headers, "Retry-After") != nullptr);
}

}  // namespace cassiakeel::mesh
