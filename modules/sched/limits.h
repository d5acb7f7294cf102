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

/// Limits of one customer in the failure domain. A limit that is not set does not apply.
struct limit_policy {
    std::optional<double> rate = {};               ///< task starts per second, positive
    double burst = 1;                              ///< size of the token bucket, at least 1
    std::optional<std::uint32_t> concurrency = {}; ///< concurrently running tasks
};

/// Whether a customer may start a task now.
struct limit_verdict {
    reason why = reason::none; ///< `none`, `rate_limited` or `concurrency_limited`
    time_point at{};           ///< for `rate_limited`: earliest time of the next start
};

/// Notified when limits or usage of a customer have changed so that it may be able to start tasks
/// again.
class limit_observer {
public:
    limit_observer() = default;
    limit_observer(const limit_observer&) = delete;
    limit_observer& operator=(const limit_observer&) = delete;
    virtual ~limit_observer() = default;
    virtual void on_limit_change(customer_id customer) = 0;
};

/// Rate and concurrency limits of the customers. One object is shared by all services of the
/// process, because the limits apply to the tasks of all services together. A customer without a
/// policy is not limited.
class limits {
public:
    /// Sets or replaces the limits of a customer. Running tasks remain counted, and remaining
    /// tokens are kept up to the new burst.
    /// \return `invalid_policy` for a rate that is not positive or a burst below 1
    result<void, sched_error> set_customer(customer_id customer, const limit_policy& policy,
                                           time_point now);

    /// Removes the limits of a customer. Its running tasks remain counted until they end.
    void remove_customer(customer_id customer);

    /// Sets the number of live entry hosts in the domain, including this one. Until usage averages
    /// are known, each host may use an equal part of each limit.
    void set_live_entry_hosts(std::uint32_t hosts);

    /// Sets the number of the customer's tasks started by other entry hosts of the domain, as
    /// estimated from usage averages. The local limit becomes limit - n, but at least limit / live
    /// entry hosts. This minimum prevents a host from being locked out by its peers, which reduce
    /// their usage once they see that of this host. Ignored for a customer without a policy.
    void set_remote_running(customer_id customer, std::uint32_t n);

    /// Sets the fraction of the customer's rate that this host may use, in (0, 1], as derived from
    /// usage averages. The default is 1 / live entry hosts. Ignored for a customer without a
    /// policy.
    void set_rate_share(customer_id customer, double share, time_point now);

    /// Whether the customer may start a task now.
    limit_verdict check(customer_id customer, time_point now) const;

    /// Counts the start of a task.
    void started(customer_id customer, time_point now);

    /// Counts the end of a task that ran or may have run.
    void ended(customer_id customer);

    /// Undoes the start of a task that certainly did not run, and returns its rate token.
    void not_run(customer_id customer);

    /// Number of running tasks of the customer that this host started.
    std::uint32_t running(customer_id customer) const;

    /// Number of tasks that the customer may run concurrently from this host; none without a limit.
    std::optional<std::uint32_t> local_concurrency(customer_id customer) const;

    /// Task starts per second that the customer may make from this host; none without a limit.
    std::optional<double> local_rate(customer_id customer) const;

    /// Adds an observer. It must be removed before it is destroyed.
    void add_observer(limit_observer& observer);
    void remove_observer(limit_observer& observer);

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
    bool is_below_concurrency_limit(const state& s) const;
    void release(customer_id customer, bool refund);
    void notify_observers(customer_id customer);

    std::uint32_t live_hosts_ = 1;
    std::unordered_map<customer_id, state> states_;
    std::vector<limit_observer*> observers_;
};

} // namespace chivewharf::sched
