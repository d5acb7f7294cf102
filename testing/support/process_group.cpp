#include "process_group.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/prctl.h>
#include <utility>

namespace chivewharf::testing_support {

namespace {

void die_with_parent(gpointer /*data*/)
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
    child* one;
    std::vector<std::string>* unexpected;
};

void process_group::start(child& one)
{
    const runtime::gobject_ptr<GSubprocessLauncher> launcher{
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE)};
    one.log = folder_ + '/' + one.name + '.' + std::to_string(++one.starts) + ".log";
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), one.log.c_str());
    g_subprocess_launcher_set_stderr_file_path(launcher.get(), (one.log + ".err").c_str());
    g_subprocess_launcher_set_child_setup(launcher.get(), die_with_parent, nullptr, nullptr);
    for (const auto& variable : one.variables) {
        const auto split = variable.find('=');
        g_subprocess_launcher_setenv(launcher.get(), variable.substr(0, split).c_str(),
                                     variable.c_str() + split + 1, TRUE);
    }
    std::vector<const char*> words;
    for (const auto& word : one.command)
        words.push_back(word.c_str());
    words.push_back(nullptr);
    GError* error = nullptr;
    one.process.reset(g_subprocess_launcher_spawnv(launcher.get(), words.data(), &error));
    if (!one.process) {
        g_printerr("cannot start %s: %s\n", one.name.c_str(), error->message);
        std::exit(1);
    }
    one.running = true;
    one.stopping = one.exit_expected = one.paused = false;
    g_subprocess_wait_async(one.process.get(), nullptr, &process_group::exited,
                            new exit_watch{&one, &unexpected_});
}

void process_group::exited(GObject* object, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<exit_watch> watch{static_cast<exit_watch*>(data)};
    auto* process = G_SUBPROCESS(object);
    g_subprocess_wait_finish(process, result, nullptr);
    auto& one = *watch->one;
    if (one.process.get() != process)
        return;
    one.running = false;
    const int code = g_subprocess_get_if_exited(process) != FALSE
                         ? g_subprocess_get_exit_status(process)
                         : -g_subprocess_get_term_sig(process);
    if (!one.exit_expected)
        watch->unexpected->push_back(one.name + " ended with " + std::to_string(code) + ", log " +
                                     one.log);
    if (one.on_exit)
        std::exchange(one.on_exit, nullptr)(code);
}

void process_group::send_signal(child& one, int number)
{
    if (number == SIGKILL || number == SIGTERM)
        one.exit_expected = true;
    if (one.running)
        g_subprocess_send_signal(one.process.get(), number);
}

void process_group::end(child& one)
{
    one.exit_expected = true;
    if (one.running)
        g_subprocess_force_exit(one.process.get());
}

} // namespace chivewharf::testing_support
