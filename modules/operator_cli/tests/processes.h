#pragma once

#include <filesystem>
#include <gio/gio.h>
#include <operator_cli/blocking_http_client.h>
#include <operator_cli/entry_host_client.h>
#include <runtime/gobject_ptr.h>
#include <string>
#include <vector>

namespace chivewharf::operator_cli::test {

/// Directory below the system's temporary directory; removed by the destructor.
class temporary_directory {
public:
    temporary_directory();
    ~temporary_directory() { std::filesystem::remove_all(path_); }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    std::string file(const std::string& name) const { return path_ / name; }

    /// Writes a file. \return its path
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::filesystem::path path_;
};

std::string read_file(const std::filesystem::path& path);

/// Child process that runs a program of this build. The destructor kills it by its process id and
/// waits for its exit.
class child_process {
public:
    /// \param output_file file for its standard output and error; if empty, `read_line` reads its
    ///     standard output
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Blocks until the next line of its output; empty at the end of the output.
    std::string read_line();

    /// True once the process has exited.
    bool has_exited() const { return g_subprocess_get_identifier(process_.get()) == nullptr; }
    int exit_code() const { return g_subprocess_get_exit_status(process_.get()); }

private:
    runtime::gobject_ptr<GSubprocess> process_;
    runtime::gobject_ptr<GDataInputStream> lines_;
};

/// `IP:PORT` with a port chosen by the kernel that nothing listens on. Outgoing connections use
/// only 127.0.0.1 as their source, so a port of another loopback address stays free.
std::string free_address(const std::string& ip);

/// Runs the stand-in for the platform.
class platform_process {
public:
    platform_process();
    const std::string& address() const noexcept { return address_; }

    /// Posts the body to `/control` of the stand-in.
    void control(const std::string& body) const;

private:
    child_process process_;
    std::string address_;
};

/// Runs the main loop until the condition holds. Returns false on timeout; the default is far above
/// the usual time.
bool wait_until(const std::function<bool()>& condition, duration timeout = seconds{60});

/// Status code of a GET request without a token; 0 if there is no response.
unsigned get_status(const std::string& address, const std::string& path);

} // namespace chivewharf::operator_cli::test
