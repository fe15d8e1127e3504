#include "standin/target/wire_session.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "standin/target/tcp_socket.h"
#include "support/target_group.h"

namespace hornbeamhook::standin::target {
namespace {

using tests::target_group;

std::string make_number(std::uint64_t value, int bytes) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
    return text;
}

std::string make_packet(const std::string& body) {
    return make_number(static_cast<std::uint32_t>(body.size() + 4), 4) + body;
}

std::string make_message(char type, const std::string& body) {
    return type + make_packet(body);
}

std::string make_parse(const std::string& sql) {
    return make_message('P', std::string(1, '\0') + sql + '\0' + make_number(0, 2));
}

/** Binds the unnamed statement without parameters, describes and executes it. */
std::string make_execution() {
    return make_message('B', std::string(2, '\0') + make_number(0, 6)) +
           make_message('D', std::string("P") + '\0') +
           make_message('E', std::string(1, '\0') + make_number(0, 4));
}

/** A client without a library, so that it can break the protocol. */
class raw_client {
public:
    explicit raw_client(const std::string& address)
        : fd_(connect_to(address, tests::generous_timeout)) {}
    ~raw_client() { ::close(fd_); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& bytes) { EXPECT_TRUE(send_all(fd_, bytes)); }

    /** Sends the start-up packet and reads up to the first ReadyForQuery. */
    std::string start() {
        send(make_packet(make_number(196608, 4) + "user" + '\0' + "x" + '\0' + '\0'));
        return read_types();
    }

    std::string read_bytes(std::size_t count) {
        std::string bytes(count, '\0');
        const ssize_t received = ::recv(fd_, bytes.data(), count, MSG_WAITALL);
        bytes.resize(received < 0 ? 0 : static_cast<std::size_t>(received));
        return bytes;
    }

