#include "proxy/fleet_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "protocol/configuration_store.h"
#include "support/fleet_node.h"
#include "support/platform_fixture.h"

namespace hornbeamhook::proxy {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using std::chrono::milliseconds;
using tests::fleet_node;
using tests::make_node_settings;
using tests::wait_until;

class fleet_service_test : public tests::platform_fixture {
protected:
    /** Commits a change on top of the newest configuration. */
    void commit(std::vector<state::configuration_put> puts) {
        protocol::table_client client(settings_.listen_address, milliseconds(2000));
        protocol::configuration_store store(client);
        state::configuration_change change{
            0, "id-" + std::to_string(++changes_), "test", 1, std::move(puts), {}};
        const bool is_done = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_AUTO(base, store.load());
                const auto result =
                    store.commit(base, coordination::make_draft(base, change), {},
                                 std::chrono::steady_clock::now() + std::chrono::seconds(5));
                return std::holds_alternative<coordination::commit_succeeded>(result.result);
            },
            [] { return false; });
        EXPECT_TRUE(is_done);
    }

    /** A pool whose targets refuse connections. */
    void commit_pool() {
        json target{{"place", "cairo"}, {"data_center", "cairo-1"}};
        std::vector<state::configuration_put> puts{{"pool", "ledger", json::object()}};
        for (const char* name : {"a", "b", "c"}) {
            target["address"] = tests::get_free_address();
            puts.push_back({"target", std::string("ledger/") + name, target});
        }
        commit(puts);
    }

    fleet_node& add_node(const protocol::proxy_settings& settings, std::uint64_t incarnation) {
        nodes_.push_back(std::make_unique<fleet_node>(settings, incarnation));
        nodes_.back()->start();
        return *nodes_.back();
    }

    fleet_node& add_node(const std::string& vm) {
        return add_node(make_node_settings(vm, settings_.listen_address), 1000);
    }

    static std::size_t count_live(fleet_node& node) {
        return node.get_service().get_view()->live_members.size();
    }

    static std::uint64_t get_version(fleet_node& node) {
        return node.get_service().get_view()->config->version;
    }

    static json get_status(fleet_node& node) {
        transport::http_request request;
        request.method = "GET";
        request.path = "/internal/v1/status";
        request.fleet_secret = "secret";
        return json::parse(node.get_service().handle(request).body);
    }

    int changes_ = 0;
    std::vector<std::unique_ptr<fleet_node>> nodes_;
};

// Guards against proxies that do not find each other or compute different homes.
TEST_F(fleet_service_test, nodes_agree_on_members_configuration_and_homes) {
    commit_pool();
    for (const char* vm : {"vm1", "vm2", "vm3"}) {
        add_node(vm);
    }
    for (const auto& node : nodes_) {
        EXPECT_TRUE(wait_until([&] { return count_live(*node) == 3 && get_version(*node) == 1; }));
        EXPECT_TRUE(node->get_service().is_ready());
        EXPECT_EQ(node->get_service().get_view()->homes.size(), 3U);
    }
    const auto get_vms = [](fleet_node& node) {
        std::map<std::string, std::vector<std::string>> homes;
        for (const auto& [target, members] : node.get_service().get_view()->homes) {
            for (const state::member& value : members) {
                homes[target].push_back(value.vm);
            }
        }
        return homes;
    };
    EXPECT_EQ(get_vms(*nodes_[0]), get_vms(*nodes_[1]));
    EXPECT_EQ(get_vms(*nodes_[0]), get_vms(*nodes_[2]));
    EXPECT_EQ(get_vms(*nodes_[0]).at("ledger/a").size(), 2U);
    // The first answer to an own exchange may come later than the agreement.
    for (const char* kind : {"exchange_sent", "exchange_received", "store"}) {
        EXPECT_TRUE(wait_until([&] {
            return get_status(*nodes_[0])["traffic"][kind]["bytes"] > 0;
        })) << kind;
    }
}

// Guards against a stopped proxy that stays live, and a restarted one taken for its predecessor.
TEST_F(fleet_service_test, a_stopped_node_is_dropped_and_returns_as_a_new_life) {
    commit_pool();
    protocol::proxy_settings kept = make_node_settings("vm2", settings_.listen_address);
    fleet_node& first = add_node("vm1");
    fleet_node& second = add_node(kept, 1000);
    ASSERT_TRUE(wait_until([&] { return count_live(first) == 2; }));
    second.stop();
    EXPECT_TRUE(wait_until([&] { return count_live(first) == 1; }, milliseconds(3500)));
    add_node(kept, 2000);
    EXPECT_TRUE(wait_until([&] {
        for (const state::member& value : first.get_service().get_view()->live_members) {
            if (value.vm == "vm2" && value.incarnation == 2000) {
                return true;
            }
        }
        return false;
    }));
}

