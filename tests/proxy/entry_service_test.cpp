#include "proxy/entry_service.h"

#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "support/fake_groups.h"
#include "support/fake_target.h"

namespace hornbeamhook::proxy {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::chrono::seconds answer_timeout{20};
constexpr const char* path = "/v1/pools/p/statements";

protocol::proxy_settings make_settings() {
    protocol::proxy_settings settings;
    settings.vm = "vm1";
    settings.worker_threads = 4;
    settings.max_request_bytes = 4096;
    settings.platform_address = "127.0.0.1:1";
    return settings;
}

state::target_status make_status(state::log_position position, bool is_primary) {
    state::target_status status;
    status.accepted_term = 3;
    status.follow_term = 3;
    status.position = position;
    status.is_primary = is_primary;
    return status;
}

/** One proxy that is entry and home of all targets of pools p and q. */
class entry_service_test : public testing::Test {
protected:
    entry_service_test() {
        target.status = make_status(10, true);
        target.has_key_table = true;
        groups.set([](state::fleet_view& view) {
            auto config = std::make_shared<state::configuration>();
            config->version = 7;
            view.self.vm = "vm1";
            view.live_members = {view.self};
            for (const char* name : {"p", "q"}) {
                state::pool_description& pool = config->pools[name];
                pool.name = name;
                pool.default_deadline = answer_timeout;
                for (const char* each : {"primary", "replica"}) {
                    pool.targets.push_back({each, "127.0.0.1:1", "a", "a-1", 20, 3, false});
                    view.homes[std::string(name) + "/" + each] = {view.self};
                }
            }
            config->callers.put({"shop", protocol::hash_text("secret"), {{"*", true, true}}});
            config->callers.put({"van", protocol::hash_text("van"), {{"p", true, false}}});
            config->token_keys["key1"] = {"key1", std::string(64, 'a')};
            view.config = config;
        });
        set_acknowledged(1000);
    }

    /** The group reports that all targets hold everything up to `position`. */
    void set_acknowledged(state::log_position position) {
        for (const char* pool : {"p", "q"}) {
            groups.set_group(pool, [&](state::group_view& view) {
                view.majority = 2;
                view.primary = state::primary_view{"primary", 3};
                view.targets["primary"].status = make_status(position, true);
                view.targets["replica"].status = make_status(position, false);
                view.proof = state::freshness_proof{
                    std::chrono::steady_clock::now() + std::chrono::hours(1), {3, 10}, 3};
            });
        }
    }

    transport::http_response post(const std::string& url, const std::string& body,
                                  const std::string& authorization = "Bearer secret") {
        auto promise = std::make_shared<std::promise<transport::http_response>>();
        std::future<transport::http_response> answer = promise->get_future();
        transport::http_request request;
        request.method = "POST";
        request.path = url;
        request.authorization = authorization;
        request.body = body;
        entry.handle(request, [promise](transport::http_response response) {
            promise->set_value(std::move(response));
        });
        if (answer.wait_for(answer_timeout) != std::future_status::ready) {
            ADD_FAILURE() << "no answer to " << body;
            return {};
        }
        return answer.get();
    }

    json call(const json& body, const std::string& url = path) {
        return json::parse(post(url, body.dump()).body);
    }

    /** "status code" of an answer that must not have reached the target. */
    std::string get_refusal(const std::string& url, const std::string& body,
                            const std::string& authorization = "Bearer secret") {
        const int before = target.exchanges;
        const transport::http_response response = post(url, body, authorization);
        const json answer = json::parse(response.body);
        EXPECT_EQ(answer["outcome"], "not_run");
        EXPECT_EQ(target.exchanges, before) << body;
        return std::to_string(response.status) + " " + answer["error"]["code"].get<std::string>();
    }

    static json make_write(const std::string& sql, const std::string& key = "") {
        json body{{"kind", "write"}, {"statements", {{{"sql", sql}}}}};
        if (!key.empty()) {
            body["idempotency_key"] = key;
        }
        return body;
    }

    static json make_read(const std::string& token = "") {
        json body{{"kind", "read"}, {"statements", {{{"sql", "SELECT count"}}}}};
        if (!token.empty()) {
            body["token"] = token;
        }
        return body;
    }

