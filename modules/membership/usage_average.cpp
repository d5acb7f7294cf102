#include <membership/usage_average.h>

#include <algorithm>
#include <base/digest.h>
#include <cmath>
#include <utility>

namespace chivewharf::membership {

std::uint32_t customer_key(std::string_view customer) noexcept
{
    return static_cast<std::uint32_t>(stable_hash(customer));
}

usage_average::usage_average(time_point now) noexcept : epoch_start_(now), next_exchange_(now) {}

result<void, membership_error> usage_average::set_own(std::string_view customer, double usage)
{
    if (!std::isfinite(usage)) {
        return unexpected(
            membership_error{membership_errc::malformed,
                             "usage of " + std::string{customer} + " is not a finite number"});
    }
    const auto key = customer_key(customer);
    if (cells_.size() >= max_customers && !cells_.contains(key)) {
        return unexpected(membership_error{membership_errc::table_full,
                                           "no room for customer " + std::string{customer}});
    }
    cell& c = cells_[key];
    c.mean += usage - c.own;
    c.own = usage;
    return {};
}

void usage_average::remove(std::string_view customer)
{
    cells_.erase(customer_key(customer));
}

std::optional<usage_send> usage_average::tick(const std::vector<std::string>& peers, time_point now,
                                              rng& random)
{
    if (now - epoch_start_ >= epoch_length)
        start_epoch(epoch_ + 1, now);
    if (pending_ && now - pending_->sent_at >= exchange_timeout)
        pending_.reset();
    if (now < next_exchange_ || peers.empty())
        return std::nullopt;
    next_exchange_ = std::max(next_exchange_ + exchange_period, now);
    const auto& host = peers[random() % peers.size()];
    pending_ = pending_exchange{host, make_message(++last_exchange_id_, false), now};
    return usage_send{host, pending_->sent};
}

result<std::optional<usage_send>, membership_error>
usage_average::receive(std::string_view from, const usage_message& m, time_point now)
{
    if (auto valid = validate(m); !valid)
        return unexpected(valid.error());
    if (m.epoch > epoch_)
        start_epoch(m.epoch, now);
    if (m.reply) {
        if (pending_ && pending_->host == from && pending_->sent.exchange == m.exchange &&
            pending_->sent.epoch == m.epoch)
            apply_exchange(pending_->sent, m);
        if (pending_ && pending_->host == from)
            pending_.reset();
        return std::nullopt;
    }
    // The reply to a request from an older epoch carries the current epoch, in which the requester
    // then restarts.
    auto mine = make_message(m.exchange, true);
    if (m.epoch == epoch_)
        apply_exchange(mine, m);
    return usage_send{std::string{from}, std::move(mine)};
}

double usage_average::domain_usage(std::string_view customer, std::size_t live_hosts,
                                   time_point now) const
{
    const auto it = cells_.find(customer_key(customer));
    if (it == cells_.end())
        return 0;
    const cell& c = it->second;
    const auto hosts = static_cast<double>(std::max<std::size_t>(live_hosts, 1));
    // The sum over the domain includes this host's own usage, so that is a lower bound even while
    // the estimate has not converged.
    if (has_previous_epoch_ && now - epoch_start_ < settling_time)
        return std::max(c.previous_mean * hosts + c.own - c.previous_own, c.own);
    return std::max(c.mean * hosts, c.own);
}

// The mean is stored as the result only if the ending epoch has converged. A host that has just
// joined may restart in the epoch of another host before that.
void usage_average::start_epoch(std::uint32_t epoch, time_point now)
{
    const bool converged = now - epoch_start_ >= settling_time;
    has_previous_epoch_ = has_previous_epoch_ || converged;
    for (auto it = cells_.begin(); it != cells_.end();) {
        cell& c = it->second;
        if (converged) {
            c.previous_mean = c.mean;
            c.previous_own = c.own;
        }
        c.mean = c.own;
        // Drops customers that no host uses any more.
        const bool unused = c.own == 0 && std::abs(c.previous_mean) < negligible_usage;
        it = unused ? cells_.erase(it) : std::next(it);
    }
    pending_.reset();
    epoch_ = epoch;
    epoch_start_ = now;
}

usage_message usage_average::make_message(std::uint32_t exchange, bool reply) const
{
    usage_message m{exchange, epoch_, reply, {}, {}};
    m.keys.reserve(cells_.size());
    m.values.reserve(cells_.size());
    for (const auto& [key, c] : cells_) {
        const auto value = static_cast<float>(c.mean);
        if (value != 0) {
            m.keys.push_back(key);
            m.values.push_back(value);
        }
    }
    return m;
}

result<void, membership_error> usage_average::validate(const usage_message& m) const
{
    const auto finite = [](float v) { return std::isfinite(v); };
    if (m.keys.size() != m.values.size() || !std::all_of(m.values.begin(), m.values.end(), finite))
        return unexpected(
            membership_error{membership_errc::malformed, "usage vector is malformed"});
    const auto added = std::count_if(m.keys.begin(), m.keys.end(),
                                     [&](std::uint32_t key) { return !cells_.contains(key); });
    if (cells_.size() + static_cast<std::size_t>(added) > max_customers)
        return unexpected(membership_error{membership_errc::table_full, "too many customers"});
    return {};
}

// Adds half of (theirs - mine) to each mean. `mine` is the message sent to the other host, which
// may be older than the current mean. Applying only the difference preserves the sum over both
// hosts.
void usage_average::apply_exchange(const usage_message& mine, const usage_message& theirs)
{
    for (std::size_t i = 0; i < mine.keys.size(); ++i)
        cells_[mine.keys[i]].mean -= static_cast<double>(mine.values[i]) / 2;
    for (std::size_t i = 0; i < theirs.keys.size(); ++i)
        cells_[theirs.keys[i]].mean += static_cast<double>(theirs.values[i]) / 2;
}

} // namespace chivewharf::membership
