#pragma once

#include <base/digest.h>
#include <map>
#include <optional>
#include <sched/types.h>
#include <settings/cluster_settings.h>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::dispatch {

/// Owner of a bearer token.
struct principal {
    std::string name;
    bool is_operator = false;
};

/// Customers and operators of the configuration in force.
class customer_directory {
public:
    /// Replaces customers and operators. A customer keeps its number for the lifetime of the
    /// process.
    void apply(const settings::cluster_settings& settings);

    /// Owner of the token, or none. Compares against every digest in constant time, so that timing
    /// reveals nothing about which customers exist.
    std::optional<principal> authenticate(std::string_view token) const;

    /// Number of a customer of the configuration in force.
    std::optional<sched::customer_id> number(std::string_view name) const;

    /// Name of a current or former customer; empty if the number was never assigned.
    std::string_view name(sched::customer_id number) const;

private:
    struct credential {
        sha256_digest digest;
        principal who;
    };

    std::vector<credential> credentials_;
    std::map<std::string, sched::customer_id, std::less<>> active_;
    std::map<std::string, sched::customer_id, std::less<>> numbers_;
    std::vector<std::string> names_;
};

} // namespace chivewharf::dispatch
