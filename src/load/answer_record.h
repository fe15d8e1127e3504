#pragma once

#include <cstdint>
#include <string>

#include "load/write_record.h"

namespace hornbeamhook::load {

/** One answer with outcome `ok`, whatever it answered. */
struct answer_record {
    std::string proxy;
    std::string pool;
    time_point begin;
    time_point end;
    std::string expected;  ///< Value that only this request can get back.
    std::string received;
    std::string target;  ///< That served it.
    bool is_in_transaction = false;
    std::uint64_t configuration_version = 0;  ///< 0 when the answer did not carry one.
};

}  // namespace hornbeamhook::load
