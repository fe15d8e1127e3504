#include "ctl/gateway_log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "gateway/bounded_log.h"
#include "support/hostile_text.h"
#include "support/seed.h"
#include "transport/format_event.h"

namespace hornbeamhook::ctl {
namespace {

constexpr const char* sample = R"(note: a line of another program
  1.0001 vm-a boot_ms=1000 vm=vm-a event=7012 target_listed target=i-1 group=g place=z primary=yes leaving=no
  6.1000 vm-a boot_ms=6100 vm=vm-a event=7014 store_lost status=503 reason="" served_ms_ago=1700
  6.2000 vm-a boot_ms=6200 vm=vm-a event=7021 primary_right_lost group=g target=i-1 version=7 store_read_ms_ago=2000 revoked=no
  6.3000 vm-a boot_ms=6300 vm=vm-a event=7030 statement_refused id=aa sent_to="" caller=u1 reason="no primary may be used" waited_ms=50 attempts=0 needs_primary=yes primary=i-1 record_version=7 right_left_ms=-90
  6.4000 vm-b boot_ms=77 vm=vm-b event=7033 answer_lost id=bb caller=u2 target=i-1 commit=yes
  6.5000 vm-b boot_ms=80 vm=vm-b event=7027 primary_suspected group=g target=i-1 answer_ms_ago=700 refused=no listed=yes
  6.9000 vm-b boot_ms=90 vm=vm-b event=7020 leadership_record_changed group=g target=i-2 term=2 changer="" version=9
  7.0000 vm-b boot_ms=99 vm=vm-b event=7030 statement_refused id=cc sent_to=i-1,i-2 caller=u2 reason="no answer in time" waited_ms=800 attempts=2 needs_primary=no primary=i-2 record_version=9 right_left_ms=900
)";

std::string join(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
        text += line + "\n";
    }
    return text;
}

// Guards against a refusal by a limit that is explained as a lack of connections.
TEST(gateway_log, names_the_organisation_whose_limit_was_reached) {
    const auto log = parse_gateway_log(
        "  1.0 vm-a boot_ms=1 vm=vm-a event=7030 statement_refused id=dd sent_to=\"\" caller=u "
        "organisation=anna reason=\"the limit of the organisation is reached\" waited_ms=9\n");
    const std::string story = join(explain_request(log, "dd"));
    EXPECT_NE(story.find("cause: organisation anna asked for more operations"), std::string::npos)
        << story;
}

TEST(gateway_log, reads_lines_among_other_text) {
    const auto log = parse_gateway_log(sample);
    ASSERT_EQ(log.size(), 8U);
    EXPECT_EQ(log[3].event, "statement_refused");
    EXPECT_EQ(log[3].vm, "vm-a");
    EXPECT_EQ(log[3].time, "6.3000");
    EXPECT_EQ(log[3].get("reason"), "no primary may be used");
    EXPECT_EQ(log[3].get("sent_to"), "");
    EXPECT_EQ(log[3].get("boot_ms"), "");
}

// Guards against damaged logs that end the program or name wrong events.
TEST(gateway_log, passes_over_damaged_lines) {
    for (const char* line : {"", "boot_ms=", "boot_ms=1 vm=", "boot_ms=1 vm=a", "boot_ms=1 event=7",
                             "boot_ms=1 vm=a \"", "vm=a event=7000 gateway_started"}) {
        const auto parsed = parse_gateway_line(line);
        EXPECT_TRUE(!parsed || !parsed->event.empty()) << line;
    }
    EXPECT_FALSE(parse_gateway_line("boot_ms=1 vm=a").has_value());
    EXPECT_EQ(
        parse_gateway_line("boot_ms=1 vm=a event=7000 gateway_started x=\"a \\\" b\"")->get("x"),
        "a \" b");
}

// Guards against an explanation that names the refusal but not what the VM believed.
TEST(gateway_log, explains_a_refusal_by_the_lost_right_and_the_store) {
    const std::string story = join(explain_request(parse_gateway_log(sample), "aa"));
    EXPECT_NE(story.find("statement_refused"), std::string::npos) << story;
    EXPECT_NE(story.find("right: 6.2000 vm-a primary_right_lost"), std::string::npos) << story;
    EXPECT_NE(story.find("store: 6.1000 vm-a store_lost"), std::string::npos) << story;
    EXPECT_NE(story.find("cause: the VM could neither read the store"), std::string::npos) << story;
    EXPECT_EQ(story.find("answer_lost"), std::string::npos) << story;
}

// Guards against a revoked right that is told as one that never was.
TEST(gateway_log, explains_a_refusal_during_a_change_of_the_primary) {
    auto log = parse_gateway_log(sample);
    log[2] = *parse_gateway_line(
        "6.2 vm-a boot_ms=6200 vm=vm-a event=7023 primary_right_revoked group=g version=8 "
        "planned=no");
    const std::string story = join(explain_request(log, "aa"));
    EXPECT_NE(story.find("cause: another VM was replacing the primary"), std::string::npos)
        << story;
}

