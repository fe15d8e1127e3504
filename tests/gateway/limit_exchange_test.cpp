#include "gateway/limit_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/statement_time_limits.h"

namespace hornbeamhook::gateway {
namespace {

constexpr std::int64_t step_ms = 5;
constexpr std::int64_t delay_ms = 5;          ///< Of a message.
constexpr std::int64_t arrival_ms = 10;       ///< Between statements at one VM.
constexpr std::int64_t silence_ms = 1000;     ///< Until the fleet drops a silent VM.
constexpr std::int64_t other_clock = 900000;  ///< Its clock is ahead by this, in ms.
const coordination::limit_terms tolerance{0, 0, 5000, 0.1, 20};

/** One VM that takes statements of "anna" and may be the accountant. */
struct exchange_vm {
    std::string name;
    std::int64_t clock = 0;
    std::unique_ptr<limit_exchange> exchange;
    std::vector<pending_statement_ptr> waiting;
    std::vector<std::int64_t> sent;  ///< Times of the test's clock.
};

/** Two VMs that exchange messages over a link that can be cut; the limit is 50 a second. */
class limit_exchange_test : public testing::Test {
protected:
    limit_exchange_test() {
        anna_ = {"anna", 0, operation_limit{50, 10}};
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            exchange_vm& vm = vms_[i];
            vm.name = names_[i];
            vm.clock = i == 0 ? 0 : other_clock;
            vm.exchange = std::make_unique<limit_exchange>(
                vm.name, i + 1, tolerance, vm.clock,
                limit_exchange_owner{
                    .find_organisation = [this](const std::string&) { return &anna_; },
                    .send =
                        [this](const std::string& to, const peer_message& message) {
                            messages_.push_back({now_ + delay_ms, to, message});
                        },
                    .dispatch = [](const std::string&) {}});
        }
    }

    void run_until(std::int64_t end) {
        for (; now_ < end; now_ += step_ms) {
            deliver();
            for (exchange_vm& vm : vms_) {
                step(vm);
            }
        }
    }

    void deliver() {
        while (!messages_.empty() && messages_.front().at <= now_) {
            const message_under_way next = messages_.front();
            messages_.pop_front();
            if (is_cut_) {
                continue;
            }
            exchange_vm& to = vms_[next.to == names_[0] ? 0 : 1];
            const std::int64_t local = now_ + to.clock;
            if (const auto* request = std::get_if<coordination::limit_request>(&next.message)) {
                to.exchange->handle(*request, local);
            } else if (const auto* answer =
                           std::get_if<coordination::limit_answer>(&next.message)) {
                to.exchange->handle(*answer, local);
            }
        }
    }

    void step(exchange_vm& vm) {
        const std::int64_t local = now_ + vm.clock;
        if (now_ % 100 == 0) {
            const bool is_dropped = is_cut_ && now_ >= cut_at_ + silence_ms;
            vm.exchange->set_members(is_dropped ? std::vector{vm.name} : names_, 2, local);
        }
        if (now_ % limit_tick_ms == 0) {
            vm.exchange->tick(local);
        }
        if (now_ % arrival_ms == 0) {
            auto pending = std::make_shared<pending_statement>();
            pending->organisation = "anna";
            pending->target_route.group = "g";
            pending->arrived_at = local;
            vm.waiting.push_back(std::move(pending));
        }
        std::erase_if(vm.waiting, [&](const pending_statement_ptr& each) {
            const std::int64_t age = local - each->arrived_at;
            const bool is_checked = age == 0 || age >= max_grant_wait_ms;
            const std::int64_t limit = age == 0 ? max_grant_wait_ms : max_kept_grant_wait_ms;
            if (vm.exchange->allow(each, local)) {
                EXPECT_LT(age, get_objective(*each));
                vm.sent.push_back(now_);
                each->is_settled = true;
            } else if (age >= get_objective(*each) ||
                       (is_checked && vm.exchange->is_hopeless(*each, limit - age, local))) {
                each->is_settled = true;
            }
            return each->is_settled;
        });
    }

    std::int64_t count_sent(const exchange_vm& vm, std::int64_t from, std::int64_t to) const {
        return std::ranges::count_if(vm.sent,
                                     [&](std::int64_t at) { return at >= from && at < to; });
    }
    std::int64_t count_sent(std::int64_t from, std::int64_t to) const {
        return count_sent(vms_[0], from, to) + count_sent(vms_[1], from, to);
    }

    struct message_under_way {
        std::int64_t at = 0;
        std::string to;
        peer_message message;
    };

    const std::vector<std::string> names_{"vm-a", "vm-b"};
    organisation anna_;
    std::array<exchange_vm, 2> vms_;
    std::deque<message_under_way> messages_;
    std::int64_t now_ = 0;
    std::int64_t cut_at_ = 0;
    bool is_cut_ = false;
};

// Two accountants, VM cut off and back: guards against a limit that is exceeded or left unused
// while each VM is its own accountant, and against a VM that gets nothing.
TEST_F(limit_exchange_test, two_vms_share_a_limit_while_one_is_cut_off_and_after) {
    run_until(6000);
    is_cut_ = true;
    cut_at_ = now_;
    run_until(12000);
    is_cut_ = false;
    run_until(18000);
    const std::array<std::pair<std::int64_t, std::int64_t>, 3> phases{
        {{2000, 6000}, {8000, 12000}, {14000, 18000}}};
    for (const auto& [from, to] : phases) {
        const std::int64_t allowed = 50 * (to - from) / 1000;
        std::cout << "from=" << from << " vm-a=" << count_sent(vms_[0], from, to)
                  << " vm-b=" << count_sent(vms_[1], from, to) << " rate_allows=" << allowed
                  << '\n';
        EXPECT_GE(count_sent(from, to) * 100, allowed * 95);
        // Grants follow what each VM asks, so the parts are equal only while the VMs are apart.
        const bool is_apart = from == 8000;
        for (const exchange_vm& vm : vms_) {
            EXPECT_GE(count_sent(vm, from, to) * 100, allowed * (is_apart ? 47 : 25));
        }
    }
    coordination::limit_terms terms = tolerance;
    terms.rate_per_s = 50;
    terms.burst = 10;
    for (std::int64_t from = 0; from + terms.window_ms <= now_; from += step_ms) {
        ASSERT_LE(static_cast<double>(count_sent(from, from + terms.window_ms)),
                  coordination::get_window_allowance(terms))
            << from;
    }
}

}  // namespace
}  // namespace hornbeamhook::gateway
