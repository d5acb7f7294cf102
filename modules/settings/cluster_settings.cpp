#include <settings/cluster_settings.h>

#include <algorithm>
#include <set>
#include <settings/object_reader.h>

namespace chivewharf::settings {

namespace {

using nlohmann::json;

constexpr double day_ms = 86'400'000;
constexpr value_rule ms{1, day_ms}; // durations
constexpr value_rule retention_ms{60'000, 30 * day_ms};
constexpr value_rule weight{0.001, 1000};
constexpr value_rule fraction{0, 1};
constexpr value_rule count{1, 1'000'000'000};
constexpr value_rule rate{0.001, 1e9};
constexpr value_rule port{1, 65535};

constexpr field<domain_settings> domain_fields[] = {
    {"name", &domain_settings::name, true},
    {"region", &domain_settings::region, true},
};

constexpr field<entry_host_settings> entry_host_fields[] = {
    {"name", &entry_host_settings::name, true},
    {"domain", &entry_host_settings::domain, true},
    {"peer_address", &entry_host_settings::peer_address, true, port},
    {"weight", &entry_host_settings::weight, false, weight},
};

constexpr field<customer_settings> customer_fields[] = {
    {"name", &customer_settings::name, true},
    {"token_sha256", &customer_settings::token_sha256, true},
    {"weight", &customer_settings::weight, false, weight},
    {"rate", &customer_settings::rate, false, rate},
    {"burst", &customer_settings::burst, false, value_rule{1, 1e9}},
    {"max_running", &customer_settings::max_running, false, count},
    {"min_share", &customer_settings::min_share, false, fraction},
    {"max_share", &customer_settings::max_share, false, fraction},
};

constexpr field<operator_settings> operator_fields[] = {
    {"name", &operator_settings::name, true},
    {"token_sha256", &operator_settings::token_sha256, true},
};

constexpr field<service_settings> service_fields[] = {
    {"name", &service_settings::name, true},
    {"idempotent", &service_settings::idempotent, true},
    {"default_deadline_ms", &service_settings::default_deadline, false, ms},
    {"max_deadline_ms", &service_settings::max_deadline, false, ms},
    {"max_queued", &service_settings::max_queued, false, count},
};

constexpr field<upstream_settings> upstream_fields[] = {
    {"name", &upstream_settings::name, true},
    {"address", &upstream_settings::address, true, port},
    {"domain", &upstream_settings::domain, true},
    {"service", &upstream_settings::service, true},
    {"slots", &upstream_settings::slots, false, value_rule{1, 1024}},
    {"connections", &upstream_settings::connections, false, value_rule{1, 4096}},
};

constexpr field<caller_settings> caller_fields[] = {
    {"max_body_bytes", &caller_settings::max_body_bytes, false, value_rule{1024, 64 << 20}},
    {"max_tasks", &caller_settings::max_tasks, false, value_rule{1, 10'000}},
    {"header_timeout_ms", &caller_settings::header_timeout, false, ms},
    {"max_connections", &caller_settings::max_connections, false, value_rule{1, 100'000}},
    {"max_id_bytes", &caller_settings::max_id_bytes, false, value_rule{16, 1024}},
};

using policy = policy_settings;

constexpr field<policy> policy_fields[] = {
    {"id_lifetime_ms", &policy::id_lifetime, false, ms},
    {"answer_keep_ms", &policy::answer_retention, false, ms},
    {"table_max_entries", &policy::table_max_entries, false, count},
    {"table_max_bytes", &policy::table_max_bytes, false, value_rule{1 << 20, 1e12}},
    {"lease_ms", &policy::lease, false, ms},
    {"lease_renew_ms", &policy::lease_renew, false, ms},
    {"clock_drift", &policy::clock_drift, false, value_rule{0, 0.1}},
    {"claim_margin_ms", &policy::claim_margin, false, ms},
    {"promise_ms", &policy::promise, false, ms},
    {"promise_renew_ms", &policy::promise_renew, false, ms},
    {"unreadable_log_limit_ms", &policy::unreadable_log_limit, false, ms},
    {"new_seat_wait_ms", &policy::new_host_wait, false, ms},
    {"eject_failures", &policy::eject_failures, false, value_rule{1, 1000}},
    {"eject_failure_share", &policy::eject_failure_share, false, fraction},
    {"eject_min_tasks", &policy::eject_min_tasks, false, value_rule{1, 1000}},
    {"eject_pool_ratio", &policy::eject_pool_ratio, false, weight},
    {"eject_max_share", &policy::eject_max_share, false, fraction},
    {"eject_first_ms", &policy::eject_first, false, ms},
    {"eject_longest_ms", &policy::eject_max, false, ms},
    {"restore_successes", &policy::restore_successes, false, value_rule{1, 1000}},
    {"straggler_ratio", &policy::straggler_ratio, false, fraction},
    {"grant_ms", &policy::grant, false, ms},
    {"host_list_poll_ms", &policy::host_list_poll, false, ms},
    {"upstream_max_connections", &policy::upstream_max_connections, false, value_rule{1, 100'000}},
    {"max_queued_per_customer", &policy::max_queued_per_customer, false, count},
    {"log_retention_ms", &policy::log_retention, false, retention_ms},
    {"log_appends_per_second", &policy::log_appends_per_second, false, value_rule{1, 1000}},
};

/// Pair of durations. The protocols are correct only if the first is less than the second.
struct ordered_pair {
    std::string_view shorter_key;
    duration policy::*shorter;
    std::string_view longer_key;
    duration policy::*longer;
};

constexpr ordered_pair ordered_pairs[] = {
    {"answer_keep_ms", &policy::answer_retention, "id_lifetime_ms", &policy::id_lifetime},
    {"lease_renew_ms", &policy::lease_renew, "lease_ms", &policy::lease},
    {"promise_renew_ms", &policy::promise_renew, "promise_ms", &policy::promise},
    {"unreadable_log_limit_ms", &policy::unreadable_log_limit, "new_seat_wait_ms",
     &policy::new_host_wait},
    {"eject_first_ms", &policy::eject_first, "eject_longest_ms", &policy::eject_max},
};

struct platform_settings {
    endpoint address;
};

constexpr field<platform_settings> platform_fields[] = {
    {"address", &platform_settings::address, true, port},
};

using cluster = cluster_settings;

void read_platform(json_ref v, const path_node& p, error_sink& e, cluster& out)
{
    platform_settings platform;
    read_object<platform_settings>(v, p, e, platform_fields, platform);
    out.platform_address = platform.address;
}

/// Top-level key and the function that reads its value.
struct section {
    std::string_view key;
    bool required;
    void (*read_into)(json_ref, const path_node&, error_sink&, cluster&);
};

constexpr section sections[] = {
    {"site", true,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) { read(v, p, e, {}, c.site); }},
    {"key_domains", true,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read(v, p, e, {}, c.key_domains);
     }},
    {"domains", true,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_list<domain_settings>(v, p, e, domain_fields, c.domains);
     }},
    {"entry_hosts", true,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_list<entry_host_settings>(v, p, e, entry_host_fields, c.entry_hosts);
     }},
    {"customers", false,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_list<customer_settings>(v, p, e, customer_fields, c.customers);
     }},
    {"operators", false,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_list<operator_settings>(v, p, e, operator_fields, c.operators);
     }},
    {"services", true,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_list<service_settings>(v, p, e, service_fields, c.services);
     }},
    {"upstreams", false,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_list<upstream_settings>(v, p, e, upstream_fields, c.upstreams);
     }},
    {"platform", true, read_platform},
    {"callers", false,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_object<caller_settings>(v, p, e, caller_fields, c.callers);
     }},
    {"policy", false,
     [](json_ref v, const path_node& p, error_sink& e, cluster& c) {
         read_object<policy>(v, p, e, policy_fields, c.policy);
     }},
};

/// Checks that involve several values. Values that were rejected individually are empty here and
/// are not reported again.
class cross_check {
public:
    cross_check(const cluster& parsed, error_sink& errors) : parsed_(parsed), errors_(errors) {}

