#include "processes.h"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <runtime/socket_address.h>
#include <unistd.h>

namespace chivewharf::operator_cli::test {

temporary_folder::temporary_folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "chivewharf-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
}

std::string temporary_folder::write(const std::string& name, const std::string& text) const
{
    std::ofstream{file(name)} << text;
    return file(name);
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& output)
{
    const auto flags =
        output.empty() ? G_SUBPROCESS_FLAGS_STDOUT_PIPE : G_SUBPROCESS_FLAGS_STDERR_MERGE;
    const runtime::gobject_ptr<GSubprocessLauncher> launcher{g_subprocess_launcher_new(flags)};
    if (!output.empty())
        g_subprocess_launcher_set_stdout_file_path(launcher.get(), output.c_str());
    const std::string path = std::string{CHIVEWHARF_BINARY_DIR "/"} + program;
    std::vector<const char*> words{path.c_str()};
    for (const auto& one : arguments)
        words.push_back(one.c_str());
    words.push_back(nullptr);
    process_.reset(g_subprocess_launcher_spawnv(launcher.get(), words.data(), nullptr));
    if (!process_)
        throw std::runtime_error("cannot start " + path);
    if (output.empty())
        lines_.reset(g_data_input_stream_new(g_subprocess_get_stdout_pipe(process_.get())));
}

process::~process()
{
    g_subprocess_force_exit(process_.get());
    g_subprocess_wait(process_.get(), nullptr, nullptr);
}

std::string process::read_line()
{
    char* line = g_data_input_stream_read_line(lines_.get(), nullptr, nullptr, nullptr);
    std::string copy = line == nullptr ? "" : line;
    g_free(line);
    return copy;
}

std::string free_address(const std::string& ip)
{
    const auto socket = runtime::open_listener(ip + ":0", 1);
    return ip + ':' + std::to_string(runtime::local_port(socket.value().get()));
}

platform_process::platform_process() : process_{"standin_platform", {"--listen", "127.0.0.1:0"}, ""}
{
    const auto line = process_.read_line(); // port=N
    address_ = "127.0.0.1:" + line.substr(line.find('=') + 1);
}

void platform_process::control(const std::string& body) const
{
    runtime::http_call call;
    call.url = "http://" + address_ + "/control";
    call.body = body;
    call.timeout = seconds{30};
    call_runner runner{boot_clock::now() + seconds{30}};
    EXPECT_EQ(runner.run(std::move(call)).status, 200U) << body;
}

bool eventually(const std::function<bool()>& condition, duration limit)
{
    const call_runner runner{boot_clock::now() + limit};
    while (!condition()) {
        if (runner.time_is_up())
            return false;
        runner.pause(milliseconds{10});
    }
    return true;
}

unsigned get_status(const std::string& address, const std::string& path)
{
    runtime::http_call call;
    call.method = "GET";
    call.url = "http://" + address + path;
    call_runner runner{boot_clock::now() + seconds{2}};
    return runner.run(std::move(call)).status;
}

} // namespace chivewharf::operator_cli::test
