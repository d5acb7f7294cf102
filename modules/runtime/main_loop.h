#pragma once

#include <functional>
#include <glib.h>
#include <memory>

namespace chivewharf::runtime {

/// The process's one loop on its one thread, with SIGTERM and SIGINT as calls from the loop.
class main_loop {
public:
    /// \param on_signal called with the count of stop signals so far, starting at 1
    explicit main_loop(std::function<void(int)> on_signal);
    main_loop(const main_loop&) = delete;
    main_loop& operator=(const main_loop&) = delete;
    main_loop(main_loop&&) = delete;
    main_loop& operator=(main_loop&&) = delete;
    ~main_loop();

    /// Calls the function from the loop at each SIGHUP, which otherwise ends the process.
    void on_reload(std::function<void()> call);

    /// Runs until `quit`.
    /// \return the exit code given to `quit`
    int run();

    void quit(int exit_code);

private:
    static gboolean signalled(gpointer self);
    static gboolean reload_signalled(gpointer self);

    GMainLoop* loop_;
    std::function<void(int)> on_signal_;
    std::function<void()> on_reload_;
    guint sigterm_source_;
    guint sigint_source_;
    guint sighup_source_ = 0;
    int signals_ = 0;
    int exit_code_ = 0;
};

} // namespace chivewharf::runtime
