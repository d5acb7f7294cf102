#include <operator_cli/config_files.h>

#include <algorithm>
#include <fstream>

namespace chivewharf::operator_cli {

namespace {

auto misuse(std::string message)
{
    return unexpected(operator_cli_error{exit_status::usage, std::move(message)});
}

auto invalid(const settings::settings_errors& errors)
{
    auto text = settings::to_text(errors);
    if (!text.empty())
        text.pop_back(); // the writer of the message ends the line
    return unexpected(operator_cli_error{exit_status::invalid, std::move(text)});
}

/// Adds the errors that are not there yet: a fault of the base shows in the check of every site.
void add_new(settings::settings_errors& all, const settings::settings_errors& some)
{
    for (const auto& one : some) {
        if (std::find(all.begin(), all.end(), one) == all.end())
            all.push_back(one);
    }
}

} // namespace

cli_result<config_files> load_files(const std::string& base,
                                    const std::vector<overlay_file>& overlays)
{
    settings::settings_errors errors;
    const auto base_document = settings::load_file(base);
    if (!base_document)
        errors = base_document.error();
    config_files files;
    std::vector<settings::document> sites;
    for (const auto& one : overlays) {
        const auto overlay = settings::load_file(one.file);
        if (!overlay) {
            add_new(errors, overlay.error());
            continue;
        }
        files.overlays[one.site] = overlay->value;
        if (base_document)
            sites.push_back(settings::merge(*base_document, *overlay));
    }
    if (!base_document)
        return invalid(errors);
    if (overlays.empty())
        sites.push_back(*base_document);
    files.base = base_document->value;
    for (const auto& site : sites) {
        const auto parsed = settings::parse_cluster(site);
        if (!parsed)
            add_new(errors, parsed.error());
        else if (files.platform_address.port == 0)
            files.platform_address = parsed->platform_address;
    }
    if (!errors.empty())
        return invalid(errors);
    return files;
}

cli_result<settings::host_settings> load_host_file(const command_line& line)
{
    if (line.host_file.empty())
        return misuse("option --host is missing");
    const auto local = settings::load_file(line.host_file);
    if (!local)
        return invalid(local.error());
    auto host = settings::parse_host(*local);
    if (!host)
        return invalid(host.error());
    return std::move(*host);
}

cli_result<std::string> platform_address(const command_line& line,
                                         const settings::endpoint* fallback)
{
    if (!line.platform.empty())
        return line.platform;
    if (!line.host_file.empty()) {
        const auto host = load_host_file(line);
        if (!host)
            return unexpected(host.error());
        if (host->platform_address)
            return to_text(*host->platform_address);
    }
    if (fallback != nullptr)
        return to_text(*fallback);
    return misuse("the platform's address is missing: give --platform, or --host with a file that "
                  "has platform.address");
}

cli_result<std::vector<std::string>> entry_addresses(const command_line& line)
{
    if (!line.entries.empty())
        return line.entries;
    if (line.host_file.empty())
        return misuse("the address of an entry host is missing: give --entry or --host");
    const auto host = load_host_file(line);
    if (!host)
        return unexpected(host.error());
    return std::vector{to_text(host->caller_address)};
}

cli_result<std::string> authorization(const command_line& line)
{
    if (line.token_file.empty())
        return misuse("option --token-file is missing");
    std::ifstream file{line.token_file};
    std::string token;
    if (!(file >> token))
        return misuse("the token file " + line.token_file + " cannot be read or is empty");
    return "Bearer " + token;
}

} // namespace chivewharf::operator_cli
