#pragma once

#include <base/digest.h>
#include <base/result.h>
#include <base/time.h>
#include <cstdint>
#include <map>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <settings/settings_error.h>
#include <string>
#include <vector>

namespace chivewharf::settings {

/// A failure domain.
struct domain_settings {
    std::string name;
    std::string region;

    bool operator==(const domain_settings&) const = default;
};

/// A configured entry host.
struct entry_host_settings {
    std::string name;
    std::string domain;
    endpoint peer_address; ///< address to which other entry hosts connect
    double weight = 1;     ///< relative capacity, 0.001 to 1000

    bool operator==(const entry_host_settings&) const = default;
};

/// A customer. Shares map the name of a service to a fraction of its slots.
struct customer_settings {
    std::string name;
    sha256_digest token_sha256{};
    double weight = 1;                ///< fair share of a service relative to other customers
    double rate = 1000;               ///< tasks per second
    double burst = 2000;              ///< tasks; the depth of the token bucket
    std::int64_t max_running = 10000; ///< concurrent tasks in a failure domain
    std::map<std::string, double> min_share;
    std::map<std::string, double> max_share; ///< services not listed have no maximum

    bool operator==(const customer_settings&) const = default;
};

/// An operator, who may use `/v1/admin`.
struct operator_settings {
    std::string name;
    sha256_digest token_sha256{};

    bool operator==(const operator_settings&) const = default;
};

/// A service that tasks can request.
struct service_settings {
    std::string name;
    bool idempotent = false;                  ///< whether a request may run more than once
    duration default_deadline{2'000'000'000}; ///< used if a submission specifies none
    duration max_deadline{30'000'000'000};
    std::int64_t max_queued = 20000; ///< queued tasks per entry host

    bool operator==(const service_settings&) const = default;
};

/// A worker.
struct upstream_settings {
    std::string name;
    endpoint address;
    std::string domain;
    std::string service;
    std::int64_t slots = 8;        ///< concurrent tasks
    std::int64_t connections = 60; ///< open connections of all entry hosts in total

    bool operator==(const upstream_settings&) const = default;
};

/// Limits on requests and connections of callers.
struct caller_settings {
    std::int64_t max_body_bytes = 1 << 20;
    std::int64_t max_tasks = 210;
    duration header_timeout{5'000'000'000};
    std::int64_t max_connections = 2000;
    std::int64_t max_id_bytes = 128;

    bool operator==(const caller_settings&) const = default;
};

/// Tunable constants. The defaults are the values of the design document.
struct policy_settings {
    // Submission table.
    duration id_lifetime{300'000'000'000};
    duration answer_retention{60'000'000'000};
    std::int64_t table_max_entries = 1'000'000;
    std::int64_t table_max_bytes = 48 << 20;
    // Ownership slots.
    duration lease{45'000'000'000};
    duration lease_renew{15'000'000'000};
    double clock_drift = 0.01; ///< maximum relative drift between two clocks
    duration claim_margin{500'000'000};
    duration promise{10'000'000'000};
    duration promise_renew{3'000'000'000};
    duration unreadable_log_limit{4'500'000'000'000}; ///< max operating time without a readable log
    duration new_host_wait{5'400'000'000'000};        ///< wait before an added host may claim slots
    // Workers.
    std::int64_t eject_failures = 3; ///< consecutive failures
    double eject_failure_share = 0.5;
    std::int64_t eject_min_tasks = 5;
    double eject_pool_ratio = 3;
    double eject_max_share = 0.3;
    duration eject_first{5'000'000'000};
    duration eject_max{60'000'000'000};
    std::int64_t restore_successes = 2;
    double straggler_ratio = 0.25;
    duration grant{2'000'000'000};
    duration host_list_poll{1'000'000'000};
    std::int64_t upstream_max_connections = 4096; ///< per entry host
    // Queues.
    std::int64_t max_queued_per_customer = 10'000;
    // Platform.
    duration log_retention{86'400'000'000'000}; ///< set by the platform; republished after half
    double log_appends_per_second = 30;         ///< budget of the whole system

    bool operator==(const policy_settings&) const = default;
};

/// The published settings, identical in all processes of a site.
struct cluster_settings {
    std::string site;
    std::vector<std::string> key_domains; ///< home domains of callers' ids; fixed at run time
    std::vector<domain_settings> domains;
    std::vector<entry_host_settings> entry_hosts;
    std::vector<customer_settings> customers;
    std::vector<operator_settings> operators;
    std::vector<service_settings> services;
    std::vector<upstream_settings> upstreams;
    endpoint platform_address;
    caller_settings callers;
    policy_settings policy;

    bool operator==(const cluster_settings&) const = default;
};

/// Parses a merged document. Reports all errors in one pass: unknown keys, wrong types, values out
/// of range, duplicate names, references to undefined names and pairs of durations in the wrong
/// order. The key `host` is rejected, because it is local to a process; see `parse_host`.
result<cluster_settings, settings_errors> parse_cluster(const document& merged);

} // namespace chivewharf::settings
