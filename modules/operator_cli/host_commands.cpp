#include <operator_cli/host_commands.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <operator_cli/config_files.h>
#include <operator_cli/entry_clients.h>
#include <operator_cli/platform_log.h>
#include <operator_cli/text_table.h>

namespace chivewharf::operator_cli {

using nlohmann::json;

namespace {

/// `status` waits no longer than this for the platform, so that an outage does not hide the hosts.
constexpr duration log_limit = seconds{2};

cli_result<entry_clients> make_clients(const invocation& self)
{
    const auto token = authorization(self.line);
    if (!token)
        return unexpected(token.error());
    const auto addresses = entry_addresses(self.line);
    if (!addresses)
        return unexpected(addresses.error());
    return entry_clients{*addresses, *token, self.deadline};
}

/// Error for the hosts that did not answer, and for those that refused.
cli_result<void> faults_of(const std::vector<entry_answer>& answers)
{
    std::string unreached;
    std::string refused;
    for (const auto& one : answers) {
        if (one.good())
            continue;
        auto& list = one.reached ? refused : unreached;
        list += (list.empty() ? "" : "; ") + one.address + ": " + one.fault();
    }
    if (!unreached.empty())
        return unexpected(operator_cli_error{exit_status::unreachable, unreached});
    if (!refused.empty())
        return unexpected(operator_cli_error{exit_status::failed, refused});
    return {};
}

struct seat {
    std::string name;
    std::string domain;
};

/// What the log says about the hosts.
struct published_hosts {
    bool known = false; ///< false: no platform address, no configuration or no answer
    std::int64_t version = 0;
    std::vector<seat> seats;
    std::string fault; ///< why it is not known; empty if no platform address was given
};

published_hosts read_published_hosts(const invocation& self)
{
    published_hosts hosts;
    const auto address = platform_address(self.line);
    if (!address)
        return hosts;
    configlog::config_history read;
    platform_log log{*address, std::min(self.deadline, boot_clock::now() + log_limit)};
    if (const auto done = log.read_to_end(read); !done) {
        hosts.fault = done.error().message;
        return hosts;
    }
    const auto* current = read.in_force();
    if (current == nullptr) {
        hosts.fault = "no configuration is in force";
        return hosts;
    }
    hosts.known = true;
    hosts.version = read.version();
    const auto add = [&hosts](const settings::cluster_settings& site) {
        for (const auto& one : site.entry_hosts) {
            const auto same = [&one](const auto& other) { return other.name == one.name; };
            if (std::none_of(hosts.seats.begin(), hosts.seats.end(), same))
                hosts.seats.push_back({one.name, one.domain});
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
    return hosts;
}

/// One host in the report of `status`.
json host_entry(const entry_answer& answer)
{
    if (!answer.good())
        return {{"address", answer.address}, {"state", answer.fault()}};
    const auto& body = answer.body;
    const auto* state = body.at("draining").get<bool>()  ? "draining"
                        : body.at("drained").get<bool>() ? "drained"
                        : body.at("ready").get<bool>()   ? "ready"
                                                         : "not ready";
    const auto& members = body.at("members");
    return {{"host", body.at("host")},       {"domain", body.at("domain")},
            {"address", answer.address},     {"state", state},
            {"version", body.at("version")}, {"in_flight", body.at("in_flight")},
            {"members", members.size()}};
}

json host_entries(const std::vector<entry_answer>& answers, const published_hosts& published)
{
    auto entries = json::array();
    bool all_reached = true;
    for (const auto& one : answers) {
        entries.push_back(host_entry(one));
        all_reached = all_reached && one.reached;
    }
    for (const auto& one : published.seats) {
        const bool answered = std::any_of(entries.begin(), entries.end(), [&one](const auto& e) {
            return e.value("host", "") == one.name;
        });
        if (!answered)
            entries.push_back({{"host", one.name},
                               {"domain", one.domain},
                               {"state", all_reached ? "no address given" : "unreachable"}});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const json& a, const json& b) {
        return a.value("host", "~") < b.value("host", "~");
    });
    return entries;
}

std::string cell(const json& entry, const char* key)
{
    if (!entry.contains(key))
        return "-";
    return entry[key].is_string() ? entry[key].get<std::string>() : entry[key].dump();
}

cli_result<void> set_drained(const invocation& self, bool drained)
{
    const auto& line = self.line;
    const bool one_target = line.self ? line.operands.empty() : line.operands.size() == 1;
    if (!one_target)
        return unexpected(
            operator_cli_error{exit_status::usage, "give the name of a worker or --self"});
    if (line.self && line.entries.size() != 1)
        return unexpected(
            operator_cli_error{exit_status::usage, "--self needs exactly one --entry"});
    auto clients = make_clients(self);
    if (!clients)
        return unexpected(clients.error());
    const std::string path = drained ? "/v1/admin/drain" : "/v1/admin/undrain";
    const auto target = line.self ? "?self=1" : "?worker=" + percent_encoded(line.operands.front());
    const auto answers = clients->ask("POST", path + target);

    // Only the entry hosts of the worker's own domain know it.
    const bool done =
        std::any_of(answers.begin(), answers.end(), [](const auto& one) { return one.good(); });
    auto entries = json::array();
    for (const auto& one : answers)
        entries.push_back(
            {{"address", one.address}, {"result", one.good() ? "done" : one.fault()}});
    if (line.json) {
        self.out << json{{"hosts", entries}}.dump() << '\n';
    }
    else {
        text_table table{{"ADDRESS", "RESULT"}};
        for (const auto& one : entries)
            table.add({one["address"], one["result"]});
        table.write(self.out);
    }
    const auto is_other_domain = [](const auto& one) { return one.reached && one.status == 404; };
    std::vector<entry_answer> faulty;
    std::copy_if(answers.begin(), answers.end(), std::back_inserter(faulty),
                 [&](const auto& one) { return !done || !is_other_domain(one); });
    return faults_of(faulty);
}

/// A customer's load in one service, over all hosts that answered.
struct service_load {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t slots = 0;
    /// The smallest part that a host reports. A host counts only the customers that have queued
    /// tasks there, so one without competitors reports 1.
    double promised = 1;

    double share() const
    {
        return slots == 0 ? 0 : static_cast<double>(running) / static_cast<double>(slots);
    }
    bool short_of_promise() const { return queued > 0 && share() < promised; }
};

std::map<std::string, service_load> sum_loads(const std::vector<entry_answer>& customers,
                                              const std::vector<entry_answer>& hosts)
{
    std::map<std::string, service_load> loads;
    for (const auto& one : customers) {
        if (!one.good())
            continue;
        for (const auto& entry : one.body.value("services", json::array())) {
            auto& load = loads[entry.at("service").get<std::string>()];
            load.running += entry.at("running").get<std::int64_t>();
            load.queued += entry.at("queued_tasks").get<std::int64_t>();
            load.promised = std::min(load.promised, entry.at("promised_part").get<double>());
        }
    }
    std::map<std::string, bool> counted; // every host of a domain lists the domain's workers
    for (const auto& one : hosts) {
        if (!one.good())
            continue;
        for (const auto& worker : one.body.at("workers")) {
            if (!counted.emplace(worker.at("name").get<std::string>(), true).second)
                continue;
            if (const auto load = loads.find(worker.at("service").get<std::string>());
                load != loads.end())
                load->second.slots += worker.at("slots").get<std::int64_t>();
        }
    }
    return loads;
}

std::string percent(double part)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f%%", part * 100);
    return text;
}

} // namespace

cli_result<void> status(const invocation& self)
{
    auto clients = make_clients(self);
    if (!clients)
        return unexpected(clients.error());
    const auto answers = clients->ask("GET", "/v1/admin/status");
    const auto published = read_published_hosts(self);
    const auto entries = host_entries(answers, published);
    if (self.line.json) {
        json report{{"hosts", entries}};
        if (published.known)
            report["version"] = published.version;
        self.out << report.dump() << '\n';
    }
    else {
        if (published.known)
            self.out << "version in force in the log: " << published.version << '\n';
        text_table table{{"HOST", "DOMAIN", "ADDRESS", "STATE", "VERSION", "IN FLIGHT", "MEMBERS"}};
        for (const auto& one : entries)
            table.add({cell(one, "host"), cell(one, "domain"), cell(one, "address"),
                       cell(one, "state"), cell(one, "version"), cell(one, "in_flight"),
                       cell(one, "members")});
        table.write(self.out);
    }
    if (auto faults = faults_of(answers); !faults)
        return faults;
    if (!published.fault.empty())
        return unexpected(
            operator_cli_error{exit_status::unreachable,
                               "the hosts of the configuration are not known: " + published.fault});
    return {};
}

cli_result<void> drain(const invocation& self)
{
    return set_drained(self, true);
}

cli_result<void> undrain(const invocation& self)
{
    return set_drained(self, false);
}

cli_result<void> submission(const invocation& self)
{
    if (self.line.customer.empty())
        return unexpected(operator_cli_error{exit_status::usage, "option --customer is missing"});
    auto clients = make_clients(self);
    if (!clients)
        return unexpected(clients.error());
    const auto& id = self.line.operands.front();
    const auto answers =
        clients->ask("GET", "/v1/admin/submissions/" + percent_encoded(id) +
                                "?customer=" + percent_encoded(self.line.customer));
    auto holders = json::array();
    for (const auto& one : answers) {
        if (one.good() && one.body.value("held", false)) {
            auto holder = one.body;
            holder["address"] = one.address;
            holders.push_back(std::move(holder));
        }
    }
    if (self.line.json) {
        self.out << json{{"held_by", holders}}.dump() << '\n';
    }
    else if (!holders.empty()) {
        text_table table{{"ADDRESS", "SERVICE", "TASKS", "DEADLINE IN MS"}};
        for (const auto& one : holders)
            table.add({one["address"], cell(one, "service"), cell(one, "tasks"),
                       cell(one, "deadline_in_ms")});
        table.write(self.out);
    }
    if (auto faults = faults_of(answers); !faults)
        return faults;
    if (holders.empty())
        return unexpected(
            operator_cli_error{exit_status::failed, "no host that was asked holds the id " + id});
    return {};
}

cli_result<void> customer(const invocation& self)
{
    auto clients = make_clients(self);
    if (!clients)
        return unexpected(clients.error());
    const auto path = "/v1/admin/customers/" + percent_encoded(self.line.operands.front());
    const auto answers = clients->ask("GET", path);
    const auto hosts = clients->ask("GET", "/v1/admin/status");
    const auto loads = sum_loads(answers, hosts);
    if (self.line.json) {
        auto services = json::array();
        for (const auto& [name, load] : loads)
            services.push_back({{"service", name},
                                {"running", load.running},
                                {"queued", load.queued},
                                {"slots", load.slots},
                                {"share", load.share()},
                                {"promised", load.promised},
                                {"short", load.short_of_promise()}});
        self.out << json{{"customer", self.line.operands.front()}, {"services", services}}.dump()
                 << '\n';
    }
    else if (!loads.empty()) {
        text_table table{{"SERVICE", "RUNNING", "QUEUED", "SLOTS", "SHARE", "PROMISED", "STATE"}};
        for (const auto& [name, load] : loads)
            table.add({name, std::to_string(load.running), std::to_string(load.queued),
                       std::to_string(load.slots), percent(load.share()), percent(load.promised),
                       load.short_of_promise() ? "short of the promise"
                       : load.queued > 0       ? "has its share"
                                               : "no backlog"});
        table.write(self.out);
    }
    if (auto faults = faults_of(answers); !faults)
        return faults;
    return faults_of(hosts);
}

} // namespace chivewharf::operator_cli
