#pragma once

#include <base/rng.h>
#include <dispatch/action.h>
#include <dispatch/customer_directory.h>
#include <dispatch/identity.h>
#include <dispatch/task_dispatcher.h>
#include <map>
#include <membership/member_table.h>
#include <membership/usage_average.h>
#include <metrics/registry.h>
#include <settings/cluster_settings.h>
#include <string>
#include <vector>

namespace chivewharf::dispatch {

/// Sender of a message, as authenticated by the handshake of the link.
struct peer_identity {
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0;
};

/// This host's side of the protocols between the entry hosts of a domain: membership, usage
/// averages and the lending of worker slots.
class peer_service {
public:
    peer_service(identity self, std::string peer_address, task_dispatcher& dispatcher,
                 action_list& actions, metrics::registry& metrics, rng& random, time_point now);

    void apply(const settings::cluster_settings& settings, const customer_directory& customers,
               time_point now);

    void on_membership(const peer_identity& from, const membership::member_message& message,
                       time_point now);
    void on_usage(const peer_identity& from, const wire::usage_average& message, time_point now);
    void on_slot_request(const peer_identity& from, const wire::slot_request& message,
                         time_point now);
    void on_slot_grant(const peer_identity& from, const wire::slot_grant& message, time_point now);
    void on_slot_return(const peer_identity& from, const wire::slot_return& message,
                        time_point now);

    /// Sets the entry hosts of the platform's list, which are used only as hosts to contact.
    void set_platform_hosts(const std::vector<membership::known_host>& hosts)
    {
        members_.set_platform_hosts(hosts);
    }

    /// Sends heartbeats and usage averages that are due. Call it every 100 ms.
    void tick(time_point now);

    /// Requests slots for a backlog and returns idle ones. Call it every 10 to 50 ms.
    void share_slots(time_point now);

    const membership::member_table& members() const noexcept { return members_; }

    /// True once another process runs under this host's name; this process must then stop.
    bool superseded() const noexcept { return superseded_; }

    /// Other live hosts of the domain.
    std::vector<membership::member> live_peers() const;

    /// Partner of the last usage exchange; empty before the first.
    const std::string& usage_partner() const noexcept { return usage_partner_; }

    /// Usage of a customer in the whole domain, in slots.
    double domain_usage(std::string_view customer, time_point now) const;

private:
    void apply_output(const membership::member_output& output, time_point now);
    void members_changed(time_point now);
    void measure_usage(time_point now);
    void charge_usage(time_point now);

    identity self_;
    task_dispatcher& dispatcher_;
    action_list& actions_;
    rng& random_;
    membership::member_table members_;
    membership::usage_average usage_;
    const customer_directory* customers_ = nullptr;
    std::map<std::string, double> host_weights_;
    std::map<sched::customer_id, double> last_usage_; ///< slot-seconds at the last measurement
    std::map<sched::customer_id, double> own_rate_;   ///< slots, smoothed
    std::string usage_partner_;
    time_point next_measure_;
    time_point last_measure_;
    bool superseded_ = false;
    std::uint64_t& heartbeats_;
    std::uint64_t& reports_;
    std::uint64_t& usage_messages_;
    std::uint64_t& slot_messages_;
    double& live_hosts_;
};

} // namespace chivewharf::dispatch