// Guards against changes that reach only the proxies that can read the store.
TEST_F(fleet_service_test, configuration_reaches_a_node_without_store) {
    fleet_node& first = add_node("vm1");
    protocol::proxy_settings cut = make_node_settings("vm2", settings_.listen_address);
    cut.address_map[settings_.listen_address] = "127.0.0.1:1";
    fleet_node& second = add_node(cut, 1000);
    // The second cannot read the VM list, so the first must be told about it.
    protocol::table_client client(settings_.listen_address, milliseconds(2000));
    EXPECT_TRUE(leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(client.put_vm({"vm2", cut.listen_address, "cairo", "cairo-1", false}));
            return true;
        },
        [] { return false; }));
    ASSERT_TRUE(wait_until([&] { return count_live(first) == 2 && count_live(second) == 2; }));
    commit_pool();
    EXPECT_TRUE(wait_until([&] { return get_version(second) == 1; }, milliseconds(3000)));
    EXPECT_TRUE(second.get_service().is_ready());
}

// Guards against a proxy that serves on although nobody can tell it about changes.
TEST_F(fleet_service_test, a_node_that_reaches_nobody_becomes_unconfirmed) {
    commit_pool();
    fleet_node& first = add_node("vm1");
    auto second =
        std::make_unique<fleet_node>(make_node_settings("vm2", settings_.listen_address), 1000);
    second->start();
    ASSERT_TRUE(wait_until([&] { return count_live(first) == 2 && get_version(first) == 1; }));
    const auto stopped_at = std::chrono::steady_clock::now();
    second->stop();
    service_->stop();
    EXPECT_TRUE(first.get_service().is_ready());
    EXPECT_TRUE(
        wait_until([&] { return !first.get_service().get_view()->is_configuration_confirmed; },
                   milliseconds(6000)));
    const auto took =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stopped_at);
    EXPECT_LE(took.count(), 4000);
    EXPECT_FALSE(first.get_service().is_ready());
}

// Guards against a leaving proxy that keeps homes.
TEST_F(fleet_service_test, a_draining_node_hands_over_its_homes) {
    commit_pool();
    fleet_node& first = add_node("vm1");
    fleet_node& second = add_node("vm2");
    ASSERT_TRUE(wait_until([&] { return count_live(first) == 2 && count_live(second) == 2; }));
    second.get_service().begin_drain();
    EXPECT_TRUE(wait_until([&] { return count_live(first) == 1; }, milliseconds(2000)));
    EXPECT_TRUE(wait_until([&] { return second.get_service().get_view()->is_draining; }));
    EXPECT_FALSE(second.get_service().is_ready());
    protocol::table_client client(settings_.listen_address, milliseconds(2000));
    EXPECT_TRUE(wait_until([&] {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_AUTO(vms, client.get_vms());
                return std::ranges::any_of(vms, [](const protocol::vm_entry& vm) {
                    return vm.vm == "vm2" && vm.is_leaving;
                });
            },
            [] { return false; });
    }));
}

// Guards against a probe for another proxy that claims what it did not see, and against a member
// list that leaves somebody out.
TEST_F(fleet_service_test, probes_for_others_and_lists_members) {
    fleet_node& first = add_node("vm1");
    fleet_node& second = add_node("vm2");
    ASSERT_TRUE(wait_until([&] { return count_live(first) == 2 && count_live(second) == 2; }));
    const auto ask = [&](const char* method, const char* path, const json& body) {
        transport::http_request request;
        request.method = method;
        request.path = path;
        request.fleet_secret = "secret";
        request.body = body.dump();
        return json::parse(first.get_service().handle(request).body);
    };
    const state::member peer = second.get_service().get_view()->self;
    state::member nobody = peer;
    nobody.address = tests::get_free_address();
    EXPECT_EQ(ask("POST", "/internal/v1/probe", to_compact_json(peer))["is_reached"], true);
    EXPECT_EQ(ask("POST", "/internal/v1/probe", to_compact_json(nobody))["is_reached"], false);
    EXPECT_EQ(ask("GET", "/internal/v1/members", nullptr).size(), 2U);
}

// Guards against messages of strangers.
TEST_F(fleet_service_test, rejects_a_wrong_secret_and_malformed_bodies) {
    fleet_node& node = add_node("vm1");
    transport::http_request request;
    request.method = "POST";
    request.path = "/internal/v1/exchange";
    request.body = "{";
    EXPECT_EQ(node.get_service().handle(request).status, 403);
    request.fleet_secret = "secret";
    for (const char* path : {"/internal/v1/exchange", "/internal/v1/observations",
                             "/internal/v1/planned_change", "/internal/v1/probe"}) {
        request.path = path;
        for (const char* body : {"{", "{}", "[]", R"({"x":1})"}) {
            request.body = body;
            EXPECT_EQ(node.get_service().handle(request).status, 400) << path << body;
        }
    }
    request.method = "GET";
    request.path = "/internal/v1/configuration";
    request.query["after"] = "x";
    EXPECT_EQ(node.get_service().handle(request).status, 400);
}

}  // namespace
}  // namespace hornbeamhook::proxy
