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
//   # TEXT           which failure the session guards against
//   ! STEP           changes the surroundings, see `session::step`
//   $ chivewharfctl  command; its output and exit code follow
// A file from `tests/data` is named by `{dir}/FILE`. CHIVEWHARF_WRITE_SESSIONS=1 rewrites them.

namespace chivewharf::operator_cli::test {
namespace {

class session {
public:
    session()
    {
        worker_ = std::move(runtime::open_listener("127.0.0.1:0", 64).value());
        names_["{worker}"] = "127.0.0.1:" + std::to_string(runtime::local_port(worker_.get()));
        names_["{platform}"] = platform_.address();
        names_["{dir}"] = folder_.file("");
        names_["{dir}"].pop_back();
        names_["{entry-1}"] = free_address("127.0.1.1");
        names_["{entry-2}"] = free_address("127.0.1.2");
        for (const auto& one : std::filesystem::directory_iterator{CHIVEWHARF_TEST_DATA "/data"})
            folder_.write(one.path().filename(), expanded(read_file(one.path())));
    }

    /// Runs the commands of a file. \return the file with the output that they have now
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
                step(line.substr(2));
        }
        return result;
    }

private:
    std::string expanded(std::string text) const
    {
        for (const auto& [name, value] : names_) {
            for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at))
                text.replace(at, name.size(), value);
        }
        return text;
    }

    /// Text with the parts that differ between runs replaced by their names.
    std::string named(std::string text) const
    {
        for (const auto& [name, value] : names_) {
            for (auto at = text.find(value); at != std::string::npos; at = text.find(value, at))
                text.replace(at, value.size(), padded(name, value, text.substr(at + value.size())));
        }
        const std::string time = R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ)";
        text = replaced(text, time + "  ", "{time}" + std::string(16, ' '));
        text = replaced(text, time, "{time}");
        text = replaced(text, R"(("(time|deadline_in)_ms":)\d+)", R"(\1{ms})");
        text = replaced(text, R"((plugdesk +\d+ +)\d+\n)", "\\1{ms}\n");
        return replaced(text, "ctl-[0-9a-f]{32}", "{id}");
    }

    static std::string replaced(const std::string& text, const std::string& pattern,
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

    /// Name that keeps the columns of a table in line.
    static std::string padded(std::string name, const std::string& value, std::string_view rest)
    {
        if (rest.starts_with("  ") && name.size() < value.size())
            name.append(value.size() - name.size(), ' ');
        return name;
    }

    std::string run_command(const std::string& line) const
    {
        std::istringstream text{expanded(line)};
        std::vector<std::string> words{std::istream_iterator<std::string>{text}, {}};
        words.erase(words.begin(), words.begin() + 2);
        std::ostringstream output;
        const int code = run_program(words, output, output);
        return named(output.str() + "exit " + std::to_string(code) + '\n');
    }

    void step(const std::string& what)
    {
        const auto space = what.find(' ');
        const auto verb = what.substr(0, space);
        const auto rest = space == std::string::npos ? "" : expanded(what.substr(space + 1));
        if (verb == "platform") {
            platform_.control(rest);
        }
        else if (verb == "start") { // the entry host entry-1
            const auto& address = names_["{entry-1}"];
            entry_ = std::make_unique<process>(
                "chivewharfd",
                std::vector<std::string>{"--host", folder_.file("host.json"), "--settings",
                                         folder_.file("base.json")},
                folder_.file("entry.out"));
            EXPECT_TRUE(eventually([&] { return get_status(address, "/healthz") == 200; }));
        }
        else if (verb == "readyz") { // waits until it answers with this status
            const auto wanted = static_cast<unsigned>(std::stoul(rest));
            const auto& address = names_["{entry-1}"];
            EXPECT_TRUE(eventually([&] { return get_status(address, "/readyz") == wanted; }));
        }
        else if (verb == "submit") { // two tasks; the one worker takes one and never answers
            const auto ids = nlohmann::json::parse(post("/v1/ids", {}, "", 200));
            const auto id = ids.at("ids").at(0).get<std::string>();
            names_["{submission}"] = id;
            post("/v1/submissions?wait_ms=0", {{"Idempotency-Key", id}},
                 R"({"service": "plugdesk", "deadline_ms": 30000,
                     "tasks": [{"kind": "check", "payload": 1}, {"kind": "check", "payload": 2}]})",
                 202);
        }
        else {
            ADD_FAILURE() << "unknown step " << what;
        }
    }

    /// Posts to entry-1 as the customer. \return the body of the answer
    std::string post(const std::string& path, std::vector<runtime::http_header> headers,
                     const std::string& body, unsigned wanted)
    {
        runtime::http_call call;
        call.url = "http://" + names_["{entry-1}"] + path;
        call.headers = std::move(headers);
        call.headers.push_back({"Authorization", "Bearer demo-token"});
        call.body = body;
        call.timeout = seconds{10};
        call_runner runner{boot_clock::now() + seconds{10}};
        const auto answer = runner.run(std::move(call));
        EXPECT_EQ(answer.status, wanted) << answer.body;
        return answer.body;
    }

    temporary_folder folder_;
    platform_process platform_;
    runtime::gobject_ptr<GSocket> worker_; ///< accepts connections and never answers
    std::map<std::string, std::string> names_;
    std::unique_ptr<process> entry_;
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
                         [](const auto& one) { return one.param; });

} // namespace
} // namespace chivewharf::operator_cli::test
