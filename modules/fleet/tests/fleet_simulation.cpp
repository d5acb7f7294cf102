#include "fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iterator>
#include <tuple>

namespace chivewharf::fleet {

namespace {

constexpr duration network_delay = std::chrono::microseconds{300};
constexpr duration order_timeout = milliseconds{250};
constexpr duration tick_interval = milliseconds{20};
constexpr duration resend_after = milliseconds{1300};
constexpr duration store_interval = milliseconds{500};
/// No task may start in a domain this long after the request to drain it: a read of the store, a
/// report, and a margin.
constexpr duration drain_limit = milliseconds{800};
/// No task may start this long after the acknowledgement of its job's cancellation.
constexpr duration cancellation_limit = seconds{3};

// Where the input of a process comes from. What one source delivers stays in order.
const std::string worker_source = "workers";
const std::string caller_source = "callers";
const std::string departure_source = "ended connections of callers";
const std::string store_source = "store";
const std::string dial_source = "links to open";
const std::string tick_source = "tick";

std::string link_source(const std::string& peer)
{
    return "link to " + peer;
}

std::string config_text(std::uint64_t version)
{
    return std::to_string(version);
}

result<cluster_config, std::string> decode_config(const std::string& record)
{
    cluster_config config;
    config.version = std::stoull(record);
    config.record = record;
    queue_config queue;
    queue.name = "checks";
    queue.host = "h";
    queue.prefix = "/checks/";
    queue.service = "desk";
    queue.max_attempts = 3;
    queue.stretch = 1.6F;
    queue.target = milliseconds{60};
    config.queues.push_back(queue);
    for (std::uint32_t priority = 1; priority < 3; ++priority) {
        queue.name = "checks-" + std::to_string(priority);
        queue.prefix = "/" + queue.name + "/";
        queue.priority = priority;
        config.queues.push_back(queue);
    }
    return config;
}

} // namespace

class sim_worker_port final : public worker_port {
public:
    sim_worker_port(fleet_simulation& simulation, std::string host, std::uint64_t incarnation)
        : simulation_{simulation}, host_{std::move(host)}, incarnation_{incarnation}
    {
    }

    void start(start_order order, std::function<void(const order_reply&)> reply) override
    {
        send(std::move(order), reply, &fleet_simulation::start_on);
    }

    void stop(stop_order order, std::function<void(const order_reply&)> reply) override
    {
        send(std::move(order), reply, &fleet_simulation::stop_on);
    }

