#include "processes.h"

#include <base/reason.h>
#include <gtest/gtest.h>
#include <operator_cli/command_table.h>
#include <operator_cli/manual.h>

namespace chivewharf::operator_cli::test {
namespace {

// Guards against a reason code for which the operations page has no instructions.
TEST(pages, operations_page_has_a_row_for_every_reason)
{
    const auto page = read_file(CHIVEWHARF_SOURCE_DIR "/docs/OPERATIONS.md");
    for (const auto name : enum_names<reason>::names)
        EXPECT_NE(page.find("| `" + std::string{name} + "` |"), std::string::npos) << name;
}

// Guards against an exit code that the help does not explain.
TEST(pages, help_explains_every_exit_status)
{
    const auto help = help_text(nullptr);
    for (std::size_t i = 0; i < enum_count<exit_status>; ++i)
        EXPECT_NE(help.find("\n  " + std::to_string(i) + "  "), std::string::npos) << i;
}

} // namespace
} // namespace chivewharf::operator_cli::test
