#include <runtime/main_loop.h>

#include <csignal>
#include <glib-unix.h>
#include <utility>

namespace chivewharf::runtime {

main_loop::main_loop(std::function<void(int)> on_signal)
    : loop_{g_main_loop_new(nullptr, FALSE)}, on_signal_{std::move(on_signal)},
      sigterm_source_{g_unix_signal_add(SIGTERM, &main_loop::stop_signalled, this)},
      sigint_source_{g_unix_signal_add(SIGINT, &main_loop::stop_signalled, this)}
{
    // Writing to a connection that the peer has closed would otherwise end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

main_loop::~main_loop()
{
    g_source_remove(sigterm_source_);
    g_source_remove(sigint_source_);
    if (sighup_source_ != 0)
        g_source_remove(sighup_source_);
    g_main_loop_unref(loop_);
}

void main_loop::on_reload(std::function<void()> callback)
{
    on_reload_ = std::move(callback);
    if (sighup_source_ == 0)
        sighup_source_ = g_unix_signal_add(SIGHUP, &main_loop::reload_signalled, this);
}

gboolean main_loop::reload_signalled(gpointer self)
{
    static_cast<main_loop*>(self)->on_reload_();
    return G_SOURCE_CONTINUE;
}

int main_loop::run()
{
    g_main_loop_run(loop_);
    return exit_code_;
}

void main_loop::quit(int exit_code)
{
    exit_code_ = exit_code;
    g_main_loop_quit(loop_);
}

gboolean main_loop::stop_signalled(gpointer self)
{
    auto* loop = static_cast<main_loop*>(self);
    loop->on_signal_(++loop->stop_signals_);
    return G_SOURCE_CONTINUE;
}

} // namespace chivewharf::runtime