    void poll_status(status_request order, std::function<void(status_reply)> reply) override
    {
        auto& simulation = simulation_;
        const auto id = order.to.id;
        const auto limit = simulation.now_ + order.wait + order_timeout;
        auto answer = [&simulation, host = host_, incarnation = incarnation_,
                       reply](status_reply got) {
            simulation.deliver(host, incarnation, worker_source,
                               [&simulation, reply, got]() mutable {
                                   got.received = simulation.now_;
                                   reply(got);
                               });
        };
        simulation.schedule(
            simulation.now_ + network_delay,
            [&simulation, host = host_, incarnation = incarnation_, id, order, answer, limit] {
                auto& worker = simulation.workers_.at(id);
                if (!simulation.reachable(host, worker)) {
                    simulation.schedule(limit, [answer] { answer({}); });
                    return;
                }
                auto got = simulation.poll_status(worker, order);
                if (got.outcome != order_outcome::accepted || !got.ended.empty() ||
                    order.wait == duration{0}) {
                    simulation.schedule(simulation.now_ + network_delay,
                                        [answer, got] { answer(got); });
                    return;
                }
                simulation.pending_polls_[id].push_back(
                    {host, incarnation, order, simulation.now_ + order.wait,
                     [answer](status_reply one) { answer(std::move(one)); }});
                simulation.schedule(simulation.now_ + order.wait,
                                    [&simulation, id] { simulation.answer_polls(id); });
            });
    }

private:
    template <class Order>
    void send(Order order, const std::function<void(const order_reply&)>& reply,
              void (fleet_simulation::*carry_out)(sim_worker&, const Order&, order_reply&))
    {
        auto& simulation = simulation_;
        const auto limit = simulation.now_ + order_timeout;
        auto answer = [&simulation, host = host_, incarnation = incarnation_,
                       reply](order_reply got) {
            simulation.deliver(host, incarnation, worker_source,
                               [&simulation, reply, got]() mutable {
                                   got.received = simulation.now_;
                                   reply(got);
                               });
        };
        const auto& worker = simulation.workers_.at(order.to.id);
        if (uniform(simulation.random_) < worker.fault.late_orders) {
            const auto late = seconds{2} + uniform_duration(simulation.random_, seconds{10});
            // If the worker restarts before then, the order is lost.
            simulation.schedule(simulation.now_ + late,
                                [&simulation, order, carry_out, incarnation = worker.incarnation] {
                                    order_reply ignored;
                                    auto& holder = simulation.workers_.at(order.to.id);
                                    if (holder.incarnation == incarnation)
                                        (simulation.*carry_out)(holder, order, ignored);
                                });
            simulation.schedule(limit, [answer] { answer({}); });
            return;
        }
        const bool lost = uniform(simulation.random_) < worker.fault.lost_answers;
        simulation.schedule(simulation.now_ + network_delay +
                                uniform_duration(simulation.random_, network_delay),
                            [&simulation, host = host_, order, carry_out, answer, limit, lost] {
                                auto& to = simulation.workers_.at(order.to.id);
                                if (!simulation.reachable(host, to)) {
                                    simulation.schedule(limit, [answer] { answer({}); });
                                    return;
                                }
                                order_reply got;
                                (simulation.*carry_out)(to, order, got);
                                if (lost)
                                    simulation.schedule(limit, [answer] { answer({}); });
                                else
                                    simulation.schedule(simulation.now_ + network_delay,
                                                        [answer, got] { answer(got); });
                            });
    }

    fleet_simulation& simulation_;
    std::string host_;
    std::uint64_t incarnation_;
};

class sim_peer_port final : public peer_port {
public:
    sim_peer_port(fleet_simulation& simulation, std::string host)
        : simulation_{simulation}, host_{std::move(host)}
    {
    }

    void send(const std::string& to, const wire::message& message) override;
    void drop(const std::string& to) override
    {
        simulation_.deliver_deferred(host_, link_source(to));
        simulation_.unlink(host_, to);
    }

private:
    fleet_simulation& simulation_;
    std::string host_;
};

class sim_caller_port final : public caller_port {
public:
    sim_caller_port(fleet_simulation& simulation, std::string host)
        : simulation_{simulation}, host_{std::move(host)}
    {
    }

    void answer(std::uint64_t request, job_answer answer, duration retry_after) override
    {
        const auto found = jobs.find(request);
        if (found == jobs.end())
            return;
        const auto job = found->second;
        jobs.erase(found);
        simulation_.jobs_.at(job).retry_after = retry_after;
        simulation_.answered(job, to_name(answer));
    }

    std::size_t report_departures() override
    {
        return simulation_.deliver_deferred(host_, departure_source);
    }

