#include <operator_cli/host_commands.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <operator_cli/config_files.h>
#include <operator_cli/entry_host_client.h>
#include <operator_cli/platform_log.h>
#include <operator_cli/text_table.h>

namespace chivewharf::operator_cli {

using nlohmann::json;

namespace {

/// Limit on how long `status` reads the log, so that it still shows the hosts in time while the
/// platform is unreachable.
constexpr duration log_read_timeout = seconds{2};

cli_result<entry_host_client> make_client(const invocation& context)
{
    const auto authorization_value = authorization(context.line);
    if (!authorization_value)
        return unexpected(authorization_value.error());
    const auto addresses = entry_addresses(context.line);
    if (!addresses)
        return unexpected(addresses.error());
    return entry_host_client{*addresses, *authorization_value, context.deadline};
}

/// Returns `unreachable` if a host did not respond, or else `failed` if one refused the request.
cli_result<void> check_responses(const std::vector<entry_host_response>& responses)
{
    std::string unreachable_hosts;
    std::string refusals;
    for (const auto& response : responses) {
        if (response.succeeded())
            continue;
        auto& list = response.received ? refusals : unreachable_hosts;
        list += (list.empty() ? "" : "; ") + response.address + ": " + response.error_text();
    }
    if (!unreachable_hosts.empty())
        return unexpected(operator_cli_error{exit_status::unreachable, unreachable_hosts});
    if (!refusals.empty())
        return unexpected(operator_cli_error{exit_status::failed, refusals});
    return {};
}

struct configured_host {
    std::string name;
    std::string domain;
};

/// The entry hosts that the configuration in force names.
struct configured_hosts {
    bool known = false; ///< false if the platform's address or the configuration is not available
    std::int64_t version = 0;
    std::vector<configured_host> hosts;
    std::string error; ///< why `known` is false; empty if no platform address was given
};

configured_hosts read_configured_hosts(const invocation& context)
{
    configured_hosts result;
    const auto address = platform_address(context.line);
    if (!address)
        return result;
    configlog::config_history log_history;
    platform_log log{*address, std::min(context.deadline, boot_clock::now() + log_read_timeout)};
    if (const auto done = log.read_to_end(log_history); !done) {
        result.error = done.error().message;
        return result;
    }
    const auto* current = log_history.in_force();
    if (current == nullptr) {
        result.error = "no configuration is in force";
        return result;
    }
    result.known = true;
    result.version = log_history.version();
    const auto add = [&result](const settings::cluster_settings& site) {
        for (const auto& host : site.entry_hosts) {
            const auto same = [&host](const auto& other) { return other.name == host.name; };
            if (std::none_of(result.hosts.begin(), result.hosts.end(), same))
                result.hosts.push_back({host.name, host.domain});
        }
    };
    std::vector<std::string> sites;
    for (const auto& item : current->record.overlays.items())
        sites.push_back(item.key());
    if (sites.empty())
        sites.emplace_back();
    for (const auto& site : sites) {
        if (const auto parsed = configlog::settings_for(current->record, site))
            add(*parsed);
    }
    return result;
}

/// One row of the output of `status`.
json host_to_json(const entry_host_response& response)
{
    if (!response.succeeded())
        return {{"address", response.address}, {"state", response.error_text()}};
    const auto& body = response.body;
    const auto* state = body.at("draining").get<bool>()  ? "draining"
                        : body.at("drained").get<bool>() ? "drained"
                        : body.at("ready").get<bool>()   ? "ready"
                                                         : "not ready";
    const auto& members = body.at("members");
    return {{"host", body.at("host")},       {"domain", body.at("domain")},
            {"address", response.address},   {"state", state},
            {"version", body.at("version")}, {"in_flight", body.at("in_flight")},
            {"members", members.size()}};
}

json hosts_to_json(const std::vector<entry_host_response>& responses,
                   const configured_hosts& configured)
{
    auto entries = json::array();
    bool all_responded = true;
    for (const auto& response : responses) {
        entries.push_back(host_to_json(response));
        all_responded = all_responded && response.received;
    }
    for (const auto& host : configured.hosts) {
        const bool listed = std::any_of(entries.begin(), entries.end(), [&host](const auto& entry) {
            return entry.value("host", "") == host.name;
        });
        if (!listed)
            entries.push_back({{"host", host.name},
                               {"domain", host.domain},
                               {"state", all_responded ? "no address given" : "unreachable"}});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const json& a, const json& b) {
        return a.value("host", "~") < b.value("host", "~");
    });
    return entries;
}

std::string cell_text(const json& entry, const char* key)
{
    if (!entry.contains(key))
        return "-";
    return entry[key].is_string() ? entry[key].get<std::string>() : entry[key].dump();
}

cli_result<void> set_drained(const invocation& context, bool drained)
{
    const auto& line = context.line;
    const bool has_one_target =
        line.target_self ? line.operands.empty() : line.operands.size() == 1;
    if (!has_one_target)
        return unexpected(
            operator_cli_error{exit_status::usage, "give the name of a worker or --self"});
    if (line.target_self && line.entries.size() != 1)
        return unexpected(
            operator_cli_error{exit_status::usage, "--self needs exactly one --entry"});
    auto client = make_client(context);
    if (!client)
        return unexpected(client.error());
    const std::string path = drained ? "/v1/admin/drain" : "/v1/admin/undrain";
    const auto target =
        line.target_self ? "?self=1" : "?worker=" + percent_encoded(line.operands.front());
    const auto responses = client->request_all("POST", path + target);

    // Entry hosts of other failure domains do not know the worker and answer 404. That is no error
    // as long as one host succeeds.
    const bool any_succeeded =
        std::any_of(responses.begin(), responses.end(),
                    [](const auto& response) { return response.succeeded(); });
    auto entries = json::array();
    for (const auto& response : responses)
        entries.push_back({{"address", response.address},
                           {"result", response.succeeded() ? "done" : response.error_text()}});
    if (line.json) {
        context.out << json{{"hosts", entries}}.dump() << '\n';
    }
    else {
        text_table table{{"ADDRESS", "RESULT"}};
        for (const auto& entry : entries)
            table.add({entry["address"], entry["result"]});
        table.write(context.out);
    }
    const auto is_unknown_worker = [](const auto& response) {
        return response.received && response.status == 404;
    };
    std::vector<entry_host_response> failures;
    std::copy_if(
        responses.begin(), responses.end(), std::back_inserter(failures),
        [&](const auto& response) { return !any_succeeded || !is_unknown_worker(response); });
    return check_responses(failures);
}

/// A customer's load in one service, summed over all hosts that responded.
struct service_load {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t slots = 0;
    /// Minimum of the shares that the hosts report. A host computes the share from the weights of
    /// this customer and of the customers with tasks queued at that host, so it reports 1 if no
    /// other customer has any.
    double promised_share = 1;

