#pragma once

#include <functional>
#include <runtime/gobject_ptr.h>
#include <string>
#include <vector>

namespace chivewharf::testing_support {

/// A process of a soak, across its restarts.
struct child {
    std::string name;
    std::vector<std::string> command;
    std::vector<std::string> variables; ///< `NAME=value`, added to the environment
    std::string log;                    ///< file with the output of the latest start
    runtime::gobject_ptr<GSubprocess> process;
    int starts = 0;
    bool running = false;
    bool paused = false;
    bool stopping = false; ///< SIGTERM was sent; the load balancer no longer selects it
    bool exit_expected = false;
    /// Called once at the next exit with the exit code, or the negated signal number.
    std::function<void(int)> on_exit;

    /// \return 0 if the process was never started or has ended
    long pid() const;
};

/// Starts and signals the processes of a soak. The kernel kills them if the soak ends first.
class process_group {
public:
    /// \param folder for the log files of the processes
    explicit process_group(std::string folder) : folder_{std::move(folder)} {}
    process_group(const process_group&) = delete;
    process_group& operator=(const process_group&) = delete;

    /// Starts a process; exits the program with 1 if that fails. The child must outlive the group.
    void start(child& target);
    /// Sends a signal. After SIGKILL or SIGTERM the exit of the process counts as expected.
    void send_signal(child& target, int number);

    /// Kills a process at the end of the run.
    static void end(child& target);

    /// Descriptions of the exits that no signal of this group caused.
    const std::vector<std::string>& unexpected_exits() const { return unexpected_exits_; }

private:
    static void exited(GObject* process, GAsyncResult* result, gpointer data);

    std::string folder_;
    std::vector<std::string> unexpected_exits_;
};

} // namespace chivewharf::testing_support
