#include <policy/cluster_sim.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <dispatch/overloaded.h>

namespace chivewharf::policy {

namespace {

constexpr auto service = "plugdesk";
constexpr duration caller_latency = milliseconds{3};
constexpr duration runner_latency = std::chrono::microseconds{200};
constexpr duration peer_latency = std::chrono::microseconds{200};
constexpr duration link_loss = milliseconds{1500}; ///< until a silent link is noticed
constexpr duration least_tick = std::chrono::microseconds{500};

constexpr std::array<double, 10> kind_seconds{0.05, 0.08, 0.12, 0.17, 0.24,
                                              0.33, 0.45, 0.6,  0.8,  1.0};
constexpr double slow_part = 0.005; ///< submissions of one task of 3 to 6 s
constexpr double single_part = 0.6;
constexpr double large_part = 0.003; ///< jobs of 210 tasks
constexpr unsigned large_job = 210;
constexpr unsigned usual_job = 30;
constexpr double stray_part = 0.01; ///< submissions that arrive at another host than issued the id

double mean_work()
{
    double mean = 0;
    for (const auto seconds : kind_seconds)
        mean += seconds / kind_seconds.size();
    const double tasks = single_part + large_part * large_job +
                         (1 - single_part - large_part - slow_part) * (1 + usual_job) / 2.0;
    return tasks * mean + slow_part * 4.5;
}

std::string reason_in(const std::string& body)
{
    static constexpr std::string_view key = "\"reason\":\"";
    const auto at = body.find(key);
    if (at == std::string::npos)
        return "none";
    const auto from = at + key.size();
    return body.substr(from, body.find('"', from) - from);
}

} // namespace

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

double figures::waste() const
{
    std::uint64_t wasted = 0;
    for (std::size_t i = 1; i + 1 < traffic_kinds; ++i)
        wasted += messages[i];
    return static_cast<double>(wasted) /
           static_cast<double>(std::max<std::uint64_t>(1, messages[0]));
}

cluster_sim::cluster_sim(cluster_options options)
    : options_{std::move(options)}, random_{options_.seed}
{
    build_settings();
    for (unsigned i = 0; i < hosts_.size(); ++i)
        start_host(i);
    poll_platform();
    if (options_.load <= 0)
        return;
    double weights = 0;
    for (unsigned c = 0; c < options_.customers; ++c)
        weights += weight(c);
    for (unsigned c = 0; c < options_.customers; ++c)
        add_stream(c, options_.load * capacity() * weight(c) / weights, start, end());
}

cluster_sim::~cluster_sim() = default;

double cluster_sim::weight(unsigned customer) const
{
    return options_.equal_weights ? 1 : 1 + customer % 4;
}

double cluster_sim::capacity() const
{
    double sum = 0;
    for (const auto& worker : workers_)
        sum += worker.speed * options_.slots;
    return sum;
}

void cluster_sim::build_settings()
{
    settings_ = std::make_shared<settings::cluster_settings>();
    auto& s = *settings_;
    s.site = "policy";
    s.services.push_back({.name = service});
    for (unsigned c = 0; c < options_.customers; ++c) {
        settings::customer_settings customer;
        customer.name = "customer-" + std::to_string(c);
        customer.weight = weight(c);
        customer.rate = 1e6;
        customer.burst = 1e6;
        s.customers.push_back(std::move(customer));
    }
    const auto domains = static_cast<unsigned>(options_.hosts.size());
    for (unsigned d = 0; d < domains; ++d) {
        const auto domain = "domain-" + std::to_string(d);
        s.domains.push_back({domain, "region"});
        s.key_domains.push_back(domain);
        double domain_weight = 0;
        for (unsigned h = 0; h < options_.hosts[d]; ++h) {
            const auto number = static_cast<unsigned>(hosts_.size());
            const auto name = "entry-" + std::to_string(number);
            const double size = 1 + number % 2; // hosts differ in size
            s.entry_hosts.push_back(
                {name, domain, {"10.1.0.1", static_cast<std::uint16_t>(1000 + number)}, size});
            host_numbers_[name] = number;
            auto& host = hosts_.emplace_back();
            host.name = name;
            host.domain = domain;
            host.weight = size;
            domain_weight += size;
        }
        // The platform's balancer sends each domain the part that its workers can serve.
        const auto workers = (options_.workers + domains - 1 - d) / domains;
        for (auto& host : hosts_) {
            if (host.domain == domain)
                host.weight *= workers / domain_weight;
        }
    }
    for (unsigned w = 0; w < options_.workers; ++w) {
        runner worker;
        worker.name = "worker-" + std::to_string(w);
        worker.domain = s.domains[w % domains].name;
        worker.speed = std::pow(options_.speed_spread, uniform(random_) - 0.5);
        s.upstreams.push_back({worker.name,
                               {"10.2.0.1", static_cast<std::uint16_t>(1000 + w)},
                               worker.domain,
                               service,
                               options_.slots,
                               60});
        worker_numbers_[worker.name] = w;
        total_sends_[w] = 0;
        workers_.push_back(std::move(worker));
    }
}

void cluster_sim::start_host(unsigned host)
{
    auto& one = hosts_[host];
    one.incarnation = random_();
    one.metrics = std::make_unique<metrics::registry>();
    one.core = std::make_unique<dispatch::entry_host>(
        dispatch::identity{one.domain, one.name, one.incarnation},
        "10.1.0.1:" + std::to_string(1000 + host), settings_, *one.metrics, random_(), now_,
        options_.policy);
    one.core->use_initial_settings(clock());
    one.ready = true;
    one.tick_at = {};
    for (unsigned other = 0; other < hosts_.size(); ++other) {
        if (other == host || !hosts_[other].core || cut(host, other))
            continue;
        one.core->peer_up(hosts_[other].name, clock());
        hosts_[other].core->peer_up(one.name, clock());
        after(other);
    }
    after(host);
}

void cluster_sim::lose_link(unsigned a, unsigned b)
{
    schedule(now_ + link_loss, [this, a, b] {
        if (hosts_[a].core && (!hosts_[b].core || cut(a, b))) {
            hosts_[a].core->peer_down(hosts_[b].name, clock());
            after(a);
        }
    });
}

void cluster_sim::kill_host(unsigned host)
{
    auto& one = hosts_[host];
    one.core.reset();
    one.ready = false;
    for (unsigned other = 0; other < hosts_.size(); ++other) {
        if (other != host)
            lose_link(other, host);
    }
    for (auto& [number, record] : submissions_) {
        if (record.host != host || record.done)
            continue;
        record.done = true;
        if (record.sent >= measure_from())
            ++out_.outcomes["connection_lost"];
    }
}

void cluster_sim::drain_host(unsigned host)
{
    hosts_[host].ready = false;
    schedule(now_ + seconds{2}, [this, host] {
        hosts_[host].core->begin_drain(clock());
        after(host);
    });
}

void cluster_sim::cut_domain(std::optional<std::string> domain)
{
    cut_domain_ = std::move(domain);
    for (unsigned a = 0; a < hosts_.size(); ++a) {
        for (unsigned b = 0; b < hosts_.size(); ++b) {
            if (a == b || hosts_[a].domain == hosts_[b].domain)
                continue;
            if (cut(a, b))
                lose_link(a, b);
            else if (hosts_[a].core)
                hosts_[a].core->peer_up(hosts_[b].name, clock());
        }
    }
}

bool cluster_sim::cut(unsigned a, unsigned b) const
{
    return cut_domain_ && (hosts_[a].domain == *cut_domain_) != (hosts_[b].domain == *cut_domain_);
}

void cluster_sim::set_mode(unsigned worker, runner_mode mode)
{
    auto& one = workers_[worker];
    one.mode = mode;
    if (mode != runner_mode::dead)
        return;
    const auto running = std::exchange(one.running, {});
    one.started.clear();
    one.customer.clear();
    for (const auto& [token, call] : running) {
        if (hosts_[call.first].core)
            end_call(call.first, hosts_[call.first].incarnation, call.second,
                     {dispatch::call_end::lost, {}, "connection lost", false}, runner_latency);
    }
}

void cluster_sim::cancel_half()
{
    for (const auto& [number, record] : submissions_) {
        if (record.done || record.customer % 2 == 0 || !hosts_[record.host].core)
            continue;
        hosts_[record.host].core->request({next_submission_++ + (1ULL << 40U),
                                           wire::operation::cancel,
                                           "customer-" + std::to_string(record.customer),
                                           record.id,
                                           {},
                                           std::nullopt},
                                          clock());
        after(record.host);
    }
}

void cluster_sim::schedule(time_point time, std::function<void()> call)
{
    events_.push({std::max(time, now_), next_sequence_++, std::move(call)});
}

void cluster_sim::count(traffic kind, std::uint64_t n)
{
    if (now_ >= measure_from())
        out_.messages[static_cast<std::size_t>(kind)] += n;
}

void cluster_sim::after(unsigned host)
{
    if (!hosts_[host].core)
        return;
    for (auto& one : hosts_[host].core->take_actions())
        perform(host, std::move(one));
    plan_tick(host);
}

void cluster_sim::plan_tick(unsigned host)
{
    auto& one = hosts_[host];
    const auto next = std::max(one.core->next_tick(now_), now_ + least_tick);
    if (one.tick_at > now_ && one.tick_at <= next)
        return;
    one.tick_at = next;
    schedule(next, [this, host, next] {
        auto& due = hosts_[host];
        if (!due.core || due.tick_at != next)
            return;
        due.tick_at = {};
        due.core->tick(clock());
        after(host);
    });
}

void cluster_sim::perform(unsigned host, dispatch::action one)
{
    const dispatch::overloaded handle{
        [&](dispatch::answer_caller& answer) {
            if (answer.waiter >= (1ULL << 40U))
                return;
            schedule(now_ + caller_latency,
                     [this, number = answer.waiter, reply = std::move(answer.answer)] {
                         answered(number, reply);
                     });
        },
        [&](dispatch::send_task& task) { send_to_runner(host, std::move(task)); },
        [&](dispatch::abort_call& /*call*/) {}, // the service is not idempotent
        [&](dispatch::send_peer& message) { deliver(host, std::move(message)); },
        [&](dispatch::append_record& /*record*/) {}, // there is no log
    };
    std::visit(handle, one);
}

void cluster_sim::send_to_runner(unsigned host, dispatch::send_task task)
{
    const auto incarnation = hosts_[host].incarnation;
    if (!hosts_[host].core->confirm_start(task.call, now_)) {
        end_call(host, incarnation, task.call, {dispatch::call_end::withheld, {}, {}, false}, {});
        return;
    }
    schedule(now_ + runner_latency, [this, host, incarnation, sent = std::move(task)] {
        reach_runner(host, incarnation, sent);
    });
}

void cluster_sim::reach_runner(unsigned host, std::uint64_t incarnation,
                               const dispatch::send_task& task)
{
    const auto number = worker_numbers_.at(task.worker);
    auto& worker = workers_[number];
    const bool leaving = worker.mode == runner_mode::leaving;
    ++total_sends_[number];
    if (now_ >= measure_from())
        ++out_.sends[number];
    if (worker.mode == runner_mode::dead) {
        count(traffic::refused_send);
        end_call(host, incarnation, task.call, {dispatch::call_end::not_sent, {}, "refused", false},
                 runner_latency);
        return;
    }
    if (worker.mode == runner_mode::silent) {
        count(traffic::necessary);
        end_call(host, incarnation, task.call, {dispatch::call_end::silent, {}, "silent", false},
                 task.remaining);
        return;
    }
    if (worker.running.size() >= options_.slots) {
        count(traffic::refused_send, 2);
        end_call(host, incarnation, task.call,
                 {dispatch::call_end::refused, {}, "no free slot", leaving}, runner_latency);
        return;
    }
    if (now_ >= measure_from())
        ++out_.starts;
    count(traffic::necessary, 2);
    std::uint64_t of = 0;
    double work = 0;
    (void)std::sscanf(task.payload.c_str(), "[%lu,%lf]", &of, &work);
    const auto token = next_token_++;
    worker.running[token] = {host, task.call};
    worker.started[token] = now_;
    worker.customer[token] = submissions_.at(of).customer;
    const bool fails = worker.mode == runner_mode::fails;
    const auto length = fails ? milliseconds{5} : from_seconds(work / worker.speed);
    schedule(now_ + length, [this, number, token, host, incarnation, call = task.call, fails] {
        auto& at = workers_[number];
        if (!at.running.contains(token))
            return;
        stop_running(at, token);
        end_call(host, incarnation, call,
                 {fails ? dispatch::call_end::failed : dispatch::call_end::answered,
                  "1",
                  {},
                  at.mode == runner_mode::leaving},
                 runner_latency);
    });
}

void cluster_sim::stop_running(runner& worker, std::uint64_t token)
{
    const auto from = std::max(worker.started.at(token), measure_from());
    if (now_ > from)
        out_.busy += to_seconds(now_ - from) * worker.speed;
    if (now_ > from)
        out_.usage[worker.customer.at(token)] += to_seconds(now_ - from);
    worker.running.erase(token);
    worker.started.erase(token);
    worker.customer.erase(token);
}

void cluster_sim::end_call(unsigned host, std::uint64_t incarnation, dispatch::call_id call,
                           dispatch::call_report report, duration after_time)
{
    schedule(now_ + after_time, [this, host, incarnation, call, ended = std::move(report)] {
        if (now_ >= measure_from())
            ++out_.task_ends[std::string{to_name(ended.end)}];
        auto& one = hosts_[host];
        if (!one.core || one.incarnation != incarnation)
            return;
        one.core->task_ended(call, ended, clock());
        after(host);
    });
}

traffic cluster_sim::kind_of(const wire::message& message)
{
    const auto name = wire::name_of(message);
    if (name.starts_with("forward") || name.starts_with("spill"))
        return traffic::forward;
    if (name.starts_with("slot"))
        return traffic::grant;
    if (name == "heartbeat")
        return traffic::heartbeat;
    if (name.starts_with("usage"))
        return traffic::usage;
    if (name.starts_with("config"))
        return traffic::configuration;
    return traffic::membership;
}

void cluster_sim::deliver(unsigned from, dispatch::send_peer message)
{
    const auto to = host_numbers_.at(message.host);
    count(kind_of(message.message));
    if (cut(from, to) || uniform(random_) < options_.peer_loss)
        return;
    const bool near = hosts_[from].domain == hosts_[to].domain;
    const auto latency = near ? peer_latency : from_seconds(options_.domain_latency_ms / 1000);
    const dispatch::peer_identity sender{hosts_[from].domain, hosts_[from].name,
                                         hosts_[from].incarnation};
    schedule(now_ + latency, [this, to, sender, text = std::move(message.message)] {
        if (!hosts_[to].core)
            return;
        hosts_[to].core->peer_message(sender, text, clock());
        after(to);
    });
}

void cluster_sim::poll_platform()
{
    upstream::platform_list list{now_ - milliseconds{500}, {}};
    for (const auto& worker : workers_)
        list.workers.push_back({worker.name, worker.mode == runner_mode::leaving});
    for (unsigned i = 0; i < hosts_.size(); ++i) {
        if (!hosts_[i].core)
            continue;
        hosts_[i].core->platform_hosts(list, {}, clock());
        after(i);
    }
    schedule(now_ + seconds{1}, [this] { poll_platform(); });
}

void cluster_sim::add_stream(unsigned customer, double work, time_point from, time_point to,
                             std::optional<unsigned> host)
{
    // Each stream has its own generator, so that every policy gets the same submissions.
    streams_.push_back({customer, work, to, host, rng{options_.seed * 1000 + streams_.size()}});
    schedule(from, [this, number = streams_.size() - 1] { next_arrival(number); });
}

void cluster_sim::next_arrival(std::size_t number)
{
    auto& of = streams_[number];
    std::exponential_distribution<double> gap{of.work / mean_work()};
    schedule(now_ + from_seconds(gap(of.random)), [this, number] {
        auto& from = streams_[number];
        if (now_ >= from.to)
            return;
        make_submission(from);
        next_arrival(number);
    });
}

double cluster_sim::fastest(bool only_free) const
{
    double best = 0;
    for (const auto& worker : workers_) {
        if (worker.mode == runner_mode::ok &&
            (!only_free || worker.running.size() < options_.slots))
            best = std::max(best, worker.speed);
    }
    return best;
}

void cluster_sim::make_submission(stream& from)
{
    auto& random = from.random;
    const auto number = next_submission_++;
    auto& made = submissions_[number];
    made.customer = from.customer;
    made.sent = now_;
    const double draw = uniform(random);
    const bool slow = draw < slow_part;
    unsigned tasks = 1;
    if (!slow && draw < slow_part + large_part)
        tasks = large_job;
    else if (draw > slow_part + large_part + single_part)
        tasks = 1 + static_cast<unsigned>(random() % usual_job);
    std::string body = R"({"service":"plugdesk","deadline_ms":)" +
                       std::to_string(to_ms(slow ? seconds{15} : options_.deadline)) +
                       R"(,"tasks":[)";
    const auto first = random() % kind_seconds.size();
    for (unsigned i = 0; i < tasks; ++i) {
        const auto kind = (first + (random() % 2)) % kind_seconds.size();
        const double mean = slow ? 3 + 3 * uniform(random) : kind_seconds[kind];
        const double work = mean * (0.8 + 0.4 * uniform(random));
        const double error = std::pow(options_.declared_error, 2 * uniform(random) - 1);
        made.work += work;
        made.longest = std::max(made.longest, work);
        std::array<char, 160> text{};
        (void)std::snprintf(
            text.data(), text.size(), R"(%s{"kind":"%s%u","declared_ms":%u,"payload":[%lu,%.6f]})",
            i > 0 ? "," : "", slow ? "slow" : "kind-", slow ? 0U : static_cast<unsigned>(kind),
            std::max(1U, static_cast<unsigned>(mean * error * 1000)), number, work);
        body += text.data();
    }
    made.body = body + "]}";
    const double trip = to_seconds(2 * (caller_latency + runner_latency));
    made.absolute_ideal = trip + made.longest / fastest(false);
    const double free = fastest(true);
    made.ideal = free > 0 ? trip + made.longest / free : made.absolute_ideal;
    if (now_ >= measure_from())
        out_.offered_work += made.work;
    submit(number, from.host, random);
}

std::optional<unsigned> cluster_sim::balance(rng& random)
{
    double sum = 0;
    for (const auto& host : hosts_)
        sum += host.ready ? host.weight : 0;
    double draw = uniform(random) * sum;
    for (unsigned i = 0; i < hosts_.size(); ++i) {
        if (!hosts_[i].ready)
            continue;
        draw -= hosts_[i].weight;
        if (draw < 0)
            return i;
    }
    return std::nullopt;
}

void cluster_sim::submit(std::uint64_t number, std::optional<unsigned> host, rng& random)
{
    auto& record = submissions_.at(number);
    const auto target = host ? host : balance(random);
    if (!target || !hosts_[*target].core) {
        record.done = true;
        ++out_.outcomes["no_entry_host"];
        return;
    }
    // The connection's host issued the id with its last answer.
    auto issuer = *target;
    if (const auto other = balance(random); other && uniform(random) < stray_part)
        issuer = *other;
    record.id = hosts_[issuer].core->issue_ids(1, clock()).front();
    record.host = *target;
    ++record.tries;
    count(traffic::necessary, 2);
    schedule(now_ + caller_latency, [this, number, to = *target] {
        const auto& sent = submissions_.at(number);
        if (!hosts_[to].core || sent.done)
            return;
        hosts_[to].core->request({number, wire::operation::submit,
                                  "customer-" + std::to_string(sent.customer), sent.id, sent.body,
                                  std::nullopt},
                                 clock());
        after(to);
    });
}

void cluster_sim::answered(std::uint64_t number, const dispatch::caller_answer& answer)
{
    auto& record = submissions_.at(number);
    if (record.done)
        return;
    const auto why = answer.status == 200 ? "complete" : reason_in(answer.body);
    if (answer.retry_after > duration{0} && record.tries <= options_.caller_retries &&
        why != "answer_lost") {
        if (now_ >= measure_from())
            ++out_.resubmissions;
        schedule(now_ + answer.retry_after,
                 [this, number] { submit(number, std::nullopt, random_); });
        return;
    }
    record.done = true;
    record.body.clear();
    if (now_ < measure_from())
        return;
    if (why == "complete")
        out_.good_work += record.work;
    if (record.sent < measure_from())
        return;
    ++out_.outcomes[why];
    if (record.customer != 0)
        ++out_.quiet_outcomes[why];
    if (why != "complete")
        return;
    const double taken = to_seconds(now_ - record.sent);
    out_.ratio.push_back(taken / record.ideal);
    out_.absolute_ratio.push_back(taken / record.absolute_ideal);
    if (record.customer != 0)
        out_.quiet_ratio.push_back(taken / record.absolute_ideal);
}

void cluster_sim::trace_seconds()
{
    schedule(now_ + seconds{1}, [this] {
        std::size_t busy = 0;
        std::size_t queued = 0;
        for (const auto& worker : workers_)
            busy += worker.running.size();
        for (auto& host : hosts_)
            queued += host.core ? host.core->in_flight() : 0;
        (void)std::fprintf(stderr, "t=%.0f busy=%zu in_flight=%zu starts=%lu complete=%lu\n",
                           to_seconds(now_ - start), busy, queued, out_.starts,
                           out_.outcomes["complete"]);
        trace_seconds();
    });
}

figures cluster_sim::run()
{
    const auto until = end();
    while (!events_.empty() && events_.top().time < until) {
        // The queue gives no mutable access to its top, which is removed right after.
        auto next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.time;
        next.call();
    }
    now_ = until;
    for (auto& worker : workers_) {
        while (!worker.running.empty())
            stop_running(worker, worker.running.begin()->first);
    }
    out_.capacity = capacity() * to_seconds(options_.measured);
    return out_;
}

} // namespace chivewharf::policy
