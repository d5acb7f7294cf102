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

/// The estimate restarts from the host's own value this often, which removes the error that lost
/// replies and dead hosts leave in the mean.
inline constexpr duration epoch_length = seconds{16};

/// Age from which the running epoch is used; before that, the result of the previous one is.
inline constexpr duration settling_time = seconds{8};

/// An exchange whose answer takes longer is given up.
inline constexpr duration exchange_timeout = milliseconds{900};

/// Mean usage below which a customer counts as unused, in slot-seconds a second.
inline constexpr double negligible_usage = 1e-6;

/// Customers in one vector, about four times the design size.
inline constexpr std::size_t max_customers = 512;

/// One half of an exchange: mean usage over the domain, in slot-seconds a second, of each customer
/// that has any. The key is the low half of the stable hash of the customer's name.
struct usage_message {
    std::uint32_t exchange = 0;
    std::uint32_t epoch = 0;
    bool reply = false;
    std::vector<std::uint32_t> keys;
    std::vector<float> values;
};

/// A usage message to send to a host of this domain.
struct usage_send {
    std::string host;
    usage_message message;
};

/// Averages the customers' usage over the hosts of this domain by pairwise exchanges. In each
/// exchange both hosts move to the mean of their two values; the asking host applies the change
/// relative to what it sent, so exchanges that overlap do not lose usage. Epochs spread by the
/// exchanges themselves: a host that meets a higher epoch restarts in it, so no clocks need to
/// agree.
class usage_average {
public:
    explicit usage_average(time_point now) noexcept;

    /// Sets this host's own usage of a customer, in slot-seconds a second; the change is added to
    /// the estimate. Errors: `table_full` above `max_customers`, `malformed` if not finite.
    result<void, membership_error> set_own(std::string_view customer, double usage);

    /// Forgets a customer that the configuration removed.
    void remove(std::string_view customer);

    /// Starts an exchange with one random host of `peers` when one is due, and a new epoch every
    /// 16 s. Call it every 100 ms.
    std::optional<usage_send> tick(const std::vector<std::string>& peers, time_point now,
                                   rng& random);

    /// Handles a message from a live host of this domain and returns the answer, if any. Errors:
    /// `malformed`, `table_full`.
    result<std::optional<usage_send>, membership_error>
    receive(std::string_view from, const usage_message& m, time_point now);

    /// Usage of the customer over the whole domain with `live_hosts` hosts (this one included), in
    /// slot-seconds a second.
    double domain_usage(std::string_view customer, std::size_t live_hosts, time_point now) const;

    /// Customers with an entry, from this host or from peers.
    std::size_t size() const noexcept { return cells_.size(); }

    std::uint32_t epoch() const noexcept { return epoch_; }

private:
    struct cell {
        double own = 0;
        double mean = 0;
        double settled = 0;     ///< mean at the end of the previous epoch
        double settled_own = 0; ///< own value at that time
    };
    using cell_map = std::unordered_map<std::uint32_t, cell>;

    struct pending_exchange {
        std::string host;
        usage_message sent;
        time_point sent_at;
    };

    void start_epoch(std::uint32_t epoch, time_point now);
    usage_message vector_message(std::uint32_t exchange, bool reply) const;
    result<void, membership_error> check(const usage_message& m) const;
    void move_halfway(const usage_message& mine, const usage_message& theirs);

    cell_map cells_;
    std::optional<pending_exchange> pending_;
    std::uint32_t epoch_ = 0;
    std::uint32_t exchange_ = 0;
    bool has_settled_ = false;
    time_point epoch_start_;
    time_point next_exchange_;
};

/// Key of a customer in usage messages. Two of 120 names share a key with a probability of about
/// 2e-6; their usage is then reported as one sum for both.
std::uint32_t customer_key(std::string_view customer) noexcept;

} // namespace chivewharf::membership
