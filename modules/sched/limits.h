#pragma once

#include <base/reason.h>
#include <base/time.h>
#include <cstdint>
#include <optional>
#include <sched/sched_error.h>
#include <sched/types.h>
#include <unordered_map>
#include <vector>

namespace chivewharf::sched {

/// Limits of one customer in the failure domain. An absent limit does not limit.
struct limit_policy {
    std::optional<double> rate = {};               ///< task starts a second, positive
    double burst = 1;                              ///< starts at once after a pause, at least 1
    std::optional<std::uint32_t> concurrency = {}; ///< tasks running at once
};

/// Whether a customer may start a task now.
struct limit_verdict {
    reason why = reason::none; ///< `none`, `rate_limited` or `concurrency_limited`
    time_point at{};           ///< for `rate_limited`: when the next start is possible
};

/// Is told when a customer that was at its concurrency limit may start again.
class room_observer {
public:
    room_observer() = default;
    room_observer(const room_observer&) = delete;
    room_observer& operator=(const room_observer&) = delete;
    virtual ~room_observer() = default;
    virtual void on_room(customer_id customer) = 0;
};

/// Rate and concurrency limits of the customers. One object serves all services of the process,
/// because the limits count tasks of every service. A customer without a policy is not limited.
class limits {
public:
    /// Sets or replaces the limits of a customer. Running tasks stay counted; the tokens left are
    /// kept, up to the new burst.
    /// \return `invalid_policy` for a rate that is not positive or a burst below 1
    result<void, sched_error> set_customer(customer_id customer, const limit_policy& policy,
                                           time_point now);

    /// Forgets the limits. Tasks still running stay counted until they end.
    void remove_customer(customer_id customer);

    /// Live entry hosts of the domain, this one included. Until usage averages are known, each is
    /// entitled to an equal part of each limit.
    void set_live_entry_hosts(std::uint32_t hosts);

    /// Tasks of the customer that run from other entry hosts of the domain, from usage averages.
    /// The local part becomes limit - n, but not less than limit / live entry hosts: the latter
    /// keeps a host from being locked out by its peers, who give way as soon as they see its usage.
    /// Ignored for a customer without a policy, as is `set_rate_share`.
    void set_remote_running(customer_id customer, std::uint32_t n);

    /// Part of the customer's rate that this host may use, in (0, 1], from usage averages.
    /// Without it the part is 1 / live entry hosts.
    void set_rate_share(customer_id customer, double share, time_point now);

    /// Whether the customer may start a task now.
    limit_verdict check(customer_id customer, time_point now) const;

    /// Counts a start.
    void started(customer_id customer, time_point now);

    /// Counts the end of a task that ran or may have run.
    void ended(customer_id customer);

    /// Undoes a start whose task certainly did not run: the rate token is given back as well.
    void not_run(customer_id customer);

    /// Tasks of the customer that run from this host.
    std::uint32_t running(customer_id customer) const;

    /// Tasks that the customer may run from this host at once; none without a limit.
    std::optional<std::uint32_t> local_concurrency(customer_id customer) const;

    /// Starts a second that the customer may make from this host; none without a limit.
    std::optional<double> local_rate(customer_id customer) const;

    /// Adds an observer, which must be removed before it is destroyed.
    void add_observer(room_observer& observer);
    void remove_observer(room_observer& observer);

private:
    struct state {
        limit_policy policy;
        bool removed = true; // until a policy is set
        std::uint32_t running = 0;
        std::optional<std::uint32_t> remote_running;
        std::optional<double> rate_share;
        double tokens = 0;
        time_point refilled{};
    };

    const state* find(customer_id customer) const;
    double rate_of(const state& s) const;
    double tokens_at(const state& s, time_point now) const;
    void refill(state& s, time_point now) const;
    std::optional<std::uint32_t> concurrency_of(const state& s) const;
    bool has_room(const state& s) const;
    void release(customer_id customer, bool refund);
    void tell(customer_id customer);

    std::uint32_t live_hosts_ = 1;
    std::unordered_map<customer_id, state> states_;
    std::vector<room_observer*> observers_;
};

} // namespace chivewharf::sched
