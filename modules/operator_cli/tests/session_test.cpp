#include "processes.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <map>
#include <memory>
#include <operator_cli/program.h>
#include <runtime/socket_address.h>
#include <sstream>

// Golden sessions: `tests/sessions/*.txt` hold commands, their output and their exit code. Lines:
//   # TEXT           failure that the session guards against
//   ! STEP           changes the test environment; see `session::run_step`
//   $ chivewharfctl  command, followed by its output and exit code
// `{dir}/FILE` stands for a file of `tests/data`. CHIVEWHARF_WRITE_SESSIONS=1 rewrites the
// sessions.

namespace chivewharf::operator_cli::test {
namespace {

class session {
public:
    session()
    {
        worker_ = std::move(runtime::open_listener("127.0.0.1:0", 64).value());
        placeholders_["{worker}"] =
            "127.0.0.1:" + std::to_string(runtime::local_port(worker_.get()));
        placeholders_["{platform}"] = platform_.address();
        placeholders_["{dir}"] = directory_.file("");
        placeholders_["{dir}"].pop_back();
        placeholders_["{entry-1}"] = free_address("127.0.1.1");
        placeholders_["{entry-2}"] = free_address("127.0.1.2");
        for (const auto& file : std::filesystem::directory_iterator{CHIVEWHARF_TEST_DATA "/data"})
            directory_.write(file.path().filename(), expand(read_file(file.path())));
    }

    /// Runs the commands of a session file. \return the file with the actual output
    std::string run(const std::string& text)
    {
        std::string result;
        std::istringstream lines{text};
        for (std::string line; std::getline(lines, line);) {
            const bool command = line.starts_with("$ ");
            const bool comment = line.starts_with("# ") && result.find("\n$ ") == std::string::npos;
            if (!command && !comment && !line.starts_with("! "))
                continue;
            result += (command && !result.empty() ? "\n" : "") + line + '\n';
            if (command)
                result += run_command(line);
            else if (line.starts_with("! "))
                run_step(line.substr(2));
        }
        return result;
    }

private:
    std::string expand(std::string text) const
    {
        for (const auto& [name, value] : placeholders_) {
            for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at))
                text.replace(at, name.size(), value);
        }
        return text;
    }

