// Daemon of an entry host: command line, settings and start.

#include "platform_program.h"

#include <daemon/entry_daemon.h>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <optional>
#include <settings/settings.h>
#include <string>

namespace chivewharf {
namespace {

constexpr int exit_usage = 2;

constexpr const char* usage_text =
    R"(usage: chivewharfd --host FILE --settings FILE [--overlay FILE] [--fixed] [--check]
       chivewharfd --platform [--host FILE] [--check]

  --host FILE      settings of this process
  --settings FILE  base settings; they name the peers and the platform until a published
                   configuration is in force
  --overlay FILE   the site's overlay
  --fixed          use the files as the configuration and ignore the published one
  --platform       run on the users' platform; its settings file is the one that the variable
                   CHIVEWHARF_BOOT names, unless --host gives another
  --check          check the files and exit
  --help           show this text
  --version        show the version

Exit codes: 0 planned stop, 1 failure, 2 wrong usage, 3 invalid settings.
)";

struct command_line {
    std::string host;
    std::string base;
    std::string overlay;
    bool fixed = false;
    bool check_only = false;
    bool on_platform = false;
};

enum option_id {
    opt_host = 1,
    opt_settings,
    opt_overlay,
    opt_fixed,
    opt_check,
    opt_platform,
    opt_help,
    opt_version
};

constexpr option long_options[] = {{"host", required_argument, nullptr, opt_host},
                                   {"settings", required_argument, nullptr, opt_settings},
                                   {"overlay", required_argument, nullptr, opt_overlay},
                                   {"fixed", no_argument, nullptr, opt_fixed},
                                   {"check", no_argument, nullptr, opt_check},
                                   {"platform", no_argument, nullptr, opt_platform},
                                   {"help", no_argument, nullptr, opt_help},
                                   {"version", no_argument, nullptr, opt_version},
                                   {nullptr, 0, nullptr, 0}};

/// Parses the command line.
/// \return none if the process must exit with `exit_code`
std::optional<command_line> read_command_line(int argc, char** argv, int& exit_code)
{
    command_line line;
    int parsed_option = 0;
    while ((parsed_option = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
        switch (parsed_option) {
        case opt_host:
            line.host = optarg;
            break;
        case opt_settings:
            line.base = optarg;
            break;
        case opt_overlay:
            line.overlay = optarg;
            break;
        case opt_fixed:
            line.fixed = true;
            break;
        case opt_check:
            line.check_only = true;
            break;
        case opt_platform:
            line.on_platform = true;
            break;
        case opt_help:
            std::cout << usage_text;
            exit_code = 0;
            return std::nullopt;
        case opt_version:
            std::cout << "chivewharfd " << CHIVEWHARF_VERSION << '\n';
            exit_code = 0;
            return std::nullopt;
        default:
            std::cerr << usage_text;
            exit_code = exit_usage;
            return std::nullopt;
        }
    }
    const bool complete =
        line.on_platform ? line.base.empty() : !line.host.empty() && !line.base.empty();
    if (!complete || optind != argc) {
        std::cerr << usage_text;
        exit_code = exit_usage;
        return std::nullopt;
    }
    return line;
}

struct loaded_settings {
    settings::host_settings host;
    std::shared_ptr<const settings::cluster_settings> cluster;
};

/// Loads the settings files that the command line names, and checks them against each other.
result<loaded_settings, settings::settings_errors> load(const command_line& line)
{
    auto base = settings::load_file(line.base);
    if (!base)
        return unexpected{base.error()};
    if (!line.overlay.empty()) {
        const auto overlay = settings::load_file(line.overlay);
        if (!overlay)
            return unexpected{overlay.error()};
        *base = settings::merge(std::move(*base), *overlay);
    }
    auto cluster = settings::parse_cluster(*base);
    const auto local = settings::load_file(line.host);
    if (!local)
        return unexpected{local.error()};
    auto host = settings::parse_host(*local);
    settings::settings_errors errors;
    if (!cluster)
        errors = cluster.error();
    if (!host)
        errors.insert(errors.end(), host.error().begin(), host.error().end());
    if (errors.empty())
        errors = settings::check_host(*host, *cluster, line.host);
    if (!errors.empty())
        return unexpected{std::move(errors)};
    return loaded_settings{std::move(*host),
                           std::make_shared<const settings::cluster_settings>(std::move(*cluster))};
}

int run(int argc, char** argv)
{
    int exit_code = 0;
    const auto line = read_command_line(argc, argv, exit_code);
    if (!line)
        return exit_code;
    if (line->on_platform)
        return run_on_platform(argv[0], line->host, line->check_only);
    const auto loaded = load(*line);
    if (!loaded) {
        std::cerr << settings::to_text(loaded.error());
        return exit_invalid_settings;
    }
    if (line->check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    FLAGS_log_dir = loaded->host.log_directory;
    FLAGS_logbufsecs = 0;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(argv[0]);
    daemon::entry_daemon daemon{loaded->host, loaded->cluster, line->fixed};
    return daemon.run();
}

} // namespace
} // namespace chivewharf

int main(int argc, char** argv)
{
    return chivewharf::run(argc, argv);
}
