#pragma once

#include <functional>
#include <map>
#include <membership/membership.h>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivewharf::membership::testing {

/// Simulates one failure domain in virtual time: hosts with a member table and usage averages,
/// connected by links with a delay, random loss and partitions. Used by the tests and by
/// bench/peers.
class domain_sim {
public:
    struct node {
        std::string name;
        incarnation_id incarnation = 0;
        std::unique_ptr<member_table> table;
        std::unique_ptr<usage_average> usage;
        std::vector<member_event> events;
        bool up = true;
        bool paused = false;
        int side = 0; ///< hosts on different sides cannot reach each other
    };

    domain_sim(std::size_t hosts, std::uint64_t seed) : random_(seed), nodes_(hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            hosts_.push_back({"d", "entry-" + std::to_string(100 + i), "10.0.0.1:7000"});
        for (std::size_t i = 0; i < hosts; ++i) {
            start(i);
            schedule(now + uniform_duration(random_, tick_period), [this, i] { tick(i); });
        }
    }

    /// Starts a new process on host `i`, with a new incarnation.
    void start(std::size_t i)
    {
        auto& n = nodes_[i];
        n = {hosts_[i].host, random_(), nullptr, nullptr, {}};
        n.table = std::make_unique<member_table>(hosts_[i], n.incarnation, now);
        n.table->set_configured_hosts(hosts_);
        n.usage = std::make_unique<usage_average>(now);
    }

    void run(duration length)
    {
        const auto end = now + length;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto event = queue_.extract(queue_.begin());
            now = event.key();
            event.mapped()();
        }
        now = end;
    }

    node& operator[](std::size_t i) { return nodes_[i]; }
    std::vector<node>& nodes() { return nodes_; }

    /// Number of events of one kind on all hosts that `filter` accepts.
    std::size_t count(
        member_change change, const std::function<bool(const node&, const member_event&)>& filter =
                                  [](const node&, const member_event&) { return true; }) const
    {
        std::size_t found = 0;
        for (const auto& n : nodes_) {
            for (const auto& e : n.events)
                found += (e.change == change && filter(n, e)) ? 1 : 0;
        }
        return found;
    }

    /// Number of running hosts whose members are not exactly the running hosts on their side.
    std::size_t wrong_views() const
    {
        std::size_t wrong = 0;
        for (const auto& n : nodes_) {
            if (!n.up || n.paused)
                continue;
            std::set<std::pair<std::string, incarnation_id>> expected, seen;
            for (const auto& other : nodes_) {
                if (other.up && !other.paused && other.side == n.side)
                    expected.emplace(other.name, other.incarnation);
            }
            for (const auto& m : n.table->members())
                seen.emplace(m.host, m.incarnation);
            wrong += seen == expected ? 0 : 1;
        }
        return wrong;
    }

    time_point now{};
    double loss = 0;
    duration delay = std::chrono::microseconds{500};
    std::function<void(const member_message&)> on_member_send;
    std::function<void(const usage_message&)> on_usage_send;

private:
    static constexpr duration tick_period = milliseconds{100};

    void schedule(time_point when, std::function<void()> event)
    {
        queue_.emplace(when, std::move(event));
    }

    void tick(std::size_t i)
    {
        auto& n = nodes_[i];
        schedule(now + tick_period, [this, i] { tick(i); });
        if (!n.up || n.paused)
            return;
        apply(i, n.table->tick(now, random_));
        std::vector<std::string> peers;
        for (auto& m : n.table->members()) {
            if (m.host != n.name)
                peers.push_back(std::move(m.host));
        }
        if (auto sent = n.usage->tick(peers, now, random_))
            send_usage(i, std::move(*sent));
    }

    void apply(std::size_t i, member_output out)
    {
        for (auto& e : out.events)
            nodes_[i].events.push_back(std::move(e));
        for (auto& s : out.sends) {
            if (on_member_send)
                on_member_send(s.message);
            post(i, s.host,
                 [this, i, m = std::move(s.message),
                  sender = nodes_[i].incarnation](std::size_t to) {
                     auto got = nodes_[to].table->receive(hosts_[i], sender, m, now);
                     if (got)
                         apply(to, std::move(*got));
                 });
        }
    }

    void send_usage(std::size_t i, usage_send sent)
    {
        if (on_usage_send)
            on_usage_send(sent.message);
        post(i, sent.host, [this, i, m = std::move(sent.message)](std::size_t to) {
            auto got = nodes_[to].usage->receive(nodes_[i].name, m, now);
            if (got && *got)
                send_usage(to, std::move(**got));
        });
    }

    void post(std::size_t from, std::string_view host, std::function<void(std::size_t)> deliver)
    {
        const auto to = static_cast<std::size_t>(std::stoul(std::string{host.substr(6)})) - 100;
        if (uniform(random_) < loss)
            return;
        schedule(now + delay, [this, from, to, deliver = std::move(deliver)] {
            const auto& n = nodes_[to];
            if (n.up && !n.paused && n.side == nodes_[from].side)
                deliver(to);
        });
    }

    rng random_;
    std::vector<known_host> hosts_;
    std::vector<node> nodes_;
    std::multimap<time_point, std::function<void()>> queue_;
};

} // namespace chivewharf::membership::testing