    std::map<std::uint64_t, std::string> jobs; ///< by request

private:
    fleet_simulation& simulation_;
    std::string host_;
};

struct fleet_simulation::sim_host {
    std::string name;
    std::string domain;
    std::uint64_t incarnation = 0;
    std::uint32_t processor_milli = 250;
    bool alive = false;
    bool frozen = false;
    bool announced = false; ///< the store has assigned it a number
    std::uint64_t shown_config = 0;
    std::uint64_t next_request = 1;
    std::uint64_t sent = 0;                     ///< messages to other hosts
    std::map<std::string, std::uint64_t> links; ///< number of the link to each linked host
    /// Input that has arrived while the process was frozen, by source.
    std::map<std::string, std::deque<std::function<void()>>> deferred;
    std::unique_ptr<metrics::registry> metrics;
    std::unique_ptr<sim_worker_port> workers;
    std::unique_ptr<sim_peer_port> peers;
    std::unique_ptr<sim_caller_port> callers;
    std::unique_ptr<fleet_host> core;
    /// Processes that have ended. Replies in flight may still refer to their sessions.
    std::vector<std::unique_ptr<fleet_host>> ended;
};

void sim_peer_port::send(const std::string& to, const wire::message& message)
{
    auto& simulation = simulation_;
    const auto& from = *simulation.hosts_.at(host_);
    const auto link = from.links.find(to);
    if (link == from.links.end())
        return;
    ++simulation.hosts_.at(host_)->sent;
    if (std::holds_alternative<wire::config_record>(message))
        ++simulation.config_records_;
    simulation.transmit(host_, to, [&simulation, host = host_, to, message, number = link->second] {
        simulation.deliver(to, simulation.hosts_.at(to)->incarnation, link_source(host),
                           [&simulation, host, to, message, number] {
                               auto& receiver = *simulation.hosts_.at(to);
                               const auto found = receiver.links.find(host);
                               if (found != receiver.links.end() && found->second == number)
                                   receiver.core->peer_message(host, message, simulation.now_);
                           });
    });
}

fleet_simulation::fleet_simulation(options chosen)
    : options_{std::move(chosen)}, random_{options_.seed}, now_{seconds{1000}}
{
    for (std::size_t domain = 0; domain < options_.hosts.size(); ++domain) {
        const auto name = "domain-" + std::to_string(domain);
        for (unsigned i = 0; i < options_.hosts[domain]; ++i) {
            auto host = std::make_unique<sim_host>();
            host->name = "host-" + std::to_string(domain) + "-" + std::to_string(i);
            host->domain = name;
            if (i < options_.processor_milli.size())
                host->processor_milli = options_.processor_milli[i];
            hosts_.emplace(host->name, std::move(host));
        }
        for (unsigned i = 0; i < options_.workers; ++i) {
            sim_worker worker;
            worker.entry = {"w-" + std::to_string(domain) + "-" + std::to_string(i),
                            "10.0.0.1:1",
                            "desk",
                            name,
                            {},
                            {i % 3 == 2 ? 96000 : 64000, 131072, 0},
                            1,
                            false};
            worker.clock_rate = 0.98 + 0.02 * uniform(random_);
            worker.speed = i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1.0 : 1.6;
            worker.started_at = now_ - seconds{100};
            workers_.emplace(worker.entry.id, std::move(worker));
        }
    }
    for (const auto& [name, host] : hosts_)
        boot(name);
    schedule(now_ + milliseconds{150}, [this] { link_hosts(); });
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::schedule(time_point when, std::function<void()> call)
{
    queue_.push({when, ++events_, std::move(call)});
}

void fleet_simulation::at(duration in, std::function<void()> call)
{
    schedule(now_ + in, std::move(call));
}

void fleet_simulation::run_for(duration time)
{
    const auto end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
        auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.call();
    }
    now_ = end;
}

void fleet_simulation::deliver(const std::string& name, std::uint64_t incarnation,
                               const std::string& source, std::function<void()> call)
{
    auto& host = *hosts_.at(name);
    if (!host.alive || host.incarnation != incarnation)
        return;
    // While a process that has woken reads its input, nothing overtakes on the same source.
    if (host.frozen || host.deferred.contains(source))
        host.deferred[source].push_back(std::move(call));
    else
        call();
}

bool fleet_simulation::deliver_next_deferred(const std::string& name, const std::string& source)
{
    auto& host = *hosts_.at(name);
    const auto found = host.deferred.find(source);
    if (found == host.deferred.end())
        return false;
    const auto call = std::move(found->second.front());
    found->second.pop_front();
    if (found->second.empty())
        host.deferred.erase(found);
    call();
    return true;
}

std::size_t fleet_simulation::deliver_deferred(const std::string& name, const std::string& source)
{
    std::size_t delivered = 0;
    while (deliver_next_deferred(name, source))
        ++delivered;
    return delivered;
}

void fleet_simulation::boot(const std::string& name)
{
    auto& host = *hosts_.at(name);
    if (host.alive)
        return;
    if (host.core)
        host.ended.push_back(std::move(host.core));
    host.incarnation = next_incarnation_++;
    host.alive = true;
    host.frozen = false;
    host.announced = false;
    host.shown_config = 0;
    host.deferred.clear();
    host.links.clear();
    host.metrics = std::make_unique<metrics::registry>();
    host.workers = std::make_unique<sim_worker_port>(*this, name, host.incarnation);
    host.peers = std::make_unique<sim_peer_port>(*this, name);
    host.callers = std::make_unique<sim_caller_port>(*this, name);
    std::vector<std::string> domains;
    for (std::size_t i = 0; i < options_.hosts.size(); ++i)
        domains.push_back("domain-" + std::to_string(i));
    host.core = std::make_unique<fleet_host>(host_identity{name, host.domain, "10.0.0.2:" + name,
                                                           host.incarnation, host.processor_milli},
                                             domains, *host.workers, *host.peers, *host.callers,
                                             *host.metrics, decode_config, now_);
    for (const auto& [other, one] : hosts_)
        host.core->host_listed({other, one->domain, "10.0.0.2:" + other}, now_);
    tick(name, host.incarnation);
    const auto incarnation = host.incarnation;
    schedule(now_ + milliseconds{10}, [this, name, incarnation] {
        deliver(name, incarnation, store_source,
                [this, name] { deliver_store_records(*hosts_.at(name)); });
    });
}

void fleet_simulation::tick(const std::string& name, std::uint64_t incarnation)
{
    auto& host = *hosts_.at(name);
    if (!host.alive || host.incarnation != incarnation)
        return;
    if (!host.frozen) {
        host.core->tick(now_);
        const auto& config = host.core->config();
        if (config && config->version < host.shown_config)
            violation(name + " went back from configuration " + std::to_string(host.shown_config) +
                      " to " + std::to_string(config->version));
        if (config)
            host.shown_config = config->version;
    }
    schedule(now_ + tick_interval, [this, name, incarnation] { tick(name, incarnation); });
}

void fleet_simulation::deliver_store_records(sim_host& host)
{
    const bool up = store_up_ && !hosts_without_store_.contains(host.name);
    host.core->store_answered(up, now_);
    if (up) {
        std::set<std::string> drained;
        for (const auto& [domain, since] : drained_since_)
            drained.insert(domain);
        host.core->drains_known(operator_offset_, drained, "store", now_);
        if (!host.core->config() || host.core->config()->version < version_)
            host.core->config_read(config_text(version_), now_);
        for (const auto& [id, worker] : workers_) {
            if (unlisted_workers_.contains(id)) {
                host.core->worker_unlisted(id, now_);
                continue;
            }
            auto entry = worker.entry;
            entry.incarnation = worker.incarnation;
            host.core->worker_listed(entry);
        }
        host.core->workers_complete();
        if (!std::exchange(host.announced, true))
            host.core->fence_base_granted(next_number_++);
    }
    schedule(now_ + store_interval, [this, name = host.name, incarnation = host.incarnation] {
        deliver(name, incarnation, store_source,
                [this, name] { deliver_store_records(*hosts_.at(name)); });
    });
}

void fleet_simulation::link_hosts()
{
    for (const auto& [a, first] : hosts_) {
        for (const auto& [b, second] : hosts_) {
            if (a < b)
                link_pair(a, b);
        }
    }
    schedule(now_ + milliseconds{150}, [this] { link_hosts(); });
}

void fleet_simulation::link_pair(const std::string& a, const std::string& b)
{
    auto& first = *hosts_.at(a);
    auto& second = *hosts_.at(b);
    const auto to_second = first.links.find(b);
    const auto to_first = second.links.find(a);
    const bool linked = to_second != first.links.end() && to_first != second.links.end() &&
                        to_second->second == to_first->second;
    if (linked || !first.alive || !second.alive || first.frozen || second.frozen ||
        path_cut(a, b) || path_cut(b, a))
        return;
    // A new link replaces one that only this end still has. What has arrived on that one is read
    // before.
    const auto number = ++next_link_;
    const auto end_old_link = [this](sim_host& host, const std::string& peer) {
        deliver_deferred(host.name, link_source(peer));
        if (host.links.erase(peer) > 0)
            host.core->peer_unlinked(peer, now_);
    };
    end_old_link(first, b);
    end_old_link(second, a);
    first.links[b] = number;
    second.links[a] = number;
    first.core->peer_linked(b, second.domain, second.incarnation, now_);
    second.core->peer_linked(a, first.domain, first.incarnation, now_);
}

void fleet_simulation::transmit(const std::string& from, const std::string& to,
                                std::function<void()> arrival)
{
    schedule(now_ + network_delay, [this, from, to, arrival = std::move(arrival)] {
        const held_traffic::path path{from, to};
        if (!path_cut(from, to) && !held_.holds(path)) {
            arrival();
            return;
        }
        held_.hold(path, now_, arrival);
        schedule(now_ + held_traffic::unacknowledged_limit, [this, path] { give_up(path); });
    });
}

void fleet_simulation::give_up(const held_traffic::path& path)
{
    if (!held_.give_up(path, now_))
        return;
    const auto& [from, to] = path;
    // The sender's connection breaks. The receiver learns of it when the path is back.
    unlink(from, to);
}

void fleet_simulation::release_held(const std::string& from, const std::string& to)
{
    if (path_cut(from, to))
        return;
    for (const auto& arrival : held_.release({from, to}))
        arrival();
}

void fleet_simulation::unlink(const std::string& a, const std::string& b)
{
    auto& host = *hosts_.at(a);
    const auto link = host.links.find(b);
    if (link == host.links.end())
        return;
    const auto number = link->second;
    end_link(a, b, number);
    transmit(a, b, [this, a, b, number] { end_link(b, a, number); });
}

void fleet_simulation::end_link(const std::string& name, const std::string& peer,
                                std::uint64_t number)
{
    deliver(name, hosts_.at(name)->incarnation, link_source(peer), [this, name, peer, number] {
        auto& host = *hosts_.at(name);
        const auto link = host.links.find(peer);
        if (link == host.links.end() || link->second != number)
            return;
        host.links.erase(link);
        host.core->peer_unlinked(peer, now_);
    });
}

void fleet_simulation::kill(const std::string& name)
{
    auto& host = *hosts_.at(name);
    if (!host.alive)
        return;
    // The kernel still delivers what the process has sent, and ends its connections after that.
    for (const auto& [peer, number] : std::exchange(host.links, {}))
        transmit(name, peer,
                 [this, name, peer = peer, number = number] { end_link(peer, name, number); });
    host.alive = false;
    // The callers' connections break.
    const auto open = std::exchange(host.callers->jobs, {});
    for (const auto& [request, job] : open)
        answered(job, "cut");
}

void fleet_simulation::freeze(const std::string& name, bool frozen)
{
    auto& host = *hosts_.at(name);
    host.frozen = frozen;
    if (frozen || !host.alive)
        return;
    // Other hosts have dialled meanwhile, and the tick is overdue.
    host.deferred[dial_source].push_back([this, name] {
        for (const auto& [other, one] : hosts_) {
            if (other != name)
                link_pair(std::min(name, other), std::max(name, other));
        }
    });
    host.deferred[tick_source].push_back([this, name] {
        // As in the daemon, a late tick is preceded by what has arrived on the links.
        for (const auto& [other, one] : hosts_)
            deliver_deferred(name, link_source(other));
        hosts_.at(name)->core->tick(now_);
    });
    while (!host.deferred.empty()) {
        auto source = host.deferred.begin();
        std::advance(source, std::uniform_int_distribution<std::size_t>{0, host.deferred.size() -
                                                                               1}(random_));
        deliver_next_deferred(name, std::string{source->first});
    }
}

void fleet_simulation::cut(const std::string& a, const std::string& b, bool cut_off)
{
    if (cut_off) {
        cut_hosts_.insert(std::minmax(a, b));
        return;
    }
    cut_hosts_.erase(std::minmax(a, b));
    release_held(a, b);
    release_held(b, a);
}

void fleet_simulation::cut_direction(const std::string& from, const std::string& to, bool cut_off)
{
    if (cut_off) {
        cut_directions_.emplace(from, to);
        return;
    }
    cut_directions_.erase({from, to});
    release_held(from, to);
}

bool fleet_simulation::path_cut(const std::string& from, const std::string& to) const
{
    return cut_hosts_.contains(std::minmax(from, to)) || cut_directions_.contains({from, to});
}

void fleet_simulation::cut_workers(const std::string& host, bool cut_off)
{
    if (cut_off)
        cut_from_workers_.insert(host);
    else
        cut_from_workers_.erase(host);
}

void fleet_simulation::cut_domain_workers(const std::string& host, const std::string& domain,
                                          bool cut_off)
{
    if (cut_off)
        cut_from_domains_.emplace(host, domain);
    else
        cut_from_domains_.erase({host, domain});
}

void fleet_simulation::crash_worker(const std::string& id)
{
    workers_.at(id).crash(now_);
}

void fleet_simulation::publish(std::uint64_t version)
{
    version_ = version;
    ++operator_offset_;
}

void fleet_simulation::drain(const std::string& domain, bool drained)
{
    ++operator_offset_;
    if (drained)
        drained_since_.try_emplace(domain, now_);
    else
        drained_since_.erase(domain);
}

std::uint64_t fleet_simulation::starts_in(const std::string& domain) const
{
    const auto found = domain_starts_.find(domain);
    return found == domain_starts_.end() ? 0 : found->second;
}

void fleet_simulation::stop(const std::string& name, duration time)
{
    auto& host = *hosts_.at(name);
    if (host.alive && !host.frozen)
        host.core->leave(now_ + time, now_);
}

void fleet_simulation::finish_stop(const std::string& name)
{
    hosts_.at(name)->core->finish_leaving(now_);
    // The last messages arrive before the links are lost.
    at(2 * network_delay, [this, name] { kill(name); });
}

void fleet_simulation::store_up(const std::string& host, bool up)
{
    if (up)
        hosts_without_store_.erase(host);
    else
        hosts_without_store_.insert(host);
}

void fleet_simulation::list_worker(const std::string& worker, bool listed)
{
    if (listed)
        unlisted_workers_.erase(worker);
    else
        unlisted_workers_.insert(worker);
}

std::vector<wire::shard_claim> fleet_simulation::claims(const std::string& host) const
{
    const auto& one = *hosts_.at(host);
    return one.alive ? one.core->report(now_).claims : std::vector<wire::shard_claim>{};
}

std::uint64_t fleet_simulation::messages_of(const std::string& host) const
{
    return hosts_.at(host)->sent;
}

fleet_host* fleet_simulation::host(const std::string& name)
{
    return hosts_.at(name)->core.get();
}

metrics::registry& fleet_simulation::metrics(const std::string& host)
{
    return *hosts_.at(host)->metrics;
}

std::vector<std::string> fleet_simulation::host_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_)
        names.push_back(name);
    return names;
}

