#pragma once

#include <cstdint>
#include <string>

#include "load/write_record.h"

namespace hornbeamhook::load {

/** What a script did to the fleet, reported through the control interface. */
enum class event_kind {
    primary_lost,            ///< A primary was killed, stopped or cut off.
    target_leaving,          ///< A change that marks a target as leaving was accepted.
    target_back,             ///< A change that ends this was accepted.
    configuration_accepted,  ///< A configuration change was accepted by the store.
};

/** One reported event. */
struct event_record {
    event_kind kind = event_kind::primary_lost;
    std::string pool;
    std::string target;
    std::uint64_t version = 0;  ///< Of the accepted configuration.
    std::string label;          ///< Kind of loss, for the report.
    time_point at;              ///< Not later than the effect.
    time_point effective;       ///< Not earlier than the effect.
};

}  // namespace hornbeamhook::load
