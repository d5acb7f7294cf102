#pragma once

#include <filesystem>
#include <gio/gio.h>
#include <operator_cli/call_runner.h>
#include <operator_cli/entry_clients.h>
#include <runtime/gobject_ptr.h>
#include <string>
#include <vector>

namespace chivewharf::operator_cli::test {

/// Folder in the temporary folder of the system, removed at the end.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string file(const std::string& name) const { return path_ / name; }

    /// Writes a file. \return its path
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::filesystem::path path_;
};

std::string read_file(const std::filesystem::path& path);

/// Program of this build. It is ended and waited for by its own id when the object is destroyed.
class process {
public:
    /// \param output file that its standard output and error go to; empty: `read_line` reads it
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Waits for the next line of its output; empty at its end.
    std::string read_line();

    /// True once it has ended by itself.
    bool ended() const { return g_subprocess_get_identifier(process_.get()) == nullptr; }
    int exit_code() const { return g_subprocess_get_exit_status(process_.get()); }

private:
    runtime::gobject_ptr<GSubprocess> process_;
    runtime::gobject_ptr<GDataInputStream> lines_;
};

/// Address on the IP with a port that the kernel chose and that nobody listens on. Addresses other
/// than 127.0.0.1 are not used for outgoing connections, so the port stays free.
std::string free_address(const std::string& ip);

/// The stand-in for the platform.
class platform_process {
public:
    platform_process();
    const std::string& address() const noexcept { return address_; }

    /// Sends the body to its control call.
    void control(const std::string& body) const;

private:
    process process_;
    std::string address_;
};

/// Runs the main loop until the condition holds; false after a limit far above the usual time.
bool eventually(const std::function<bool()>& condition, duration limit = seconds{60});

/// Status of a GET without a token; 0 without an answer.
unsigned get_status(const std::string& address, const std::string& path);

} // namespace chivewharf::operator_cli::test