    double share() const
    {
        return slots == 0 ? 0 : static_cast<double>(running) / static_cast<double>(slots);
    }
    bool below_promised_share() const { return queued > 0 && share() < promised_share; }
};

std::map<std::string, service_load> sum_loads(const std::vector<entry_host_response>& customers,
                                              const std::vector<entry_host_response>& hosts)
{
    std::map<std::string, service_load> loads;
    for (const auto& response : customers) {
        if (!response.succeeded())
            continue;
        for (const auto& entry : response.body.value("services", json::array())) {
            auto& load = loads[entry.at("service").get<std::string>()];
            load.running += entry.at("running").get<std::int64_t>();
            load.queued += entry.at("queued_tasks").get<std::int64_t>();
            load.promised_share =
                std::min(load.promised_share, entry.at("promised_part").get<double>());
        }
    }
    // Each host of a domain lists all workers of the domain.
    std::map<std::string, bool> counted_workers;
    for (const auto& response : hosts) {
        if (!response.succeeded())
            continue;
        for (const auto& worker : response.body.at("workers")) {
            if (!counted_workers.emplace(worker.at("name").get<std::string>(), true).second)
                continue;
            if (const auto load = loads.find(worker.at("service").get<std::string>());
                load != loads.end())
                load->second.slots += worker.at("slots").get<std::int64_t>();
        }
    }
    return loads;
}

std::string percent_text(double part)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f%%", part * 100);
    return text;
}

} // namespace

