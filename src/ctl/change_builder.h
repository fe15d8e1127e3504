#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/configuration_log.h"
#include "ctl/statement.h"
#include "state/configuration.h"

namespace hornbeamhook::ctl {

/** Where new secrets come from; tests replace it. */
struct secret_source {
    std::function<std::string()> make_credential;
    std::function<std::string()> make_key;  ///< 64 hex digits.
};

/** A change that a statement asks for. */
struct planned_change {
    coordination::change_draft draft;  ///< Without change id, author and time.
    std::string kind;
    std::string name;
    nlohmann::json before;   ///< Value of the object, or null.
    nlohmann::json after;    ///< Value of the object, or null.
    std::string credential;  ///< A new credential to be shown once, or empty.
};

/** The value of an object as its put had it, or null when it does not exist. */
nlohmann::json get_object_value(const state::configuration& config, const std::string& kind,
                                const std::string& name);

/** The value without secrets, for display and the audit trail. */
nlohmann::json hide_secrets(const std::string& kind, nlohmann::json value);

/** The change of `create`. Fails with command_error. */
boost::leaf::result<planned_change> plan_change(const state::configuration& base,
                                                const create_statement& create,
                                                const secret_source& secrets);

/** The change of `alter`. Fails with command_error. */
boost::leaf::result<planned_change> plan_change(const state::configuration& base,
                                                const alter_statement& alter,
                                                const secret_source& secrets);

/** The change of `drop`. Fails with command_error. */
boost::leaf::result<planned_change> plan_change(const state::configuration& base,
                                                const drop_statement& drop,
                                                const secret_source& secrets);

/** The change of `drain target` and `undrain target`. Fails with command_error. */
boost::leaf::result<planned_change> plan_change(const state::configuration& base,
                                                const drain_statement& drain,
                                                const secret_source& secrets);

}  // namespace hornbeamhook::ctl