std::vector<std::string> fleet_simulation::worker_names() const
{
    std::vector<std::string> names;
    for (const auto& [id, worker] : workers_)
        names.push_back(id);
    return names;
}

bool fleet_simulation::reachable(const std::string& host, const sim_worker& worker) const
{
    return !worker.fault.cut && !cut_from_workers_.contains(host) &&
           !cut_from_domains_.contains({host, worker.entry.domain});
}

void fleet_simulation::violation(std::string text)
{
    violations_.push_back(std::to_string(to_ms(now_.time_since_epoch())) +
                          " ms: " + std::move(text));
}

void fleet_simulation::settle_worker(sim_worker& worker)
{
    if (worker.end_due_runs(now_))
        answer_polls(worker.entry.id);
}

void fleet_simulation::answer_polls(const std::string& id)
{
    auto& worker = workers_.at(id);
    auto waiting = std::exchange(pending_polls_[id], {});
    for (auto& one : waiting) {
        if (!reachable(one.host, worker)) {
            schedule(one.until + order_timeout, [reply = one.reply] { reply({}); });
            continue;
        }
        // The lease was renewed when the poll arrived.
        one.order.expires_at_ms.reset();
        auto got = poll_status(worker, one.order);
        if (now_ < one.until && got.ended.empty()) {
            pending_polls_[id].push_back(std::move(one));
            continue;
        }
        schedule(now_ + network_delay, [reply = one.reply, got] { reply(got); });
    }
}

