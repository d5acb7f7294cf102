#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <membership/membership_error.h>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewharf::membership {

inline constexpr duration exchange_period = seconds{1};

/// Interval at which the estimate restarts from the host's own value, which removes the errors that
/// lost replies and failed hosts cause in the mean.
inline constexpr duration epoch_length = seconds{16};

/// Age at which the current epoch counts as converged. Until then, the result of the previous epoch
/// is used.
inline constexpr duration settling_time = seconds{8};

/// Time after which an exchange without a reply is abandoned.
inline constexpr duration exchange_timeout = milliseconds{900};

/// Mean usage below which a customer counts as unused, in slot-seconds per second.
inline constexpr double negligible_usage = 1e-6;

/// Maximum number of customers in the table, and thus in one message; about four times the design
/// size.
inline constexpr std::size_t max_customers = 512;

/// Request or reply of an exchange: the sender's estimate of the mean usage per host, in
/// slot-seconds per second, of each customer whose estimate is not 0. Keys are made by
/// `customer_key`.
struct usage_message {
    std::uint32_t exchange = 0;
    std::uint32_t epoch = 0;
    bool reply = false;
    std::vector<std::uint32_t> keys;
    std::vector<float> values;
};

/// A usage message and the host of this domain to send it to.
struct usage_send {
    std::string host;
    usage_message message;
};

/// Averages each customer's usage over the hosts of this domain by push-pull gossip. In each
/// exchange both hosts move to the mean of their two values. Each side applies the change relative
/// to the value it sent, so overlapping exchanges do not lose usage. Epochs spread with the
/// exchanges: a host that receives a higher epoch restarts in it, so the hosts need no synchronised
/// clocks.
class usage_average {
public:
    explicit usage_average(time_point now) noexcept;

    /// Sets the usage of a customer on this host, in slot-seconds per second, and adds the change
    /// to the estimate. Errors: `table_full` above `max_customers`, `malformed` if not finite.
    result<void, membership_error> set_own(std::string_view customer, double usage);

    /// Removes a customer that is no longer configured.
    void remove(std::string_view customer);

    /// Starts a new epoch and an exchange with a random host of `peers` whenever these are due.
    /// Call it every 100 ms.
    /// \return the message to send, if any
    std::optional<usage_send> tick(const std::vector<std::string>& peers, time_point now,
                                   rng& random);

    /// Handles a message from a live host of this domain and returns the reply, if any. Errors:
    /// `malformed`, `table_full`.
    result<std::optional<usage_send>, membership_error>
    receive(std::string_view from, const usage_message& m, time_point now);

    /// Estimated usage of the customer in the whole domain, in slot-seconds per second.
    /// \param live_hosts number of live hosts in the domain, including this one
    double domain_usage(std::string_view customer, std::size_t live_hosts, time_point now) const;

    /// Number of customers with an entry, whether from this host or from peers.
    std::size_t size() const noexcept { return cells_.size(); }

    std::uint32_t epoch() const noexcept { return epoch_; }

private:
    struct cell {
        double own = 0;
        double mean = 0;
        double previous_mean = 0; ///< mean at the end of the last converged epoch
        double previous_own = 0;  ///< own usage at that time
    };
    using cell_map = std::unordered_map<std::uint32_t, cell>;

    struct pending_exchange {
        std::string host;
        usage_message sent;
        time_point sent_at;
    };

    void start_epoch(std::uint32_t epoch, time_point now);
    usage_message make_message(std::uint32_t exchange, bool reply) const;
    result<void, membership_error> validate(const usage_message& m) const;
    void apply_exchange(const usage_message& mine, const usage_message& theirs);

    cell_map cells_;
    std::optional<pending_exchange> pending_;
    std::uint32_t epoch_ = 0;
    std::uint32_t last_exchange_id_ = 0;
    bool has_previous_epoch_ = false;
    time_point epoch_start_;
    time_point next_exchange_;
};

/// Key of a customer in usage messages: the low 32 bits of the stable hash of the name. Among 120
/// customers, two share a key with a probability of about 2e-6; both then get the sum of their
/// usage.
std::uint32_t customer_key(std::string_view customer) noexcept;

} // namespace chivewharf::membership
