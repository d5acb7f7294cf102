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
constexpr duration link_loss_delay = milliseconds{1500}; ///< until the loss of a link is noticed
constexpr duration min_tick_interval = std::chrono::microseconds{500};

constexpr std::array<double, 10> kind_seconds{0.05, 0.08, 0.12, 0.17, 0.24,
                                              0.33, 0.45, 0.6,  0.8,  1.0};
constexpr double slow_share = 0.005;      ///< of submissions: a single task of 3 to 6 s
constexpr double single_task_share = 0.6; ///< of submissions: a single usual task
constexpr double large_job_share = 0.003; ///< of submissions: jobs of `large_job_tasks` tasks
constexpr unsigned large_job_tasks = 210;
constexpr unsigned max_usual_job_tasks = 30;
constexpr double stray_share = 0.01; ///< of submissions: sent to a host that did not issue the id

double mean_work()
{
    double mean = 0;
    for (const auto seconds : kind_seconds)
        mean += seconds / kind_seconds.size();
    const double tasks =
        single_task_share + large_job_share * large_job_tasks +
        (1 - single_task_share - large_job_share - slow_share) * (1 + max_usual_job_tasks) / 2.0;
    return tasks * mean + slow_share * 4.5;
}

std::string parse_reason(const std::string& body)
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
        // The platform's load balancer sends each domain a share proportional to its workers.
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
    auto& state = hosts_[host];
    state.incarnation = random_();
    state.metrics = std::make_unique<metrics::registry>();
    state.core = std::make_unique<dispatch::entry_host>(
        dispatch::identity{state.domain, state.name, state.incarnation},
        "10.1.0.1:" + std::to_string(1000 + host), settings_, *state.metrics, random_(), now_,
        options_.policy);
    state.core->use_initial_settings(clock());
    state.ready = true;
    state.tick_at = {};
    for (unsigned other = 0; other < hosts_.size(); ++other) {
        if (other == host || !hosts_[other].core || is_cut_off(host, other))
            continue;
        state.core->peer_up(hosts_[other].name, clock());
        hosts_[other].core->peer_up(state.name, clock());
        perform_actions(other);
    }
    perform_actions(host);
}

void cluster_sim::lose_link(unsigned a, unsigned b)
{
    schedule(now_ + link_loss_delay, [this, a, b] {
        if (hosts_[a].core && (!hosts_[b].core || is_cut_off(a, b))) {
            hosts_[a].core->peer_down(hosts_[b].name, clock());
            perform_actions(a);
        }
    });
}

void cluster_sim::kill_host(unsigned host)
{
    auto& state = hosts_[host];
    state.core.reset();
    state.ready = false;
    for (unsigned other = 0; other < hosts_.size(); ++other) {
        if (other != host)
            lose_link(other, host);
    }
    for (auto& [number, record] : submissions_) {
        if (record.host != host || record.done)
            continue;
        record.done = true;
        if (record.sent >= measure_from())
            ++figures_.outcomes["connection_lost"];
    }
}

void cluster_sim::drain_host(unsigned host)
{
    hosts_[host].ready = false;
    schedule(now_ + seconds{2}, [this, host] {
        hosts_[host].core->begin_drain(clock());
        perform_actions(host);
    });
}

void cluster_sim::cut_domain(std::optional<std::string> domain)
{
    cut_domain_ = std::move(domain);
    for (unsigned a = 0; a < hosts_.size(); ++a) {
        for (unsigned b = 0; b < hosts_.size(); ++b) {
            if (a == b || hosts_[a].domain == hosts_[b].domain)
                continue;
            if (is_cut_off(a, b))
                lose_link(a, b);
            else if (hosts_[a].core)
                hosts_[a].core->peer_up(hosts_[b].name, clock());
        }
    }
}

bool cluster_sim::is_cut_off(unsigned a, unsigned b) const
{
    return cut_domain_ && (hosts_[a].domain == *cut_domain_) != (hosts_[b].domain == *cut_domain_);
}

void cluster_sim::set_mode(unsigned worker, runner_mode mode)
{
    auto& target = workers_[worker];
    target.mode = mode;
    if (mode != runner_mode::dead)
        return;
    const auto running = std::exchange(target.running, {});
    target.started.clear();
    target.customer.clear();
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
        perform_actions(record.host);
    }
}

void cluster_sim::schedule(time_point time, std::function<void()> call)
{
    events_.push({std::max(time, now_), next_sequence_++, std::move(call)});
}

void cluster_sim::count(traffic kind, std::uint64_t n)
{
    if (now_ >= measure_from())
        figures_.messages[static_cast<std::size_t>(kind)] += n;
}

