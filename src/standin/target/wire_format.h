#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standin/target/sql_connection.h"
#include "standin/target/sql_error.h"

namespace hornbeamhook::standin::target {

/** Reads the fields of one message of the PostgreSQL protocol, version 3. */
class wire_reader {
public:
    explicit wire_reader(std::string_view body) : rest_(body) {}

    std::int16_t get_int16() { return static_cast<std::int16_t>(get_number(2)); }
    std::int32_t get_int32() { return static_cast<std::int32_t>(get_number(4)); }

    /** A text that ends with a zero byte. */
    std::string get_string();
    std::string get_bytes(std::size_t length);

    /** False once a field went past the end of the message. */
    bool is_valid() const { return is_valid_; }
    bool is_at_end() const { return rest_.empty(); }

private:
    std::uint32_t get_number(std::size_t bytes);

    std::string_view rest_;
    bool is_valid_ = true;
};

/** Builds messages of the PostgreSQL protocol, version 3. */
class wire_writer {
public:
    void add_authentication_ok();
    void add_parameter(const std::string& name, const std::string& value);
    void add_backend_key(std::int32_t process, std::int32_t secret);
    void add_ready(char state);
    void add_error(const sql_error& error, bool is_fatal);
    /** A message without fields, such as ParseComplete. */
    void add_empty(char type);
    void add_row_description(const std::vector<std::string>& columns);
    void add_row(const sql_values& cells);
    void add_command_complete(const std::string& tag);
    /** No parameter has a declared type. */
    void add_parameter_description(std::size_t parameters);

    const std::string& get_text() const { return output_; }
    void clear() { output_.clear(); }

private:
    std::size_t begin(char type);
    void end(std::size_t start);
    void add_number(std::uint32_t value, int bytes);
    void add_string(const std::string& value);

    std::string output_;
};

/** Whether text is UTF-8 without zero bytes, as PostgreSQL demands of parameters. */
bool is_valid_text(std::string_view text);

}  // namespace hornbeamhook::standin::target