void fleet_simulation::check_capacity(const sim_worker& worker)
{
    if (!worker.over_capacity())
        return;
    std::string held;
    for (const auto& [task, run] : worker.running)
        held.append(" ").append(task).append("/").append(std::to_string(run.run));
    violation("capacity of " + worker.entry.id + " exceeded:" + held);
}

void fleet_simulation::check_single_run(const std::string& task, const std::string& here)
{
    for (auto& [id, worker] : workers_) {
        if (id == here)
            continue;
        settle_worker(worker);
        if (worker.running.contains(task)) {
            std::string text = "two runs of ";
            text.append(task).append(" on ").append(here).append(" and ").append(id);
            violation(text + ", run " + std::to_string(worker.running.at(task).run));
        }
    }
}

void fleet_simulation::start_on(sim_worker& worker, const start_order& order, order_reply& reply)
{
    settle_worker(worker);
    const auto job = order.task.substr(0, order.task.find('.'));
    const auto& step = specifications_.at(job).first[job_run::position_of(order.task).step];
    // Actual run times are 0.7 to 1.4 times the estimate for the speed of the worker.
    const double factor = (0.7 + 0.7 * uniform(random_)) / worker.speed;
    sim_worker::task_plan plan;
    plan.demand = demand_of(step);
    plan.fails = worker.fault.fails_tasks;
    plan.run_time = worker.fault.hangs_tasks
                        ? seconds{1000}
                        : from_seconds(plan.fails ? 0.005 : factor * step.estimate_ms / 1000.0);
    bool began = false;
    reply = worker.start(order, plan, now_, began);
    if (!began)
        return;
    check_single_run(order.task, worker.entry.id);
    jobs_.at(job).started = true;
    const auto& cancelled = jobs_.at(job).cancelled;
    if (cancelled && now_ - *cancelled > cancellation_limit)
        violation("start of " + order.task + " after its job was cancelled");
    ++starts_;
    ++domain_starts_[worker.entry.domain];
    const auto drained = drained_since_.find(worker.entry.domain);
    if (drained != drained_since_.end() && now_ - drained->second > drain_limit)
        violation("start of " + order.task + " in the drained domain " + worker.entry.domain);
    check_capacity(worker);
    schedule(now_ + plan.run_time,
             [this, id = worker.entry.id] { settle_worker(workers_.at(id)); });
}

