/** @file command_line_func.h Reads the command line. */
#ifndef SAPPHIRE_CTL_COMMAND_LINE_FUNC_H_
#define SAPPHIRE_CTL_COMMAND_LINE_FUNC_H_

#include "ctl/ctl_type.h"

namespace sapphire::ctl {

/** Reads the command line; prints help and usage errors itself. */
ParsedLine ParseCommandLine(int argc, char** argv);

}  // namespace sapphire::ctl

#endif  // SAPPHIRE_CTL_COMMAND_LINE_FUNC_H_
