#pragma once

#include <cstddef>

namespace hornbeamhook::coordination {

/** Counts bytes that are held against a limit. Not thread safe. */
class byte_budget {
public:
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    /** Replaces `removed` held bytes by `added`. False, without effect, if that exceeds the limit.
     */
    bool replace(std::size_t removed, std::size_t added) {
        const std::size_t rest = used_ - removed;
        if (added > removed && (added > limit_ || rest > limit_ - added)) {
            return false;
        }
        used_ = rest + added;
        return true;
    }

    void release(std::size_t bytes) { used_ -= bytes; }

    std::size_t get_used() const { return used_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

}  // namespace hornbeamhook::coordination
