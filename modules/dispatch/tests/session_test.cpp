#include "harness.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace chivewharf::dispatch {
namespace {

namespace fs = std::filesystem;

std::string sessions()
{
    return std::string{CHIVEWHARF_TEST_DATA} + "/sessions";
}

/// Executes the lines of a session that begin with `> ` and inserts the transcript of each below
/// it.
std::string replay(const std::string& text)
{
    harness hosts;
    std::istringstream in{text};
    std::string out;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("  "))
            continue;
        out += line + '\n';
        if (!line.starts_with("> "))
            continue;
        hosts.run(line.substr(2));
        out += hosts.take_output();
    }
    EXPECT_EQ(hosts.violation(), "");
    return out;
}

class session : public testing::TestWithParam<std::string> {};

// Guards against unintended changes of what callers, runners, peers and the log observe. With
// CHIVEWHARF_BLESS=1 the transcripts are rewritten; review the diff before committing it.
TEST_P(session, transcript_is_unchanged)
{
    const auto path = sessions() + '/' + GetParam() + ".txt";
    std::stringstream text;
    text << std::ifstream{path}.rdbuf();
    const auto got = replay(text.str());
    const char* bless = std::getenv("CHIVEWHARF_BLESS");
    if (bless != nullptr && std::string{bless} == "1")
        std::ofstream{path} << got;
    else
        EXPECT_EQ(got, text.str());
}

std::vector<std::string> session_names()
{
    std::vector<std::string> names;
    for (const auto& file : fs::directory_iterator{sessions()})
        names.push_back(file.path().stem());
    std::sort(names.begin(), names.end());
    return names;
}

INSTANTIATE_TEST_SUITE_P(golden, session, testing::ValuesIn(session_names()),
                         [](const auto& name) { return name.param; });

} // namespace
} // namespace chivewharf::dispatch
