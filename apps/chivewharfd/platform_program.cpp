#include "platform_program.h"

#include <base/log_output.h>
#include <cstdlib>
#include <daemon/fleet_daemon.h>
#include <iostream>
#include <platform/platform.h>
#include <settings/settings.h>

namespace chivewharf {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// Environment variable in which the platform gives the path of the settings file.
constexpr const char* settings_variable = "CHIVEWHARF_BOOT";

result<settings::fleet_settings, settings::settings_errors> load(const std::string& file)
{
    const auto document = settings::load_file(file);
    if (!document)
        return unexpected{document.error()};
    return settings::parse_fleet(*document);
}

daemon::fleet_adapters make_adapters(const settings::fleet_settings& settings)
{
    daemon::fleet_adapters adapters;
    adapters.workers = std::make_unique<platform::worker_client>();
    adapters.store = std::make_unique<platform::store_client>(to_text(settings.store));
    adapters.callers = std::make_unique<platform::job_front>(
        to_text(settings.callers), to_text(settings.readiness),
        static_cast<std::size_t>(settings.memory_mb) * bytes_per_mb);
    adapters.records = {platform::decode_worker, platform::decode_host,
                        platform::decode_operator_key};
    adapters.config = platform::decode_config;
    return adapters;
}

} // namespace

int run_on_platform(const char* program, const std::string& file, bool check_only)
{
    const char* file_from_environment = std::getenv(settings_variable);
    if (file.empty() && file_from_environment == nullptr) {
        std::cerr << "chivewharfd: --host is not given and " << settings_variable
                  << " is not set\n";
        return exit_invalid_settings;
    }
    const std::string path = file.empty() ? file_from_environment : file;
    const auto settings = load(path);
    if (!settings) {
        std::cerr << settings::to_text(settings.error());
        return exit_invalid_settings;
    }
    if (check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    log_to_standard_output(program);
    daemon::fleet_daemon daemon{*settings, make_adapters(*settings),
                                [path]() -> std::optional<settings::fleet_settings> {
                                    auto loaded = load(path);
                                    if (!loaded)
                                        return std::nullopt;
                                    return std::move(*loaded);
                                }};
    return daemon.run();
}

} // namespace chivewharf