cli_result<void> status(const invocation& context)
{
    auto client = make_client(context);
    if (!client)
        return unexpected(client.error());
    const auto responses = client->request_all("GET", "/v1/admin/status");
    const auto configured = read_configured_hosts(context);
    const auto entries = hosts_to_json(responses, configured);
    if (context.line.json) {
        json report{{"hosts", entries}};
        if (configured.known)
            report["version"] = configured.version;
        context.out << report.dump() << '\n';
    }
    else {
        if (configured.known)
            context.out << "version in force in the log: " << configured.version << '\n';
        text_table table{{"HOST", "DOMAIN", "ADDRESS", "STATE", "VERSION", "IN FLIGHT", "MEMBERS"}};
        for (const auto& entry : entries)
            table.add({cell_text(entry, "host"), cell_text(entry, "domain"),
                       cell_text(entry, "address"), cell_text(entry, "state"),
                       cell_text(entry, "version"), cell_text(entry, "in_flight"),
                       cell_text(entry, "members")});
        table.write(context.out);
    }
    if (auto checked = check_responses(responses); !checked)
        return checked;
    if (!configured.error.empty())
        return unexpected(operator_cli_error{exit_status::unreachable,
                                             "the hosts of the configuration are not known: " +
                                                 configured.error});
    return {};
}

cli_result<void> drain(const invocation& context)
{
    return set_drained(context, true);
}

cli_result<void> undrain(const invocation& context)
{
    return set_drained(context, false);
}

cli_result<void> submission(const invocation& context)
{
    if (context.line.customer.empty())
        return unexpected(operator_cli_error{exit_status::usage, "option --customer is missing"});
    auto client = make_client(context);
    if (!client)
        return unexpected(client.error());
    const auto& id = context.line.operands.front();
    const auto responses =
        client->request_all("GET", "/v1/admin/submissions/" + percent_encoded(id) +
                                       "?customer=" + percent_encoded(context.line.customer));
    auto holders = json::array();
    for (const auto& response : responses) {
        if (response.succeeded() && response.body.value("held", false)) {
            auto holder = response.body;
            holder["address"] = response.address;
            holders.push_back(std::move(holder));
        }
    }
    if (context.line.json) {
        context.out << json{{"held_by", holders}}.dump() << '\n';
    }
    else if (!holders.empty()) {
        text_table table{{"ADDRESS", "SERVICE", "TASKS", "DEADLINE IN MS"}};
        for (const auto& holder : holders)
            table.add({holder["address"], cell_text(holder, "service"), cell_text(holder, "tasks"),
                       cell_text(holder, "deadline_in_ms")});
        table.write(context.out);
    }
    if (auto checked = check_responses(responses); !checked)
        return checked;
    if (holders.empty())
        return unexpected(
            operator_cli_error{exit_status::failed, "no host that was asked holds the id " + id});
    return {};
}

cli_result<void> customer(const invocation& context)
{
    auto client = make_client(context);
    if (!client)
        return unexpected(client.error());
    const auto path = "/v1/admin/customers/" + percent_encoded(context.line.operands.front());
    const auto responses = client->request_all("GET", path);
    const auto hosts = client->request_all("GET", "/v1/admin/status");
    const auto loads = sum_loads(responses, hosts);
    if (context.line.json) {
        auto services = json::array();
        for (const auto& [name, load] : loads)
            services.push_back({{"service", name},
                                {"running", load.running},
                                {"queued", load.queued},
                                {"slots", load.slots},
                                {"share", load.share()},
                                {"promised", load.promised_share},
                                {"short", load.below_promised_share()}});
        context.out
            << json{{"customer", context.line.operands.front()}, {"services", services}}.dump()
            << '\n';
    }
    else if (!loads.empty()) {
        text_table table{{"SERVICE", "RUNNING", "QUEUED", "SLOTS", "SHARE", "PROMISED", "STATE"}};
        for (const auto& [name, load] : loads)
            table.add({name, std::to_string(load.running), std::to_string(load.queued),
                       std::to_string(load.slots), percent_text(load.share()),
                       percent_text(load.promised_share),
                       load.below_promised_share() ? "short of the promise"
                       : load.queued > 0           ? "has its share"
                                                   : "no backlog"});
        table.write(context.out);
    }
    if (auto checked = check_responses(responses); !checked)
        return checked;
    return check_responses(hosts);
}

} // namespace chivewharf::operator_cli
