#include "proxy/platform_sync.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "protocol/configuration_store.h"
#include "support/configuration_samples.h"
#include "support/platform_fixture.h"

namespace hornbeamhook::proxy {
namespace {

using coordination::make_draft;
using state::configuration;
using std::chrono::milliseconds;
using tests::make_change;
using tests::make_pool;

constexpr std::chrono::seconds wait_limit{20};

class platform_sync_test : public tests::platform_fixture {
protected:
    platform_sync_test() : client_(settings_.listen_address, milliseconds(2000)), store_(client_) {}

    protocol::proxy_settings make_settings() const {
        protocol::proxy_settings settings;
        settings.vm = "vm-1";
        settings.place = "cairo";
        settings.data_center = "cairo-1";
        settings.advertise_address = "127.0.0.1:9";
        settings.platform_address = settings_.listen_address;
        settings.store_poll_interval = milliseconds(10);
        settings.store_timeout = milliseconds(500);
        return settings;
    }

    /** Records everything and adopts like the control thread does. */
    platform_callbacks make_callbacks() {
        return {.get_adopted_version =
                    [this] {
                        const std::scoped_lock lock(mutex_);
                        ++polls_;
                        return adopted_.version;
                    },
                .on_configuration =
                    [this](const configuration_update& update) {
                        change([&] {
                            if (update.whole && update.whole->version > adopted_.version) {
                                adopted_ = *update.whole;
                                ++wholes_;
                            }
                            const std::uint64_t before = adopted_.version;
                            adopted_ = coordination::adopt_changes(adopted_, update.changes).config;
                            reverts_ += adopted_.version < before ? 1 : 0;
                        });
                    },
                .on_head = [this](std::uint64_t head) { change([&] { head_ = head; }); },
                .on_vms =
                    [this](vm_list_update update) {
                        change([&] {
                            vms_ = std::move(update.entries);
                            ++lists_;
                            listed_unregistered_ += !update.is_registered && !vms_.empty() ? 1 : 0;
                        });
                    },
                .on_reachability =
                    [this](bool is_reachable) { change([&] { is_reachable_ = is_reachable; }); }};
    }

    template <class Function>
    void change(Function function) {
        {
            const std::scoped_lock lock(mutex_);
            function();
        }
        has_changed_.notify_all();
    }

    template <class Condition>
    bool wait_until(Condition condition) {
        std::unique_lock lock(mutex_);
        return has_changed_.wait_for(lock, wait_limit, condition);
    }