    /// Replaces the values that differ between runs by their placeholders.
    std::string with_placeholders(std::string text) const
    {
        for (const auto& [name, value] : placeholders_) {
            for (auto at = text.find(value); at != std::string::npos; at = text.find(value, at))
                text.replace(at, value.size(), padded(name, value, text.substr(at + value.size())));
        }
        const std::string time = R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ)";
        text = replace_all(text, time + "  ", "{time}" + std::string(16, ' '));
        text = replace_all(text, time, "{time}");
        text = replace_all(text, R"(("(time|deadline_in)_ms":)\d+)", R"(\1{ms})");
        text = replace_all(text, R"((plugdesk +\d+ +)\d+\n)", "\\1{ms}\n");
        return replace_all(text, "ctl-[0-9a-f]{32}", "{id}");
    }

    static std::string replace_all(const std::string& text, const std::string& pattern,
                                   const std::string& by)
    {
        // std::regex of GCC 12 does not compile without warnings under the sanitizers.
        GRegex* regex =
            g_regex_new(pattern.c_str(), GRegexCompileFlags{}, GRegexMatchFlags{}, nullptr);
        char* result =
            g_regex_replace(regex, text.c_str(), -1, 0, by.c_str(), GRegexMatchFlags{}, nullptr);
        std::string copy{result};
        g_free(result);
        g_regex_unref(regex);
        return copy;
    }

    /// Pads a placeholder in a table to the width of its value, so that the columns stay aligned.
    static std::string padded(std::string name, const std::string& value, std::string_view rest)
    {
        if (rest.starts_with("  ") && name.size() < value.size())
            name.append(value.size() - name.size(), ' ');
        return name;
    }

    std::string run_command(const std::string& line) const
    {
        std::istringstream text{expand(line)};
        std::vector<std::string> words{std::istream_iterator<std::string>{text}, {}};
        words.erase(words.begin(), words.begin() + 2);
        std::ostringstream output;
        const int code = run_program(words, output, output);
        return with_placeholders(output.str() + "exit " + std::to_string(code) + '\n');
    }

    void run_step(const std::string& step)
    {
        const auto space = step.find(' ');
        const auto step_name = step.substr(0, space);
        const auto rest = space == std::string::npos ? "" : expand(step.substr(space + 1));
        if (step_name == "platform") {
            platform_.control(rest);
        }
        else if (step_name == "start") { // starts entry host entry-1
            const auto& address = placeholders_["{entry-1}"];
            entry_ = std::make_unique<child_process>(
                "chivewharfd",
                std::vector<std::string>{"--host", directory_.file("host.json"), "--settings",
                                         directory_.file("base.json")},
                directory_.file("entry.out"));
            EXPECT_TRUE(wait_until([&] { return get_status(address, "/healthz") == 200; }));
        }
        else if (step_name == "readyz") { // waits until /readyz of entry-1 has this status
            const auto expected_status = static_cast<unsigned>(std::stoul(rest));
            const auto& address = placeholders_["{entry-1}"];
            EXPECT_TRUE(
                wait_until([&] { return get_status(address, "/readyz") == expected_status; }));
        }
        else if (step_name == "submit") {
            // Two tasks: the only worker gets one and never responds, so the other stays queued.
            const auto ids = nlohmann::json::parse(post("/v1/ids", {}, "", 200));
            const auto id = ids.at("ids").at(0).get<std::string>();
            placeholders_["{submission}"] = id;
            post("/v1/submissions?wait_ms=0", {{"Idempotency-Key", id}},
                 R"({"service": "plugdesk", "deadline_ms": 30000,
                     "tasks": [{"kind": "check", "payload": 1}, {"kind": "check", "payload": 2}]})",
                 202);
        }
        else {
            ADD_FAILURE() << "unknown step " << step;
        }
    }

    /// Sends a POST request to entry-1 as the customer `demo`. \return the body of the response
    std::string post(const std::string& path, std::vector<runtime::http_header> headers,
                     const std::string& body, unsigned expected_status)
    {
        runtime::http_call call;
        call.url = "http://" + placeholders_["{entry-1}"] + path;
        call.headers = std::move(headers);
        call.headers.push_back({"Authorization", "Bearer demo-token"});
        call.body = body;
        call.timeout = seconds{10};
        blocking_http_client client{boot_clock::now() + seconds{10}};
        const auto answer = client.perform(std::move(call));
        EXPECT_EQ(answer.status, expected_status) << answer.body;
        return answer.body;
    }

    temporary_directory directory_;
    platform_process platform_;
    runtime::gobject_ptr<GSocket> worker_; ///< accepts connections and never answers
    std::map<std::string, std::string> placeholders_;
    std::unique_ptr<child_process> entry_;
};

class sessions : public testing::TestWithParam<std::string> {};

// Guards against changes of output or exit codes that break operators' scripts. Each file names the
// failure that its own commands guard against.
TEST_P(sessions, have_the_recorded_output)
{
    const auto path = std::string{CHIVEWHARF_TEST_DATA "/sessions/"} + GetParam() + ".txt";
    const auto recorded = read_file(path);
    ASSERT_FALSE(recorded.empty()) << path;
    const auto result = session{}.run(recorded);
    if (std::getenv("CHIVEWHARF_WRITE_SESSIONS") != nullptr)
        std::ofstream{path} << result;
    else
        EXPECT_EQ(result, recorded) << "in " << path;
}

INSTANTIATE_TEST_SUITE_P(operator_cli, sessions,
                         testing::Values("check", "publish", "lost_answers", "outage", "hosts",
                                         "drain", "load", "usage", "manual"),
                         [](const auto& parameter_info) { return parameter_info.param; });

} // namespace
} // namespace chivewharf::operator_cli::test