void cluster_sim::perform_actions(unsigned host)
{
    if (!hosts_[host].core)
        return;
    for (auto& action : hosts_[host].core->take_actions())
        perform(host, std::move(action));
    schedule_tick(host);
}

void cluster_sim::schedule_tick(unsigned host)
{
    auto& state = hosts_[host];
    const auto next = std::max(state.core->next_tick(now_), now_ + min_tick_interval);
    if (state.tick_at > now_ && state.tick_at <= next)
        return;
    state.tick_at = next;
    schedule(next, [this, host, next] {
        auto& due = hosts_[host];
        if (!due.core || due.tick_at != next)
            return;
        due.tick_at = {};
        due.core->tick(clock());
        perform_actions(host);
    });
}

void cluster_sim::perform(unsigned host, dispatch::action action)
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
        [](dispatch::drop_link& /*link*/) {},       // simulated links do not go silent
        [](dispatch::append_record& /*record*/) {}, // no log is simulated
    };
    std::visit(handle, action);
}

void cluster_sim::send_to_runner(unsigned host, dispatch::send_task task)
{
    const auto incarnation = hosts_[host].incarnation;
    if (!hosts_[host].core->confirm_start(task.call, now_)) {
        end_call(host, incarnation, task.call, {dispatch::call_end::withheld, {}, {}, false}, {});
        return;
    }
    schedule(now_ + runner_latency, [this, host, incarnation, sent = std::move(task)] {
        deliver_task(host, incarnation, sent);
    });
}

void cluster_sim::deliver_task(unsigned host, std::uint64_t incarnation,
                               const dispatch::send_task& task)
{
    const auto number = worker_numbers_.at(task.worker);
    auto& worker = workers_[number];
    const bool leaving = worker.mode == runner_mode::leaving;
    ++total_sends_[number];
    if (now_ >= measure_from())
        ++figures_.sends[number];
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
        ++figures_.starts;
    count(traffic::necessary, 2);
    std::uint64_t submission = 0;
    double work = 0;
    (void)std::sscanf(task.payload.c_str(), "[%lu,%lf]", &submission, &work);
    const auto token = next_token_++;
    worker.running[token] = {host, task.call};
    worker.started[token] = now_;
    worker.customer[token] = submissions_.at(submission).customer;
    const bool fails = worker.mode == runner_mode::fails;
    const auto length = fails ? milliseconds{5} : from_seconds(work / worker.speed);
    schedule(now_ + length, [this, number, token, host, incarnation, call = task.call, fails] {
        auto& target = workers_[number];
        if (!target.running.contains(token))
            return;
        stop_running(target, token);
        end_call(host, incarnation, call,
                 {fails ? dispatch::call_end::failed : dispatch::call_end::answered,
                  "1",
                  {},
                  target.mode == runner_mode::leaving},
                 runner_latency);
    });
}

void cluster_sim::stop_running(runner& worker, std::uint64_t token)
{
    const auto from = std::max(worker.started.at(token), measure_from());
    if (now_ > from)
        figures_.busy += to_seconds(now_ - from) * worker.speed;
    if (now_ > from)
        figures_.usage[worker.customer.at(token)] += to_seconds(now_ - from);
    worker.running.erase(token);
    worker.started.erase(token);
    worker.customer.erase(token);
}

