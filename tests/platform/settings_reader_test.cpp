#include "platform/settings_reader.h"

#include <gtest/gtest.h>

namespace hornbeamhook::platform {
namespace {

const char* const sample =
    "Node=front-1\r\nZone=z1\nRegion=r1\nZones.z1=r1\nZones.z2=r2\nListen.Front=10.1.0.8:8784\n"
    "Listen.Ready=10.1.0.8:8785\nListen.Control=10.1.0.8:8782\nIp=10.1.0.8\n"
    "InternalPorts=7440,7455\nSeeds=10.2.0.6:8782,broken,10.3.0.7:8782\nUnknown.Field=x\n"
    "platform.Addr=10.200.1.7:8783\nCloud.Addr=10.200.0.160:8783\nBounds.GraceS=6\n"
    "Limits.MaxFds=4200\n";

std::string get_error(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(parse_settings(text));
            return std::string();
        },
        [](const state::state_error& error) { return error.message; },
        [] { return std::string("another error"); });
}

std::string replace(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

TEST(settings_reader, reads_the_used_fields) {
    const auto settings = parse_settings(sample);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->vm, "front-1");
    EXPECT_EQ(settings->peer_address, (transport::endpoint{"10.1.0.8", 7440}));
    EXPECT_EQ(settings->shutdown_limit_ms, 6000);
    EXPECT_EQ(settings->seeds.size(), 2U);
    EXPECT_EQ(settings->place_regions.size(), 2U);
}

// Guards against limits that fit another machine, and against a start that fails for them.
TEST(settings_reader, reads_the_memory_and_descriptors_of_the_process) {
    const auto settings = parse_settings(std::string(sample) + "Limits.MemoryMb=160\n");
    EXPECT_EQ(settings->memory_mb, 160);
    EXPECT_EQ(settings->max_descriptors, 4200);
    EXPECT_EQ(parse_settings(sample)->memory_mb, 0);
    EXPECT_EQ(parse_settings(std::string(sample) + "Limits.MemoryMb=-1\n")->memory_mb, 0);
    EXPECT_EQ(parse_settings(std::string(sample) + "Limits.MemoryMb=x\n")->memory_mb, 0);
}

// Guards against callers that are identified, or limits in force, where the platform has neither.
TEST(settings_reader, reads_which_parts_are_in_force) {
    const auto without = parse_settings(sample);
    EXPECT_FALSE(without->identifies_callers);
    EXPECT_FALSE(without->limits_operations);
    EXPECT_FALSE(without->shares_fairly);
    const std::string contracts = std::string(sample) + "Contracts=base,tenants,quota,sql\n";
    EXPECT_EQ(get_error(contracts), "Bounds.QuotaWindowS: missing");
    const auto with = parse_settings(contracts +
                                     "Bounds.QuotaWindowS=5\nBounds.QuotaExcess=0.1\n"
                                     "Bounds.QuotaSlack=20\n");
    EXPECT_TRUE(with->identifies_callers);
    EXPECT_TRUE(with->limits_operations);
    EXPECT_EQ(with->limit_window_ms, 5000);
    EXPECT_DOUBLE_EQ(with->limit_excess, 0.1);
    EXPECT_EQ(with->limit_slack, 20);
    const auto exact = parse_settings(contracts + "Bounds.QuotaWindowS=5\nBounds.QuotaSlack=0\n");
    EXPECT_EQ(exact->limit_slack, 0);
    EXPECT_EQ(exact->limit_excess, 0);
    EXPECT_FALSE(parse_settings(std::string(sample) + "Contracts=tenants2\n")->identifies_callers);
    EXPECT_FALSE(with->shares_fairly);
    EXPECT_TRUE(parse_settings(std::string(sample) + "Contracts=base,pressure\n")->shares_fairly);
}

// Guards against starting with incomplete settings, or failing without naming the field.
TEST(settings_reader, names_a_missing_or_invalid_field) {
    EXPECT_EQ(get_error(""), "Node: missing");
    EXPECT_EQ(get_error(replace(sample, "Bounds.GraceS=6\n", "")), "Bounds.GraceS: missing");
    EXPECT_EQ(get_error(replace(sample, "GraceS=6", "GraceS=-1")),
              "Bounds.GraceS: \"-1\" is not a whole number from 1 to 3600");
    EXPECT_EQ(get_error(replace(sample, "10.1.0.8:8784", "10.1.0.8")),
              "Listen.Front: \"10.1.0.8\" is not HOST:PORT");
    EXPECT_EQ(get_error(replace(sample, "7440,", "70000,")),
              "InternalPorts: \"70000\" is not a whole number from 1 to 65535");
    EXPECT_EQ(get_error(sample), "");
}

// Guards against the name of a VM that ends a header of the platform, cannot be a key of the store,
// or is read as other fields of a log line; bytes that are no UTF-8 ended the process.
TEST(settings_reader, refuses_names_that_are_no_word) {
    for (const char* odd : {"a b", " a", "a\rX-Fencing-Token: 9", "a\tb", "\xff", "\xc3\xa4"}) {
        for (const std::string field : {"Node=front-1", "Zone=z1", "Region=r1"}) {
            const std::string name = field.substr(0, field.find('='));
            EXPECT_EQ(get_error(replace(sample, field, name + "=" + odd)),
                      name + ": not 1 to 128 printable ASCII characters without blanks")
                << odd;
        }
    }
    EXPECT_NE(get_error(replace(sample, "front-1", std::string(129, 'a'))), "");
    EXPECT_EQ(get_error(replace(sample, "front-1", std::string(128, 'a'))), "");
}

}  // namespace
}  // namespace hornbeamhook::platform
