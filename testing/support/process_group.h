#pragma once

#include <functional>
#include <runtime/gobject_ptr.h>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// A process of a soak.
struct child {
    std::string name;
    std::vector<std::string> command;
    std::vector<std::string> variables; ///< `NAME=text`, added to the environment
    std::string log;
    runtime::gobject_ptr<GSubprocess> process;
    int starts = 0;
    bool running = false;
    bool paused = false;
    bool stopping = false; ///< SIGTERM was sent; the load balancer leaves it out
    bool exit_expected = false;
    std::function<void(int)> on_exit; ///< exit code, or minus the signal

    long pid() const;
};

/// Starts and signals the processes of a soak; they end with it.
class process_group {
public:
    /// \param folder for the processes' output
    explicit process_group(std::string folder) : folder_{std::move(folder)} {}
    process_group(const process_group&) = delete;
    process_group& operator=(const process_group&) = delete;

    /// Starts a process, or ends the program if it cannot. The child must outlive the group.
    void start(child& one);
    void send_signal(child& one, int number);

    /// Ends a process at once, as a part of the end of the run.
    static void end(child& one);

    const std::vector<std::string>& unexpected_exits() const { return unexpected_; }

private:
    static void exited(GObject* process, GAsyncResult* result, gpointer data);

    std::string folder_;
    std::vector<std::string> unexpected_;
};

} // namespace chivewharf::testing_support
