#include "coordination/configuration_log.h"

#include <map>
#include <set>
#include <utility>

#include "state/state_error.h"

namespace hornbeamhook::coordination {

namespace leaf = boost::leaf;
using state::configuration;
using state::configuration_change;

namespace {

/** Applies one change. Returns the error message, or an empty string. */
std::string apply(configuration& config, const configuration_change& change) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(config, state::apply_change(config, change));
            return std::string();
        },
        [](const state::state_error& error) { return error.message; },
        [] { return std::string("the change cannot be applied"); });
}

std::string get_pool_of_target(const std::string& name) {
    return name.substr(0, name.find('/'));
}

commit_step finish(commit_state state, commit_result result) {
    state.result = std::move(result);
    return {std::move(state), finish_commit{}};
}

/** Returns the version of the draft's change in the log, found by its id. */
std::optional<std::uint64_t> find_draft_version(const commit_state& state,
                                                const std::vector<configuration_change>& changes) {
    for (const configuration_change& change : changes) {
        if (change.change_id == state.draft.change.change_id) {
            return change.version;
        }
    }
    return std::nullopt;
}

commit_step send_draft(commit_state state, std::optional<std::uint64_t> head_row_version) {
    configuration_change change = state.draft.change;
    change.version = state.current.version + 1;
    configuration after = state.current;
    std::string error = apply(after, change);
    if (!error.empty()) {
        return finish(std::move(state), commit_rejected{std::move(error)});
    }
    return {std::move(state), send_commit{std::move(change), head_row_version}};
}

commit_step handle(commit_state state, const log_read_completed& event) {
    adoption_result read = adopt_changes(state.current, event.changes);
    const std::optional<std::uint64_t> committed_version = find_draft_version(state, event.changes);
    if (!read.error.empty() || read.gap || read.config.version != event.head_version) {
        state.last_error = read.error.empty() ? "the configuration log has a gap" : read.error;
        const std::uint64_t after = state.current.version;
        return {std::move(state), read_log{after, true}};
    }
    state.current = std::move(read.config);
    if (committed_version) {
        return finish(std::move(state), commit_succeeded{*committed_version});
    }
    if (state.is_uncertain && state.current.version >= state.uncertain_version) {
        // Another change has the version of the lost commit, whose condition can never hold again.
        state.is_uncertain = false;
    }
    std::vector<object_conflict> conflicts = find_conflicts(state.draft, state.current);
    if (!conflicts.empty()) {
        return finish(std::move(state), commit_conflict{std::move(conflicts)});
    }
    return send_draft(std::move(state), event.head_row_version);
}

commit_step handle(commit_state state, const log_read_failed& event) {
    state.last_error = event.message;
    const std::uint64_t after = state.current.version;
    return {std::move(state), read_log{after, true}};
}

commit_step handle(commit_state state, const commit_answered& event) {
    if (event.is_committed) {
        configuration_change change = state.draft.change;
        change.version = event.version;
        static_cast<void>(apply(state.current, change));
        return finish(std::move(state), commit_succeeded{event.version});
    }
    const std::uint64_t after = state.current.version;
    return {std::move(state), read_log{after, false}};
}

commit_step handle(commit_state state, const commit_call_failed& event) {
    state.last_error = event.message;
    if (event.may_have_taken_effect) {
        state.is_uncertain = true;
        state.uncertain_version = event.version;
    }
    const std::uint64_t after = state.current.version;
    return {std::move(state), read_log{after, true}};
}

commit_step handle(commit_state state, const commit_deadline_passed& /*event*/) {
    std::string message = state.last_error.empty() ? "deadline exceeded" : state.last_error;
    if (state.is_uncertain) {
        return finish(std::move(state), commit_unknown{std::move(message)});
    }
    return finish(std::move(state), commit_unavailable{std::move(message)});
}

}  // namespace

