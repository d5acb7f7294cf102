#include "processes.h"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <runtime/socket_address.h>
#include <unistd.h>

namespace chivewharf::operator_cli::test {

temporary_directory::temporary_directory()
{
    auto pattern = (std::filesystem::temp_directory_path() / "chivewharf-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
}

std::string temporary_directory::write(const std::string& name, const std::string& text) const
{
    std::ofstream{file(name)} << text;
    return file(name);
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output_file)
{
    const auto flags =
        output_file.empty() ? G_SUBPROCESS_FLAGS_STDOUT_PIPE : G_SUBPROCESS_FLAGS_STDERR_MERGE;
    const runtime::gobject_ptr<GSubprocessLauncher> launcher{g_subprocess_launcher_new(flags)};
    if (!output_file.empty())
        g_subprocess_launcher_set_stdout_file_path(launcher.get(), output_file.c_str());
    const std::string path = std::string{CHIVEWHARF_BINARY_DIR "/"} + program;
    std::vector<const char*> words{path.c_str()};
    for (const auto& argument : arguments)
        words.push_back(argument.c_str());
    words.push_back(nullptr);
    process_.reset(g_subprocess_launcher_spawnv(launcher.get(), words.data(), nullptr));
    if (!process_)
        throw std::runtime_error("cannot start " + path);
    if (output_file.empty())
        lines_.reset(g_data_input_stream_new(g_subprocess_get_stdout_pipe(process_.get())));
}

child_process::~child_process()
{
    g_subprocess_force_exit(process_.get());
    g_subprocess_wait(process_.get(), nullptr, nullptr);
}

std::string child_process::read_line()
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
    blocking_http_client client{boot_clock::now() + seconds{30}};
    EXPECT_EQ(client.perform(std::move(call)).status, 200U) << body;
}

bool wait_until(const std::function<bool()>& condition, duration timeout)
{
    const blocking_http_client client{boot_clock::now() + timeout};
    while (!condition()) {
        if (client.deadline_passed())
            return false;
        client.pause(milliseconds{10});
    }
    return true;
}

unsigned get_status(const std::string& address, const std::string& path)
{
    runtime::http_call call;
    call.method = "GET";
    call.url = "http://" + address + path;
    blocking_http_client client{boot_clock::now() + seconds{2}};
    return client.perform(std::move(call)).status;
}

} // namespace chivewharf::operator_cli::test