    /** Waits until the platform lists the VM as leaving, while peers keep `sync` from reading. */
    bool wait_listed_leaving(platform_sync& sync) {
        const auto deadline = std::chrono::steady_clock::now() + wait_limit;
        while (std::chrono::steady_clock::now() < deadline) {
            sync.note_peer();
            const auto list = client_.get_vms();
            if (list && list->size() == 1 && list->front().is_leaving) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return false;
    }

    void commit(int number) {
        current_ = store_
                       .commit(current_,
                               make_draft(current_, make_change("id" + std::to_string(number),
                                                                {make_pool("p", number)})),
                               {}, std::chrono::steady_clock::now() + wait_limit)
                       .config;
    }

    protocol::table_client client_;
    protocol::configuration_store store_;
    configuration current_;
    std::mutex mutex_;
    std::condition_variable has_changed_;
    configuration adopted_;
    std::uint64_t head_ = 0;
    int polls_ = 0;
    int lists_ = 0;
    int listed_unregistered_ = 0;  ///< Lists read before the own registration.
    int wholes_ = 0;
    int reverts_ = 0;
    std::vector<protocol::vm_entry> vms_;
    std::optional<bool> is_reachable_;
};

// Guards against a proxy that does not follow the log, or reads it whole each time.
TEST_F(platform_sync_test, follows_the_log_and_lists_its_vm) {
    commit(1);
    platform_sync sync(make_settings(), make_callbacks());
    sync.start();
    EXPECT_TRUE(wait_until([&] { return adopted_.version == 1 && vms_.size() == 1; }));
    for (int i = 2; i <= 5; ++i) {
        commit(i);
        EXPECT_TRUE(wait_until([&] { return adopted_.version == current_.version; }));
    }
    EXPECT_EQ(wholes_, 1);
    EXPECT_EQ(reverts_, 0);
    sync.announce_leaving();
    EXPECT_TRUE(wait_until([&] { return vms_.size() == 1 && vms_[0].is_leaving; }));
    sync.stop();
    EXPECT_EQ(adopted_, current_);
}

// Guards against an outage that is not noticed, or after which changes are missed.
TEST_F(platform_sync_test, catches_up_after_an_outage) {
    platform_sync sync(make_settings(), make_callbacks());
    sync.start();
    EXPECT_TRUE(wait_until([&] { return is_reachable_ == true; }));
    set_faults({{"outage", "refuse"}});
    EXPECT_TRUE(wait_until([&] { return is_reachable_ == false; }));
    set_faults({{"outage", "none"}});
    for (int i = 1; i <= 3; ++i) {
        commit(i);
    }
    EXPECT_TRUE(wait_until([&] { return is_reachable_ == true && adopted_.version == 3; }));
    EXPECT_EQ(reverts_, 0);
}

// Guards against a proxy that cancels an operator's drain by registering itself again.
TEST_F(platform_sync_test, keeps_a_drain_of_its_vm) {
    platform_sync sync(make_settings(), make_callbacks());
    sync.start();
    EXPECT_TRUE(wait_until([&] { return vms_.size() == 1 && !vms_[0].is_leaving; }));
    protocol::vm_entry drained = vms_[0];
    drained.is_leaving = true;
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(drained)));
    EXPECT_TRUE(wait_until([&] { return vms_.size() == 1 && vms_[0].is_leaving; }));
    const int before = polls_;
    EXPECT_TRUE(wait_until([&] { return polls_ >= before + 3; }));
    sync.stop();
    EXPECT_TRUE(vms_[0].is_leaving);
}

// Guards against a restarted proxy whose VM stays listed as leaving because its predecessor left.
TEST_F(platform_sync_test, a_restarted_proxy_is_listed_as_live) {
    {
        platform_sync first(make_settings(), make_callbacks());
        first.start();
        EXPECT_TRUE(wait_until([&] { return vms_.size() == 1; }));
        first.announce_leaving();
        EXPECT_TRUE(wait_until([&] { return vms_.size() == 1 && vms_[0].is_leaving; }));
    }
    platform_sync second(make_settings(), make_callbacks());
    second.start();
    EXPECT_TRUE(wait_until([&] { return vms_.size() == 1 && !vms_[0].is_leaving; }));
    EXPECT_EQ(listed_unregistered_, 0) << "a list read before the registration proves nothing";
}

// Guards against a proxy that reads the store although its peers tell it what they read, and
// against one that does not register its VM because it is no store reader.
TEST_F(platform_sync_test, a_non_reader_reads_at_its_start_and_when_asked) {
    platform_sync sync(make_settings(), make_callbacks());
    sync.set_reading(false);
    sync.start();
    EXPECT_TRUE(wait_until([&] { return is_reachable_ == true && vms_.size() == 1; }));
    commit(1);
    sync.note_peer();
    sync.poll_now();
    EXPECT_TRUE(wait_until([&] { return adopted_.version == 1; }));
    EXPECT_EQ(polls_, 2) << "at the start and when asked";
    const int lists = lists_;
    sync.note_peer();
    sync.read_vms_now();
    EXPECT_TRUE(wait_until([&] { return lists_ == lists + 1; }));
    sync.announce_leaving();
    EXPECT_TRUE(wait_listed_leaving(sync));
    sync.stop();
    EXPECT_EQ(lists_, lists + 1) << "registered without a read of the list";
}

// Guards against a proxy without peers that learns of no change any more.
TEST_F(platform_sync_test, a_non_reader_without_peers_reads_the_store) {
    platform_sync sync(make_settings(), make_callbacks());
    sync.set_reading(false);
    sync.start();
    EXPECT_TRUE(wait_until([&] { return polls_ >= 10 && lists_ >= 10; }));
    commit(1);
    EXPECT_TRUE(wait_until([&] { return adopted_.version == 1; }));
}

}  // namespace
}  // namespace hornbeamhook::proxy
