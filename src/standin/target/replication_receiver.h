#pragma once

#include <memory>
#include <string>

#include "standin/target/group_member.h"
#include "standin/target/target_context.h"

namespace hornbeamhook::standin::target {

/** Receives the log of a primary on one accepted connection. Used by one thread. */
class replication_receiver {
public:
    /** `context` outlives this. */
    replication_receiver(target_context& context, std::shared_ptr<session_control> control);

    /** Serves the connection until it ends. */
    void run();

private:
    void serve();
    bool begin(const std::string& line);
    /** False when the stream ends. */
    bool take(const std::string& line);
    bool is_cut() const;
    bool answer(const nlohmann::json& object) const;

    target_context& context_;
    incoming_stream stream_;
};

}  // namespace hornbeamhook::standin::target