    void run()
    {
        const auto domains =
            check_unique("domains", "name", parsed_.domains, &domain_settings::name);
        const auto services =
            check_unique("services", "name", parsed_.services, &service_settings::name);
        check_unique("entry_hosts", "name", parsed_.entry_hosts, &entry_host_settings::name);
        check_unique("customers", "name", parsed_.customers, &customer_settings::name);
        check_unique("operators", "name", parsed_.operators, &operator_settings::name);
        check_unique("upstreams", "name", parsed_.upstreams, &upstream_settings::name);
        check_unique_addresses("entry_hosts", "peer_address", parsed_.entry_hosts,
                               &entry_host_settings::peer_address);
        check_unique_addresses("upstreams", "address", parsed_.upstreams,
                               &upstream_settings::address);
        check_unique_tokens();
        check_references("entry_hosts", "domain", parsed_.entry_hosts, &entry_host_settings::domain,
                         domains);
        check_references("upstreams", "domain", parsed_.upstreams, &upstream_settings::domain,
                         domains);
        check_references("upstreams", "service", parsed_.upstreams, &upstream_settings::service,
                         services);
        check_key_domains(domains);
        check_shares(services);
        check_order();
    }

private:
    using names = std::set<std::string>;

    void report(std::string_view list, std::size_t i, std::string_view key, const json& value,
                const char* expected)
    {
        const path_node root;
        const auto list_path = root.at(list);
        const auto element_path = list_path.at(i);
        errors_.add(key.empty() ? element_path : element_path.at(key), &value, expected);
    }

