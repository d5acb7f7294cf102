#include "soak_run.h"

#include <filesystem>
#include <glib/gstdio.h>
#include <iostream>
#include <runtime/gobject_ptr.h>
#include <unistd.h>

namespace chivewharf::testing_support {

int run_in_folder(
    unsigned long long seed, bool keep,
    const std::function<int(const std::string& folder, runtime::main_loop& loop)>& run)
{
    const runtime::gfree_ptr<char> folder{g_dir_make_tmp("chivewharf-soak-XXXXXX", nullptr)};
    std::cout << "folder " << folder.get() << " seed " << seed << std::endl;
    int code = 0;
    {
        runtime::main_loop* loop_pointer = nullptr;
        runtime::main_loop loop{[&loop_pointer](int) { loop_pointer->quit(2); }};
        loop_pointer = &loop;
        code = run(folder.get(), loop);
    }
    if (code == 0 && !keep)
        std::filesystem::remove_all(folder.get());
    else
        std::cout << "logs are in " << folder.get() << std::endl;
    return code;
}

std::string loopback_prefix()
{
    const int pid = getpid();
    return "127." + std::to_string(16 + pid / 250 % 200) + '.' + std::to_string(pid % 250) + '.';
}

} // namespace chivewharf::testing_support
