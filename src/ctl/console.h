#pragma once

#include "ctl/executor.h"

namespace hornbeamhook::ctl {

/** How answers are written. */
enum class output_format { table, json };

/** Writes one answer to standard output. */
void print_answer(const statement& item, const statement_answer& answer, output_format format);

/** Writes an error to standard error, with its place in `source`. */
void print_error(const std::string& source, const command_error& error, output_format format);

/**
 * Parses the whole input, then runs its statements until one fails. Returns the exit code: 0, or
 * the value of the command_failure.
 */
int run_script(executor& session, const std::string& source, const std::string& input,
               output_format format);

/** Interactive console with line editing, history and completion, until "exit" or end of input. */
int run_console(executor& session, output_format format);

}  // namespace hornbeamhook::ctl