    template <class T>
    /// \return all names of the list
    names check_unique(std::string_view list, std::string_view key, const std::vector<T>& elements,
                       std::string T::*member)
    {
        names seen;
        for (std::size_t i = 0; i < elements.size(); ++i) {
            const auto& name = elements[i].*member;
            if (!name.empty() && !seen.insert(name).second)
                report(list, i, key, name, "a name that no earlier element has");
        }
        return seen;
    }

    template <class T>
    void check_unique_addresses(std::string_view list, std::string_view key,
                                const std::vector<T>& elements, endpoint T::*member)
    {
        names seen;
        for (std::size_t i = 0; i < elements.size(); ++i) {
            const auto& address = elements[i].*member;
            if (!address.ip.empty() && !seen.insert(to_text(address)).second)
                report(list, i, key, to_text(address), "an address that no earlier element has");
        }
    }

    /// A token shared by two customers or operators would not identify the caller.
    void check_unique_tokens()
    {
        std::set<sha256_digest> seen{sha256_digest{}};
        const auto check_token = [&](std::string_view list, std::size_t i,
                                     const sha256_digest& digest) {
            if (digest != sha256_digest{} && !seen.insert(digest).second)
                report(list, i, "token_sha256", "(hidden)", "a token that nobody else has");
        };
        for (std::size_t i = 0; i < parsed_.customers.size(); ++i)
            check_token("customers", i, parsed_.customers[i].token_sha256);
        for (std::size_t i = 0; i < parsed_.operators.size(); ++i)
            check_token("operators", i, parsed_.operators[i].token_sha256);
    }

    /// Checks that `member` of each element is one of the defined names.
    template <class T>
    void check_references(std::string_view list, std::string_view key,
                          const std::vector<T>& elements, std::string T::*member,
                          const names& defined)
    {
        for (std::size_t i = 0; i < elements.size(); ++i) {
            const auto& name = elements[i].*member;
            if (!name.empty() && !defined.contains(name))
                report(list, i, key, name,
                       key == "service" ? "the name of an entry in services"
                                        : "the name of an entry in domains");
        }
    }

    void check_key_domains(const names& domains)
    {
        names seen;
        for (std::size_t i = 0; i < parsed_.key_domains.size(); ++i) {
            const auto& name = parsed_.key_domains[i];
            if (name.empty())
                continue;
            if (!domains.contains(name))
                report("key_domains", i, "", name, "the name of an entry in domains");
            if (!seen.insert(name).second)
                report("key_domains", i, "", name, "each domain once");
        }
    }

    void check_shares(const names& services)
    {
        std::map<std::string, double> min_share_sums;
        for (std::size_t i = 0; i < parsed_.customers.size(); ++i) {
            const auto& customer = parsed_.customers[i];
            for (const auto& [service, share] : customer.min_share) {
                check_share(i, "min_share", service, services);
                const auto max_share = customer.max_share.find(service);
                if (max_share != customer.max_share.end() && max_share->second < share)
                    report("customers", i, "min_share", share, "at most max_share of the service");
                if ((min_share_sums[service] += share) > 1 + 1e-9)
                    report("customers", i, "min_share", share,
                           "a sum of at most 1 over all customers of a service");
            }
            for (const auto& [service, share] : customer.max_share)
                check_share(i, "max_share", service, services);
        }
    }

    void check_share(std::size_t i, std::string_view key, const std::string& service,
                     const names& services)
    {
        if (!services.contains(service))
            report("customers", i, key, service, "the name of an entry in services");
    }

    void check_order()
    {
        for (std::size_t i = 0; i < parsed_.services.size(); ++i) {
            const auto& service = parsed_.services[i];
            if (service.default_deadline > service.max_deadline)
                report("services", i, "default_deadline_ms", to_ms(service.default_deadline),
                       "at most max_deadline_ms");
        }
        const path_node root;
        const auto policy_path = root.at("policy");
        for (const auto& pair : ordered_pairs) {
            const auto shorter = parsed_.policy.*pair.shorter;
            if (shorter < parsed_.policy.*pair.longer)
                continue;
            const json value = to_ms(shorter);
            errors_.add(policy_path.at(pair.shorter_key), &value,
                        "less than " + std::string{pair.longer_key});
        }
    }

    const cluster& parsed_;
    error_sink& errors_;
};

} // namespace

result<cluster_settings, settings_errors> parse_cluster(const document& merged)
{
    error_sink errors{merged};
    cluster parsed;
    const path_node root;
    if (!expect_object(merged.value, root, errors))
        return unexpected(errors.take());
    reject_unknown_keys(merged.value, root, errors, sections);
    for (const auto& section : sections) {
        const auto found = merged.value.find(section.key);
        if (found != merged.value.end())
            section.read_into(*found, root.at(section.key), errors, parsed);
        else if (section.required)
            errors.add(root.at(section.key), nullptr, "a value");
    }
    cross_check{parsed, errors}.run();
    if (!errors.empty())
        return unexpected(errors.take());
    return parsed;
}

} // namespace chivewharf::settings
