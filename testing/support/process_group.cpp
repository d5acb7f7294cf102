#include "process_group.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/prctl.h>
#include <utility>

namespace chivewharf::testing_support {

namespace {

void kill_with_parent(gpointer /*data*/)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

} // namespace

long child::pid() const
{
    const char* text = process ? g_subprocess_get_identifier(process.get()) : nullptr;
    return text == nullptr ? 0 : std::atol(text);
}

struct exit_watch {
    child* target;
    std::vector<std::string>* unexpected_exits;
};

void process_group::start(child& target)
{
    const runtime::gobject_ptr<GSubprocessLauncher> launcher{
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE)};
    target.log = folder_ + '/' + target.name + '.' + std::to_string(++target.starts) + ".log";
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), target.log.c_str());
    g_subprocess_launcher_set_stderr_file_path(launcher.get(), (target.log + ".err").c_str());
    g_subprocess_launcher_set_child_setup(launcher.get(), kill_with_parent, nullptr, nullptr);
    for (const auto& variable : target.variables) {
        const auto split = variable.find('=');
        g_subprocess_launcher_setenv(launcher.get(), variable.substr(0, split).c_str(),
                                     variable.c_str() + split + 1, TRUE);
    }
    std::vector<const char*> arguments;
    for (const auto& argument : target.command)
        arguments.push_back(argument.c_str());
    arguments.push_back(nullptr);
    GError* error = nullptr;
    target.process.reset(g_subprocess_launcher_spawnv(launcher.get(), arguments.data(), &error));
    if (!target.process) {
        g_printerr("cannot start %s: %s\n", target.name.c_str(), error->message);
        std::exit(1);
    }
    target.running = true;
    target.stopping = target.exit_expected = target.paused = false;
    g_subprocess_wait_async(target.process.get(), nullptr, &process_group::exited,
                            new exit_watch{&target, &unexpected_exits_});
}

void process_group::exited(GObject* object, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<exit_watch> watch{static_cast<exit_watch*>(data)};
    auto* process = G_SUBPROCESS(object);
    g_subprocess_wait_finish(process, result, nullptr);
    auto& target = *watch->target;
    if (target.process.get() != process)
        return;
    target.running = false;
    const int code = g_subprocess_get_if_exited(process) != FALSE
                         ? g_subprocess_get_exit_status(process)
                         : -g_subprocess_get_term_sig(process);
    if (!target.exit_expected)
        watch->unexpected_exits->push_back(target.name + " ended with " + std::to_string(code) +
                                           ", log " + target.log);
    if (target.on_exit)
        std::exchange(target.on_exit, nullptr)(code);
}

void process_group::send_signal(child& target, int number)
{
    if (number == SIGKILL || number == SIGTERM)
        target.exit_expected = true;
    if (target.running)
        g_subprocess_send_signal(target.process.get(), number);
}

void process_group::end(child& target)
{
    target.exit_expected = true;
    if (target.running)
        g_subprocess_force_exit(target.process.get());
}

} // namespace chivewharf::testing_support