// Guards against a doubt that leaves open whether the effect may have been rolled back.
TEST(gateway_log, explains_a_lost_answer_by_what_became_of_the_primary) {
    const std::string story = join(explain_request(parse_gateway_log(sample), "bb"));
    EXPECT_NE(story.find("afterwards: 6.9000 vm-b leadership_record_changed"), std::string::npos)
        << story;
    EXPECT_NE(story.find("it was replaced afterwards, so an effect may be gone"), std::string::npos)
        << story;
}

// Guards against a doubt about a read that changed nothing.
TEST(gateway_log, explains_a_lost_answer_of_a_replica) {
    const std::string text = std::string(sample) +
                             "7.1 vm-b boot_ms=99 vm=vm-b event=7033 answer_lost id=dd caller=u2 "
                             "target=i-3 commit=no\n"
                             "6.0 vm-b boot_ms=1 vm=vm-b event=7012 target_listed target=i-3 "
                             "group=g place=z primary=no leaving=no\n";
    auto log = parse_gateway_log(text);
    std::swap(log[8], log[9]);
    const std::string story = join(explain_request(log, "dd"));
    EXPECT_NE(story.find("the answer of a replica was lost"), std::string::npos) << story;
}

// Guards against a refused connection that the explanation overlooks.
TEST(gateway_log, explains_a_refusal_by_the_limit_of_connections) {
    const std::string story = join(explain_request(
        parse_gateway_log("1 vm-a boot_ms=1 vm=vm-a event=7034 target_link_ended target=i-1 "
                          "refused=no limited=yes reason=full\n"
                          "2 vm-a boot_ms=2 vm=vm-a event=7030 statement_refused id=ee "
                          "reason=\"no connection became free\" primary=i-1\n"),
        "ee"));
    EXPECT_NE(story.find("limit: 1 vm-a target_link_ended"), std::string::npos) << story;
    EXPECT_NE(story.find("the target had refused more before"), std::string::npos) << story;
}

TEST(gateway_log, explains_a_late_answer_by_the_silent_targets) {
    const std::string story = join(explain_request(parse_gateway_log(sample), "cc"));
    EXPECT_NE(story.find("suspicion: 6.5000 vm-b primary_suspected"), std::string::npos) << story;
    EXPECT_NE(story.find("cause: i-1,i-2 did not answer in time"), std::string::npos) << story;
}

TEST(gateway_log, tells_a_promotion_in_order) {
    const auto story = explain_promotion(parse_gateway_log(sample), "g");
    ASSERT_EQ(story.size(), 3U);
    EXPECT_TRUE(story[0].starts_with("6.2000 vm-a primary_right_lost"));
    EXPECT_TRUE(story[2].starts_with("6.9000 vm-b leadership_record_changed"));
    EXPECT_TRUE(explain_promotion(parse_gateway_log(sample), "other").empty());
    EXPECT_TRUE(explain_request(parse_gateway_log(sample), "other").empty());
}

constexpr transport::event_type drawn_event{7000, "drawn", transport::event_severity::info};

std::string format_drawn(const std::string& first, const std::string& second) {
    return "boot_ms=1 vm=a " +
           transport::format_event(drawn_event, {{"first", first}, {"second", second}});
}

// Guards against a value that ends its line, starts another field, or is read as another value:
// control characters and bytes that are no ASCII were written as they are, line ends as blanks.
TEST(gateway_log, values_are_read_back_as_written) {
    tests::hostile_text text(tests::get_seed());
    constexpr int rounds = 5000;
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        const std::string first = text.draw();
        const std::string second = text.draw();
        const std::string line = format_drawn(first, second);
        EXPECT_TRUE(std::all_of(line.begin(), line.end(), [](char c) {
            return c >= ' ' && c <= '~';
        })) << line;
        const auto log = parse_gateway_log(line + "\n");
        ASSERT_EQ(log.size(), 1U) << line;
        EXPECT_EQ(log[0].event, "drawn");
        EXPECT_EQ(log[0].vm, "a");
        EXPECT_EQ(log[0].fields,
                  (std::map<std::string, std::string>{{"first", first}, {"second", second}}));
    }
}

// Guards against log texts that reach the operator's terminal as control characters.
TEST(gateway_log, an_explanation_holds_no_control_characters) {
    const auto log = parse_gateway_log(
        "boot_ms=1 vm=a event=7030 statement_refused id=aa reason=\"\\x1b[2J\\n\"\n");
    EXPECT_EQ(join(explain_request(log, "aa")).find('\x1b'), std::string::npos);
}

// Guards against the name of a VM that is read as other fields of the line.
TEST(gateway_log, the_name_of_a_vm_is_read_back_as_written) {
    const std::string name = "a b event=1 x\n";
    testing::internal::CaptureStdout();
    gateway::bounded_log log(name);
    log.write(drawn_event, {{"first", "1"}});
    log.flush();
    const auto lines = parse_gateway_log(testing::internal::GetCapturedStdout());
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].vm, name);
    EXPECT_EQ(lines[0].event, "drawn");
    EXPECT_EQ(lines[0].get("first"), "1");
}

}  // namespace
}  // namespace hornbeamhook::ctl
