#include <algorithm> // ranges::all_of
#include <string>    // string
#include <vector>    // vector

#include "small_mesh.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

// Three nodes with the service `orders`, of which only the first upstream accepts work, so that the others forward.
struct tenant_mesh : mesh::small_mesh
{
    tenant_mesh() : small_mesh{{"orders", "orders", "orders"}}
    {
        this->configure("1 /o/=orders /public/=orders farm:key-of-farm:0 shop:key-of-shop:10");
        CHECK_FALSE(this->send_heartbeat(*this->members[0]));
        for (const auto& each : this->members)
        {
            this->run_until([&] { return this->call(*each, "/o/1", "GET", "key-of-farm") == 200; }, "farm is served");
        }
        this->forget();
    }

    void forget()
    {
        auto& upstream = *this->members[0];
        upstream.executed.clear();
        upstream.tenants.clear();
        upstream.keys.clear();
    }

    [[nodiscard]] const std::vector<std::string>& tenants() const
    {
        return this->members[0]->tenants;
    }
};

} // namespace

TEST_GROUP(mesh_tenants){};

// Guards against a request that runs without a valid key or for another tenant, and against keys that reach upstreams;
// at the node of the upstream and at others.
TEST(mesh_tenants, a_request_needs_the_key_of_a_tenant)
{
    struct key_case
    {
        const char* target;
        const char* key;
        int status;
        const char* tenant; ///< that the upstream gets
    };
    tenant_mesh mesh;
    for (const auto& each : {key_case{"/o/1", "key-of-farm", 200, "farm"},
                             {"/o/1", "key-of-shop", 200, "shop"},
                             {"/o/1", "", 401, ""},
                             {"/o/1", "key-of-nobody", 401, ""},
                             {"/x/1", "key-of-farm", 404, ""},
                             {"/public/1", "", 200, ""},
                             {"/public/1", "key-of-nobody", 200, ""},
                             {"/public/1", "key-of-farm", 200, "farm"}})
    {
        for (const auto& node : mesh.members)
        {
            mesh.forget();
            LONGS_EQUAL_TEXT(each.status, mesh.call(*node, each.target, "GET", each.key), each.key);
            LONGS_EQUAL(each.status == 200 ? 1 : 0, mesh.tenants().size());
            if (each.status == 200)
            {
                STRCMP_EQUAL(each.tenant, mesh.tenants()[0].c_str());
                STRCMP_EQUAL("", mesh.members[0]->keys[0].c_str());
            }
        }
    }
}

// Guards against a key that works after it was taken away, or does not work after it was added, also at a node that the
// store refuses.
TEST(mesh_tenants, keys_change_with_the_configuration)
{
    constexpr auto config_apply = 2500ms;
    tenant_mesh mesh;
    mesh.members[1]->objects->refuse_calls();
    mesh.configure("2 /o/=orders /public/=orders farm:new-key:0 shop:key-of-shop:10");
    const auto begin = mesh.loop.now();
    for (const auto& each : mesh.members)
    {
        mesh.run_until([&] { return mesh.call(*each, "/o/1", "GET", "new-key") == 200; }, "the new key works");
        LONGS_EQUAL(401, mesh.call(*each, "/o/1", "GET", "key-of-farm"));
        LONGS_EQUAL(200, mesh.call(*each, "/o/1", "GET", "key-of-shop"));
    }
    CHECK(mesh.loop.now() - begin < config_apply);
}

// Pattern: a tenant sends many times its rate through all nodes. What exceeds the quota is refused at once, what is
// within it is served, and another tenant notices nothing.
TEST(mesh_tenants, all_nodes_together_keep_to_the_quota)
{
    tenant_mesh mesh;
    int served = 0;
    int refused = 0;
    constexpr int rate = 10;
    constexpr int seconds = 5;
    const auto end = mesh.loop.now() + std::chrono::seconds{seconds};
    while (mesh.loop.now() < end)
    {
        for (const auto& each : mesh.members)
        {
            const int status = mesh.call(*each, "/o/1", "GET", "key-of-shop");
            served += status == 200 ? 1 : 0;
            refused += status == 429 ? 1 : 0;
            LONGS_EQUAL(200, mesh.call(*each, "/o/1", "GET", "key-of-farm"));
        }
        mesh.wait(10ms);
    }
    CHECK(served <= (rate * seconds + rate) * 1.1 + 20);
    CHECK_TEXT(served >= rate * seconds * 0.95, std::to_string(served).c_str());
    CHECK(refused > served);
}
