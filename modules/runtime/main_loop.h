#pragma once

#include <functional>
#include <glib.h>
#include <memory>

namespace chivewharf::runtime {

/// Main loop of the single-threaded process. SIGTERM and SIGINT are delivered as callbacks from the
/// loop.
class main_loop {
public:
    /// \param on_signal called on each SIGTERM or SIGINT with the number of these signals received
    ///     so far, including this one
    explicit main_loop(std::function<void(int)> on_signal);
    main_loop(const main_loop&) = delete;
    main_loop& operator=(const main_loop&) = delete;
    main_loop(main_loop&&) = delete;
    main_loop& operator=(main_loop&&) = delete;
    ~main_loop();

    /// Sets the function to call from the loop on each SIGHUP. Without one, SIGHUP ends the
    /// process.
    void on_reload(std::function<void()> callback);

    /// Runs the loop until `quit` is called.
    /// \return the exit code given to `quit`
    int run();

    void quit(int exit_code);

private:
    static gboolean stop_signalled(gpointer self);
    static gboolean reload_signalled(gpointer self);

    GMainLoop* loop_;
    std::function<void(int)> on_signal_;
    std::function<void()> on_reload_;
    guint sigterm_source_;
    guint sigint_source_;
    guint sighup_source_ = 0;
    int stop_signals_ = 0;
    int exit_code_ = 0;
};

} // namespace chivewharf::runtime