void cluster_sim::end_call(unsigned host, std::uint64_t incarnation, dispatch::call_id call,
                           dispatch::call_report report, duration delay)
{
    schedule(now_ + delay, [this, host, incarnation, call, ended = std::move(report)] {
        if (now_ >= measure_from())
            ++figures_.task_ends[std::string{to_name(ended.end)}];
        auto& state = hosts_[host];
        if (!state.core || state.incarnation != incarnation)
            return;
        state.core->task_ended(call, ended, clock());
        perform_actions(host);
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
    if (is_cut_off(from, to) || uniform(random_) < options_.peer_loss)
        return;
    const bool same_domain = hosts_[from].domain == hosts_[to].domain;
    const auto latency =
        same_domain ? peer_latency : from_seconds(options_.domain_latency_ms / 1000);
    const dispatch::peer_identity sender{hosts_[from].domain, hosts_[from].name,
                                         hosts_[from].incarnation};
    schedule(now_ + latency, [this, to, sender, payload = std::move(message.message)] {
        if (!hosts_[to].core)
            return;
        hosts_[to].core->peer_message(sender, payload, clock());
        perform_actions(to);
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
        perform_actions(i);
    }
    schedule(now_ + seconds{1}, [this] { poll_platform(); });
}

void cluster_sim::add_stream(unsigned customer, double work, time_point from, time_point to,
                             std::optional<unsigned> host)
{
    // Each stream has its own random generator, so that every policy gets the same submissions.
    streams_.push_back({customer, work, to, host, rng{options_.seed * 1000 + streams_.size()}});
    schedule(from, [this, number = streams_.size() - 1] { schedule_arrival(number); });
}

void cluster_sim::schedule_arrival(std::size_t number)
{
    auto& source = streams_[number];
    std::exponential_distribution<double> gap{source.work / mean_work()};
    schedule(now_ + from_seconds(gap(source.random)), [this, number] {
        auto& due = streams_[number];
        if (now_ >= due.to)
            return;
        make_submission(due);
        schedule_arrival(number);
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

void cluster_sim::make_submission(stream& source)
{
    auto& random = source.random;
    const auto number = next_submission_++;
    auto& record = submissions_[number];
    record.customer = source.customer;
    record.sent = now_;
    const double draw = uniform(random);
    const bool slow = draw < slow_share;
    unsigned tasks = 1;
    if (!slow && draw < slow_share + large_job_share)
        tasks = large_job_tasks;
    else if (draw > slow_share + large_job_share + single_task_share)
        tasks = 1 + static_cast<unsigned>(random() % max_usual_job_tasks);
    std::string body = R"({"service":"plugdesk","deadline_ms":)" +
                       std::to_string(to_ms(slow ? seconds{15} : options_.deadline)) +
                       R"(,"tasks":[)";
    const auto first = random() % kind_seconds.size();
    for (unsigned i = 0; i < tasks; ++i) {
        const auto kind = (first + (random() % 2)) % kind_seconds.size();
        const double mean = slow ? 3 + 3 * uniform(random) : kind_seconds[kind];
        const double work = mean * (0.8 + 0.4 * uniform(random));
        const double error = std::pow(options_.declared_error, 2 * uniform(random) - 1);
        record.work += work;
        record.longest = std::max(record.longest, work);
        std::array<char, 160> text{};
        (void)std::snprintf(
            text.data(), text.size(), R"(%s{"kind":"%s%u","declared_ms":%u,"payload":[%lu,%.6f]})",
            i > 0 ? "," : "", slow ? "slow" : "kind-", slow ? 0U : static_cast<unsigned>(kind),
            std::max(1U, static_cast<unsigned>(mean * error * 1000)), number, work);
        body += text.data();
    }
    record.body = body + "]}";
    const double trip = to_seconds(2 * (caller_latency + runner_latency));
    record.absolute_ideal = trip + record.longest / fastest(false);
    const double fastest_free = fastest(true);
    record.ideal = fastest_free > 0 ? trip + record.longest / fastest_free : record.absolute_ideal;
    if (now_ >= measure_from())
        figures_.offered_work += record.work;
    submit(number, source.host, random);
}

std::optional<unsigned> cluster_sim::choose_host(rng& random)
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
    const auto target = host ? host : choose_host(random);
    if (!target || !hosts_[*target].core) {
        record.done = true;
        ++figures_.outcomes["no_entry_host"];
        return;
    }
    // Usually the host of the connection issued the id with its previous answer.
    auto issuer = *target;
    if (const auto other = choose_host(random); other && uniform(random) < stray_share)
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
        perform_actions(to);
    });
}

void cluster_sim::answered(std::uint64_t number, const dispatch::caller_answer& answer)
{
    auto& record = submissions_.at(number);
    if (record.done)
        return;
    const auto reason = answer.status == 200 ? "complete" : parse_reason(answer.body);
    if (answer.retry_after > duration{0} && record.tries <= options_.caller_retries &&
        reason != "answer_lost") {
        if (now_ >= measure_from())
            ++figures_.resubmissions;
        schedule(now_ + answer.retry_after,
                 [this, number] { submit(number, std::nullopt, random_); });
        return;
    }
    record.done = true;
    record.body.clear();
    if (now_ < measure_from())
        return;
    if (reason == "complete")
        figures_.good_work += record.work;
    if (record.sent < measure_from())
        return;
    ++figures_.outcomes[reason];
    if (record.customer != 0)
        ++figures_.quiet_outcomes[reason];
    if (reason != "complete")
        return;
    const double elapsed = to_seconds(now_ - record.sent);
    figures_.ratio.push_back(elapsed / record.ideal);
    figures_.absolute_ratio.push_back(elapsed / record.absolute_ideal);
    if (record.customer != 0)
        figures_.quiet_ratio.push_back(elapsed / record.absolute_ideal);
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
                           to_seconds(now_ - start), busy, queued, figures_.starts,
                           figures_.outcomes["complete"]);
        trace_seconds();
    });
}

figures cluster_sim::run()
{
    const auto until = end();
    while (!events_.empty() && events_.top().time < until) {
        // `priority_queue::top` is const; moving from it is safe since the element is removed next.
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
    figures_.capacity = capacity() * to_seconds(options_.measured);
    return figures_;
}

} // namespace chivewharf::policy