void fleet_simulation::stop_on(sim_worker& worker, const stop_order& order, order_reply& reply)
{
    settle_worker(worker);
    reply = worker.stop(order, now_);
    if (reply.outcome != order_outcome::accepted)
        return;
    schedule(now_ + uniform_duration(random_, milliseconds{50}),
             [this, id = worker.entry.id, task = order.task, run = order.run,
              incarnation = worker.incarnation] {
                 auto& there = workers_.at(id);
                 if (there.incarnation == incarnation && there.end_stopped(task, run))
                     answer_polls(id);
             });
}

status_reply fleet_simulation::poll_status(sim_worker& worker, const status_request& order)
{
    settle_worker(worker);
    auto reply = worker.poll_status(order, now_);
    // Tasks must end with their lease even if no further poll arrives.
    if (reply.outcome == order_outcome::accepted)
        schedule(worker.lease_end(now_),
                 [this, id = worker.entry.id] { settle_worker(workers_.at(id)); });
    return reply;
}

void fleet_simulation::submit(const std::string& job, const std::string& host,
                              std::vector<wire::job_step> steps, duration time_limit,
                              std::uint32_t priority)
{
    if (priority > 0)
        priorities_[job] = priority;
    auto& one = jobs_[job];
    one.id = job;
    one.first = now_;
    specifications_[job] = {std::move(steps), time_limit};
    chosen_hosts_[job] = {host};
    attempt(job);
}

