#include <operator_cli/config_files.h>

#include <algorithm>
#include <fstream>

namespace chivewharf::operator_cli {

namespace {

auto usage_error(std::string message)
{
    return unexpected(operator_cli_error{exit_status::usage, std::move(message)});
}

auto invalid_error(const settings::settings_errors& errors)
{
    auto text = settings::to_text(errors);
    if (!text.empty())
        text.pop_back(); // the newline is added when the message is printed
    return unexpected(operator_cli_error{exit_status::invalid, std::move(text)});
}

/// Adds the errors that are not in the list yet. Each site is validated with the base merged in, so
/// a fault in the base is reported once per site.
void add_missing(settings::settings_errors& errors, const settings::settings_errors& additional)
{
    for (const auto& error : additional) {
        if (std::find(errors.begin(), errors.end(), error) == errors.end())
            errors.push_back(error);
    }
}

} // namespace

cli_result<config_files> load_config_files(const std::string& base,
                                           const std::vector<overlay_file>& overlays)
{
    settings::settings_errors errors;
    const auto base_document = settings::load_file(base);
    if (!base_document)
        errors = base_document.error();
    config_files files;
    std::vector<settings::document> site_documents;
    for (const auto& source : overlays) {
        const auto overlay = settings::load_file(source.file);
        if (!overlay) {
            add_missing(errors, overlay.error());
            continue;
        }
        files.overlays[source.site] = overlay->value;
        if (base_document)
            site_documents.push_back(settings::merge(*base_document, *overlay));
    }
    if (!base_document)
        return invalid_error(errors);
    if (overlays.empty())
        site_documents.push_back(*base_document);
    files.base = base_document->value;
    for (const auto& site : site_documents) {
        const auto parsed = settings::parse_cluster(site);
        if (!parsed)
            add_missing(errors, parsed.error());
        else if (files.platform_address.port == 0)
            files.platform_address = parsed->platform_address;
    }
    if (!errors.empty())
        return invalid_error(errors);
    return files;
}

cli_result<settings::host_settings> load_host_file(const command_line& line)
{
    if (line.host_file.empty())
        return usage_error("option --host is missing");
    const auto local = settings::load_file(line.host_file);
    if (!local)
        return invalid_error(local.error());
    auto host = settings::parse_host(*local);
    if (!host)
        return invalid_error(host.error());
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
    return usage_error(
        "the platform's address is missing: give --platform, or --host with a file that "
        "has platform.address");
}

cli_result<std::vector<std::string>> entry_addresses(const command_line& line)
{
    if (!line.entries.empty())
        return line.entries;
    if (line.host_file.empty())
        return usage_error("the address of an entry host is missing: give --entry or --host");
    const auto host = load_host_file(line);
    if (!host)
        return unexpected(host.error());
    return std::vector{to_text(host->caller_address)};
}

cli_result<std::string> authorization(const command_line& line)
{
    if (line.token_file.empty())
        return usage_error("option --token-file is missing");
    std::ifstream file{line.token_file};
    std::string token;
    if (!(file >> token))
        return usage_error("the token file " + line.token_file + " cannot be read or is empty");
    return "Bearer " + token;
}

} // namespace chivewharf::operator_cli
