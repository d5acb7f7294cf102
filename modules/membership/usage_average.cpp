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
    pending_ = pending_exchange{host, vector_message(++exchange_, false), now};
    return usage_send{host, pending_->sent};
}

result<std::optional<usage_send>, membership_error>
usage_average::receive(std::string_view from, const usage_message& m, time_point now)
{
    if (auto checked = check(m); !checked)
        return unexpected(checked.error());
    if (m.epoch > epoch_)
        start_epoch(m.epoch, now);
    if (m.reply) {
        if (pending_ && pending_->host == from && pending_->sent.exchange == m.exchange &&
            pending_->sent.epoch == m.epoch)
            move_halfway(pending_->sent, m);
        if (pending_ && pending_->host == from)
            pending_.reset();
        return std::nullopt;
    }
    // A reply in a higher epoch only tells the asking host to restart.
    auto mine = vector_message(m.exchange, true);
    if (m.epoch == epoch_)
        move_halfway(mine, m);
    return usage_send{std::string{from}, std::move(mine)};
}

double usage_average::domain_usage(std::string_view customer, std::size_t live_hosts,
                                   time_point now) const
{
    const auto at = cells_.find(customer_key(customer));
    if (at == cells_.end())
        return 0;
    const cell& c = at->second;
    const auto hosts = static_cast<double>(std::max<std::size_t>(live_hosts, 1));
    // This host's own usage is part of the sum, whatever the mean still says.
    if (has_settled_ && now - epoch_start_ < settling_time)
        return std::max(c.settled * hosts + c.own - c.settled_own, c.own);
    return std::max(c.mean * hosts, c.own);
}

// A host that joins an epoch that others started has no result of its own yet.
void usage_average::start_epoch(std::uint32_t epoch, time_point now)
{
    const bool settled = now - epoch_start_ >= settling_time;
    has_settled_ = has_settled_ || settled;
    for (auto at = cells_.begin(); at != cells_.end();) {
        cell& c = at->second;
        if (settled) {
            c.settled = c.mean;
            c.settled_own = c.own;
        }
        c.mean = c.own;
        // Usage that nobody has any more leaves the table.
        const bool unused = c.own == 0 && std::abs(c.settled) < negligible_usage;
        at = unused ? cells_.erase(at) : std::next(at);
    }
    pending_.reset();
    epoch_ = epoch;
    epoch_start_ = now;
}

usage_message usage_average::vector_message(std::uint32_t exchange, bool reply) const
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

result<void, membership_error> usage_average::check(const usage_message& m) const
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

// Adds half of (theirs - mine) to each value. `mine` is what the other host saw, which may be older
// than the present value; applying only the difference keeps the sum over both hosts.
void usage_average::move_halfway(const usage_message& mine, const usage_message& theirs)
{
    for (std::size_t i = 0; i < mine.keys.size(); ++i)
        cells_[mine.keys[i]].mean -= static_cast<double>(mine.values[i]) / 2;
    for (std::size_t i = 0; i < theirs.keys.size(); ++i)
        cells_[theirs.keys[i]].mean += static_cast<double>(theirs.values[i]) / 2;
}

} // namespace chivewharf::membership