void fleet_simulation::resend_to(const std::string& job, const std::string& host)
{
    chosen_hosts_.at(job).push_back(host);
}

void fleet_simulation::cancel(const std::string& job, const std::string& host)
{
    deliver(host, hosts_.at(host)->incarnation, caller_source, [this, job, host] {
        hosts_.at(host)->core->cancel(job, now_);
        const auto found = jobs_.find(job);
        if (found != jobs_.end())
            found->second.cancelled = now_;
    });
}

void fleet_simulation::attempt(const std::string& job)
{
    auto& one = jobs_.at(job);
    const auto attempt_number = ++one.attempts;
    const auto& chosen = chosen_hosts_.at(job);
    auto name = chosen[std::min<std::size_t>(attempt_number, chosen.size()) - 1];
    if (attempt_number > chosen.size() || !hosts_.at(name)->alive) {
        // The load balancer sends further attempts to any live host.
        std::vector<std::string> live;
        for (const auto& [host, state] : hosts_) {
            if (state->alive && !state->frozen)
                live.push_back(host);
        }
        if (live.empty()) {
            schedule(now_ + resend_after, [this, job] { attempt(job); });
            return;
        }
        name = live[std::uniform_int_distribution<std::size_t>{0, live.size() - 1}(random_)];
    }
    const auto& [steps, time_limit] = specifications_.at(job);
    deliver(name, hosts_.at(name)->incarnation, caller_source, [this, name, job, attempt_number] {
        auto& host = *hosts_.at(name);
        // A host that thaws sees that the caller has closed its connection.
        const auto& waiting = jobs_.at(job);
        if (waiting.attempts != attempt_number || waiting.answers.size() >= attempt_number)
            return;
        job_request request;
        request.job = job;
        request.steps = specifications_.at(job).first;
        const auto number = host.next_request++;
        host.callers->jobs[number] = job;
        const auto priority = priorities_.find(job);
        const auto path = priority == priorities_.end()
                              ? std::string{"/checks/"}
                              : "/checks-" + std::to_string(priority->second) + "/";
        const auto queue = host.core->find_queue("h", path + job, now_);
        if (!queue ||
            host.core->submit(number, **queue, request, specifications_.at(job).second, now_)) {
            host.callers->jobs.erase(number);
            answered(job, "not_run");
        }
    });
    // The caller gives up on this attempt and tries again.
    schedule(now_ + time_limit + network_delay, [this, job, attempt_number, name] {
        const auto& waiting = jobs_.at(job);
        if (waiting.attempts == attempt_number && waiting.answers.size() < attempt_number)
            disconnect(job, name, "gave_up");
    });
}