    /** The types of the messages up to ReadyForQuery or the end of the connection; errors are
     * followed by their SQLSTATE and ReadyForQuery by its state. */
    std::string read_types() {
        std::string types;
        for (;;) {
            const std::string head = read_bytes(5);
            if (head.size() < 5) {
                return types + "<end>";
            }
            const std::string body =
                read_bytes(static_cast<std::size_t>(wire_reader(head.substr(1)).get_int32()) - 4);
            types += head[0];
            if (head[0] == 'E') {
                types += "(" + body.substr(body.find("\0C", 0, 2) + 2, 5) + ")";
            }
            if (head[0] == 'Z') {
                return types + body;
            }
        }
    }

private:
    int fd_;
};

// Guards against answers that differ from the published protocol.
TEST(wire_session, start_up_and_simple_query) {
    target_group group(1);
    raw_client client(group.get_address(0));
    client.send(make_packet(make_number(80877103, 4)));
    EXPECT_EQ(client.read_bytes(1), "N");
    client.send(make_packet(make_number(80877104, 4)));
    EXPECT_EQ(client.read_bytes(1), "N");
    EXPECT_EQ(client.start(), "RSSSSSKZI");
    client.send(make_message('Q', std::string("SELECT 1; SELECT ';' AS a") + '\0'));
    EXPECT_EQ(client.read_types(), "TDCTDCZI");
    client.send(make_message('Q', std::string(" ; ") + '\0'));
    EXPECT_EQ(client.read_types(), "IZI");
    client.send(make_message('Q', std::string("BEGIN; SELEC 1; SELECT 2") + '\0'));
    EXPECT_EQ(client.read_types(), "CE(42601)ZE");
    client.send(make_message('Q', std::string("SELECT 1") + '\0'));
    EXPECT_EQ(client.read_types(), "E(25P02)ZE");
    client.send(make_message('Q', std::string("ROLLBACK") + '\0'));
    EXPECT_EQ(client.read_types(), "CZI");
    client.send(make_message('X', ""));
    EXPECT_EQ(client.read_types(), "<end>");
}

// Guards against running what follows a failed statement of a pipeline.
TEST(wire_session, error_skips_to_the_synchronisation_point) {
    target_group group(1);
    raw_client client(group.get_address(0));
    client.start();
    client.send(make_parse("SELECT 1") + make_execution() + make_parse("SELEC") + make_execution() +
                make_parse("CREATE TABLE part (id INTEGER)") + make_execution() +
                make_message('S', "") + make_parse("SELECT 2") + make_execution() +
                make_message('S', ""));
    EXPECT_EQ(client.read_types(), "12TDCE(42601)ZI");
    EXPECT_EQ(client.read_types(), "12TDCZI");
    EXPECT_EQ(group.get_status(0).position, 0U);
}

// Guards against malformed messages ending the process or reaching other connections.
TEST(wire_session, malformed_messages_are_refused) {
    target_group group(1);
    const auto other = tests::connect(group.get_address(0));
    for (const std::string& bad :
         {make_message('P', "no end"), make_message('B', std::string(1, '\0')),
          make_message('B', std::string(2, '\0') + make_number(0, 2) + make_number(1, 2) +
                                make_number(0x7fffffff, 4)),
          make_message('D', ""), make_message('C', "S"), make_message('?', "x")}) {
        raw_client client(group.get_address(0));
        client.start();
        client.send(make_parse("SELECT 1") + bad + make_message('S', ""));
        EXPECT_EQ(client.read_types(), "1E(08P01)ZI") << static_cast<int>(bad[0]);
    }
    const std::vector<std::pair<std::string, std::string>> others{
        {make_message('B', std::string(1, '\0') + "missing" + '\0'), "E(26000)ZI"},
        {make_message('E', std::string("missing") + '\0' + make_number(0, 4)), "E(34000)ZI"},
    };
    for (const auto& [bad, expected] : others) {
        raw_client client(group.get_address(0));
        client.start();
        client.send(bad + make_message('S', ""));
        EXPECT_EQ(client.read_types(), expected);
    }
    EXPECT_FALSE(tests::run(*other, {{"SELECT 1", {}}}).error);
}

// Guards against lengths that make the target reserve memory or read past the end.
TEST(wire_session, impossible_lengths_end_the_connection) {
    target_group group(1);
    for (const std::uint32_t length : {0U, 3U, 0x7fffffffU, 0xffffffffU}) {
        raw_client client(group.get_address(0));
        client.start();
        client.send("Q" + make_number(length, 4));
        EXPECT_EQ(client.read_types(), "E(08P01)<end>") << length;
        raw_client beginner(group.get_address(0));
        beginner.send(make_number(length, 4));
        EXPECT_EQ(beginner.read_types(), "<end>") << length;
    }
    // A cancel request is read and ignored.
    raw_client cancelling(group.get_address(0));
    cancelling.send(make_packet(make_number(80877102, 4) + make_number(1, 4) + make_number(0, 4)));
    EXPECT_EQ(cancelling.read_types(), "<end>");
    EXPECT_FALSE(tests::run(*tests::connect(group.get_address(0)), {{"SELECT 1", {}}}).error);
}

// Guards against splitting inside of texts.
TEST(split_statements, splits_outside_of_quotes_and_comments) {
    using parts = std::vector<std::string>;
    EXPECT_EQ(split_statements("a;b"), (parts{"a", "b"}));
    EXPECT_EQ(split_statements("a ';' ;; \"x;y\""), (parts{"a ';' ", " \"x;y\""}));
    EXPECT_EQ(split_statements("a -- ;\n;b -- ;"), (parts{"a \n", "b "}));
    EXPECT_EQ(split_statements("'it''s;' ; ''"), (parts{"'it''s;' ", " ''"}));
    EXPECT_TRUE(split_statements(" ; ;").empty());
}

// Guards against accepting text that PostgreSQL refuses, or refusing what it accepts.
TEST(is_valid_text, accepts_utf8_without_zero_bytes) {
    for (const char* text : {"", "plain", "caf\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x8c\xb3"}) {
        EXPECT_TRUE(is_valid_text(text)) << text;
    }
    for (const std::string& text :
         {std::string("a\0b", 3), std::string("\xff"), std::string("\xc3"), std::string("\xc0\xaf"),
          std::string("\xed\xa0\x80"), std::string("\xf4\x90\x80\x80"),
          std::string("\xe0\x80\xaf")}) {
        EXPECT_FALSE(is_valid_text(text));
    }
}

}  // namespace
}  // namespace hornbeamhook::standin::target