    const protocol::proxy_settings settings = make_settings();
    tests::fake_groups groups;
    tests::fake_target target;
    data_metrics metrics;
    audit_log audit{settings, 77};
    usage_recorder usage{settings, 77};
    home_runtime runtime{settings, 77, groups, target, metrics};
    home_service home{runtime};
    transaction_service transactions{runtime};
    entry_service entry{{settings, groups, home, transactions, metrics, audit, usage, 77}};
};

// Guards against requests that are refused unclearly, or run although they are refused.
TEST_F(entry_service_test, bad_requests_get_a_clear_refusal_and_run_nothing) {
    const std::string write = make_write("INSERT <a>").dump();
    EXPECT_EQ(get_refusal(path, write, ""), "401 unauthenticated");
    EXPECT_EQ(get_refusal(path, write, "Bearer wrong"), "401 unauthenticated");
    EXPECT_EQ(get_refusal(path, write, "Basic secret"), "401 unauthenticated");
    EXPECT_EQ(get_refusal(path, write, "Bearer van"), "403 forbidden");
    EXPECT_EQ(get_refusal("/v1/pools/q/statements", make_read().dump(), "Bearer van"),
              "403 forbidden");
    EXPECT_EQ(get_refusal("/v1/pools/none/statements", write), "404 unknown_pool");
    EXPECT_EQ(get_refusal("/v1/pools/p/other", write), "400 bad_request");
    EXPECT_EQ(get_refusal("/v1/pools", write), "400 bad_request");
    EXPECT_EQ(get_refusal(path, "{\"kind\":"), "400 bad_request");
    EXPECT_EQ(get_refusal(path, ""), "400 bad_request");
    EXPECT_EQ(get_refusal(path, std::string(5000, ' ')), "413 too_large");
    EXPECT_EQ(get_refusal("/v1/transactions/none/commit", "{}"), "400 bad_token");
    json extra = make_write("INSERT <a>");
    extra["extra"] = 1;
    EXPECT_EQ(get_refusal(path, extra.dump()), "400 bad_request");
    EXPECT_TRUE(target.rows.empty());
}

// Guards against forged tokens and tokens of another pool or caller.
TEST_F(entry_service_test, foreign_tokens_are_refused) {
    const std::string token = call(make_write("INSERT <a>"))["token"];
    EXPECT_EQ(get_refusal("/v1/pools/q/statements", make_read(token).dump()), "400 bad_token");
    EXPECT_EQ(get_refusal(path, make_read(token).dump(), "Bearer van"), "400 bad_token");
    std::string forged = token;
    forged[6] = forged[6] == 'A' ? 'B' : 'A';
    EXPECT_EQ(get_refusal(path, make_read(forged).dump()), "400 bad_token");
    EXPECT_EQ(get_refusal(path, make_read("nonsense").dump()), "400 bad_token");
    EXPECT_EQ(call(make_read(token))["outcome"], "ok");
}

// Guards against new work at a proxy that is leaving or cannot confirm its configuration.
TEST_F(entry_service_test, refuses_new_work_when_unconfirmed_or_draining) {
    groups.set([](state::fleet_view& view) { view.is_configuration_confirmed = false; });
    EXPECT_EQ(get_refusal(path, make_read().dump()), "503 configuration_unconfirmed");
    groups.set([](state::fleet_view& view) { view.is_configuration_confirmed = true; });
    entry.begin_drain();
    EXPECT_EQ(get_refusal(path, make_read().dump()), "503 draining");
}

// Guards against sessions that do not see their own writes.
TEST_F(entry_service_test, token_carries_the_session) {
    const json written = call(make_write("INSERT <a>", "k"));
    EXPECT_EQ(written["outcome"], "ok");
    EXPECT_EQ(written["served_by"]["role"], "primary");
    EXPECT_EQ(written["configuration_version"], 7);
    const json read = call(make_read(written["token"]));
    EXPECT_EQ(read["outcome"], "ok");
    EXPECT_EQ(read["results"][0]["rows"][0][0], "1");
    const json repeated = call(make_write("INSERT <a>", "k"));
    EXPECT_EQ(repeated["outcome"], "ok");
    EXPECT_EQ(repeated["results"], written["results"]);
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
    EXPECT_EQ(call(make_write("INSERT <b>", "k"))["error"]["code"], "key_reused");
}

// Guards against a keyed write that is given up or doubled when the answer of its commit is lost.
TEST_F(entry_service_test, lost_commit_of_a_keyed_write_is_resolved) {
    int losses = 1;
    target.get_fate = [&](const auto& statements) {
        for (const transport::target_statement& statement : statements) {
            if (statement.sql == "COMMIT" && losses > 0) {
                --losses;
                return tests::exchange_fate::lost_after_running;
            }
        }
        return tests::exchange_fate::normal;
    };
    EXPECT_EQ(call(make_write("INSERT <a>", "k"))["outcome"], "ok");
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against an unkeyed write sent twice, and a session that forgets the open question.
TEST_F(entry_service_test, lost_commit_without_key_is_unknown_and_makes_reads_strict) {
    target.get_fate = [&](const auto& statements) {
        return statements.front().sql == "COMMIT" ? tests::exchange_fate::lost_before_running
                                                  : tests::exchange_fate::normal;
    };
    const json lost = call(make_write("INSERT <a>"));
    EXPECT_EQ(lost["outcome"], "unknown");
    EXPECT_EQ(lost["error"]["code"], "outcome_unknown");
    EXPECT_EQ(target.caller_sends, 1);
    // Without any proof a read of this session cannot be answered in time.
    for (const char* pool : {"p", "q"}) {
        groups.set_group(pool, [](state::group_view& view) { view.proof.reset(); });
    }
    json read = make_read(lost["token"]);
    read["deadline_ms"] = 300;
    EXPECT_EQ(call(read)["outcome"], "not_run");
    set_acknowledged(1000);
    EXPECT_EQ(call(make_read(lost["token"]))["outcome"], "ok");
}

// Guards against a primary that comes back too late for requests that could have waited for it.
TEST_F(entry_service_test, write_waits_for_a_primary) {
    for (const char* pool : {"p", "q"}) {
        groups.set_group(pool, [](state::group_view& view) { view.primary.reset(); });
    }
    json quick = make_write("INSERT <a>");
    quick["deadline_ms"] = 100;
    const json refused = call(quick);
    EXPECT_EQ(refused["outcome"], "not_run");
    EXPECT_EQ(refused["error"]["code"], "no_primary");
    std::future<json> waiting =
        std::async(std::launch::async, [&] { return call(make_write("INSERT <b>")); });
    EXPECT_EQ(waiting.wait_for(milliseconds(50)), std::future_status::timeout);
    set_acknowledged(1000);
    EXPECT_EQ(waiting.get()["outcome"], "ok");
    EXPECT_EQ(target.rows.size(), 1U);
}

// Guards against commits that are lost when their home forgot the transaction.
TEST_F(entry_service_test, commit_is_resolved_by_its_key) {
    const json opened = call({{"kind", "write"}}, "/v1/pools/p/transactions");
    ASSERT_EQ(opened["outcome"], "ok") << opened;
    const std::string base = "/v1/transactions/" + opened["transaction"].get<std::string>();
    EXPECT_EQ(call({{"statements", {{{"sql", "INSERT <t>"}}}}}, base + "/statements")["outcome"],
              "ok");
    EXPECT_EQ(get_refusal(base + "/rollback", "{}", "Bearer van"), "403 forbidden");
    const json commit = {{"idempotency_key", "c"}};
    EXPECT_EQ(call(commit, base + "/commit")["outcome"], "ok");
    EXPECT_EQ(call(commit, base + "/commit")["outcome"], "ok") << "repeated after it took effect";
    EXPECT_EQ(target.rows["INSERT <t>"], 1);
    const json other = call({{"idempotency_key", "d"}}, base + "/commit");
    EXPECT_EQ(other["outcome"], "not_run");
    EXPECT_EQ(other["error"]["code"], "transaction_gone");
}

// Guards against a session that loses its writes because a rollback handed out an empty token.
TEST_F(entry_service_test, rollback_hands_out_no_token) {
    const json opened = call({{"kind", "write"}}, "/v1/pools/p/transactions");
    ASSERT_EQ(opened["outcome"], "ok") << opened;
    const std::string base = "/v1/transactions/" + opened["transaction"].get<std::string>();
    const json ended = call(json::object(), base + "/rollback");
    EXPECT_EQ(ended["outcome"], "ok");
    EXPECT_EQ(ended.value("token", ""), "") << ended;
}

}  // namespace
}  // namespace hornbeamhook::proxy