adoption_result adopt_changes(const configuration& base,
                              const std::vector<configuration_change>& changes) {
    std::map<std::uint64_t, const configuration_change*> by_version;
    for (const configuration_change& change : changes) {
        if (change.version > base.version) {
            by_version.emplace(change.version, &change);
        }
    }
    adoption_result result{base, {}, {}, {}};
    for (const auto& [version, change] : by_version) {
        if (version != result.config.version + 1) {
            result.gap = version_gap{result.config.version + 1, version - 1};
            return result;
        }
        result.error = apply(result.config, *change);
        if (!result.error.empty()) {
            return result;
        }
        result.adopted.push_back(*change);
    }
    return result;
}

std::uint64_t get_object_version(const configuration& config, const std::string& kind,
                                 const std::string& name) {
    const auto version = config.object_versions.find(kind + "/" + name);
    return version == config.object_versions.end() ? 0 : version->second;
}

change_draft make_draft(const configuration& base, configuration_change change) {
    std::set<std::pair<std::string, std::string>> touched;
    for (const state::configuration_put& put : change.puts) {
        touched.emplace(put.kind, put.name);
    }
    for (const state::configuration_delete& removed : change.deletes) {
        touched.emplace(removed.kind, removed.name);
        const state::pool_description* pool =
            removed.kind == "pool" ? base.find_pool(removed.name) : nullptr;
        if (pool == nullptr) {
            continue;
        }
        for (const state::target_description& target : pool->targets) {
            touched.emplace("target", removed.name + "/" + target.name);
        }
    }
    std::set<std::string> required;
    for (const state::configuration_put& put : change.puts) {
        const std::string pool = get_pool_of_target(put.name);
        if (put.kind == "target" && !touched.contains({"pool", pool})) {
            required.insert(pool);
        }
    }
    change_draft draft{std::move(change), {}, {}};
    for (const auto& [kind, name] : touched) {
        draft.bases.push_back({kind, name, get_object_version(base, kind, name)});
    }
    for (const std::string& pool : required) {
        draft.required.push_back({"pool", pool, get_object_version(base, "pool", pool)});
    }
    return draft;
}

std::vector<object_conflict> find_conflicts(const change_draft& draft,
                                            const configuration& current) {
    std::vector<object_conflict> conflicts;
    std::set<std::string> known;
    for (const object_base& base : draft.bases) {
        known.insert(base.kind + "/" + base.name);
        const std::uint64_t version = get_object_version(current, base.kind, base.name);
        if (version != base.version) {
            conflicts.push_back({base.kind, base.name, base.version, version});
        }
    }
    // Otherwise a target that was added after the base would be deleted with its pool unnoticed.
    for (const state::configuration_delete& removed : draft.change.deletes) {
        const state::pool_description* pool =
            removed.kind == "pool" ? current.find_pool(removed.name) : nullptr;
        if (pool == nullptr) {
            continue;
        }
        for (const state::target_description& target : pool->targets) {
            const std::string name = removed.name + "/" + target.name;
            if (!known.contains("target/" + name)) {
                conflicts.push_back(
                    {"target", name, 0, get_object_version(current, "target", name)});
            }
        }
    }
    for (const object_base& pool : draft.required) {
        if (pool.version != 0 && get_object_version(current, pool.kind, pool.name) == 0) {
            conflicts.push_back({pool.kind, pool.name, pool.version, 0});
        }
    }
    return conflicts;
}

commit_step begin_commit(configuration current, change_draft draft) {
    commit_state state{std::move(current), std::move(draft), false, 0, {}, {}};
    const std::uint64_t after = state.current.version;
    return {std::move(state), read_log{after, false}};
}

commit_step advance_commit(commit_state state, const commit_event& event) {
    if (state.result) {
        return {std::move(state), finish_commit{}};
    }
    return std::visit([&](const auto& value) { return handle(std::move(state), value); }, event);
}

}  // namespace hornbeamhook::coordination