void fleet_simulation::disconnect(const std::string& job, const std::string& name,
                                  std::string_view answer)
{
    auto& host = *hosts_.at(name);
    auto& open = host.callers->jobs;
    const auto found =
        std::find_if(open.begin(), open.end(), [&](const auto& one) { return one.second == job; });
    if (found != open.end()) {
        const auto number = found->first;
        open.erase(found);
        deliver(name, host.incarnation, departure_source, [this, name, number] {
            hosts_.at(name)->core->router().caller_left(number, now_);
        });
    }
    answered(job, answer);
}

void fleet_simulation::reset_connection(const std::string& job, const std::string& host)
{
    disconnect(job, host, "cut");
}

void fleet_simulation::answered(const std::string& job, std::string_view answer)
{
    auto& one = jobs_.at(job);
    if (one.answers.size() >= one.attempts)
        return;
    one.answers.emplace_back(answer);
    if (answer == "completed" || answer == "failed" || answer == "cancelled" ||
        answer == "not_run") {
        one.answered = now_;
        const bool all_refused = std::all_of(one.answers.begin(), one.answers.end(),
                                             [](const auto& text) { return text == "not_run"; });
        // A job that has not started when the refusal arrives must not start later either; the
        // simulation run checks that again at its end.
        if (all_refused && one.started)
            violation("job " + job + " was refused as not run and has run");
        return;
    }
    if (one.attempts < 4)
        schedule(now_ + resend_after, [this, job] { attempt(job); });
}

} // namespace chivewharf::fleet
