/** @file ctl_func.h Runs one command against the entries. */
#ifndef SAPPHIRE_CTL_CTL_FUNC_H_
#define SAPPHIRE_CTL_CTL_FUNC_H_

#include <string>
#include <string_view>

#include "core/task_type.h"
#include "ctl/ctl_type.h"
#include "http/http_type.h"

namespace sapphire::ctl {

/** Sends the command to the entries in turn until one answers.
 * @return What to print; never throws for a failure of an entry. */
core::Task<Report> RunCommand(Command command);

/** @return The HTTP request for a command.
 * @throws std::runtime_error if its file can't be read. */
http::Request RequestFor(const Command& command);

/** @return What to print for an entry's response. */
Report ReportFor(const Command& command, const http::Response& response);

/** @return Advice for operators on an error of this name; may be empty. */
std::string_view AdviceFor(std::string_view error_name);

/** @return The body of a response as human-readable text. */
std::string RenderText(CommandKind kind, std::string_view body);

}  // namespace sapphire::ctl

#endif  // SAPPHIRE_CTL_CTL_FUNC_H_
