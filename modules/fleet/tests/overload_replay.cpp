#include "overload_replay.h"

#include <algorithm>
#include <cmath>

namespace chivewharf::fleet {

namespace {

constexpr duration message_delay = milliseconds{1};
constexpr duration tick_interval = milliseconds{10};
/// Jobs that arrive earlier are not counted: the owner has learned nothing yet.
constexpr duration warm_up = seconds{1};
/// Time in which the last jobs end: the callers' deadline and some more.
constexpr duration drain_time = seconds{3};

constexpr double run_time_spread = 0.4;
constexpr double estimate_spread = 0.4;
constexpr double long_task_share = 0.03;
constexpr double long_task_factor = 7;
constexpr double task_count_spread = 0.5;
constexpr double demand_spread = 0.2;
constexpr double objective_stretch = 1.6;
constexpr duration objective_target = milliseconds{60};
constexpr duration caller_deadline = milliseconds{1500};

/// A row of the design load's table.
struct load_class {
    double jobs_per_second;
    double tasks;
    double max_tasks;
    double run_ms;
    bool demand_varies;
};

constexpr std::array<load_class, 3> design_load{
    {{193, 8, 32, 55, true}, {565, 2, 8, 185, false}, {35, 4, 16, 830, false}}};

std::uint32_t random_priority(rng& random)
{
    double total = 0;
    for (const auto& one : design_load)
        total += one.jobs_per_second;
    auto left = uniform(random) * total;
    std::uint32_t priority = 0;
    while (priority + 1 < design_load.size() && left >= design_load[priority].jobs_per_second)
        left -= design_load[priority++].jobs_per_second;
    return priority;
}

} // namespace

void virtual_clock::at(time_point when, std::function<void()> call)
{
    events_.emplace(std::max(when, now_), std::move(call));
}

void virtual_clock::run_until(time_point end)
{
    while (!events_.empty() && events_.begin()->first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = event.key();
        event.mapped()();
    }
    now_ = end;
}

duration load_job::longest() const
{
    return *std::max_element(run_times.begin(), run_times.end());
}

double load_job::work() const
{
    double busy = 0;
    for (const auto one : run_times)
        busy += to_seconds(one);
    return busy * order.steps.front().cpu_milli / 1000;
}

duration load_job::objective() const
{
    return from_seconds(to_seconds(longest()) * objective_stretch) + objective_target;
}

double load_generator::spread(double sigma)
{
    return std::exp(std::normal_distribution<double>{-sigma * sigma / 2, sigma}(random_));
}

load_job load_generator::next_job()
{
    load_job job;
    job.priority = random_priority(random_);
    const auto& kind = design_load[job.priority];
    const auto tasks =
        std::clamp(std::round(kind.tasks * spread(task_count_spread)), 1.0, kind.max_tasks);
    const auto cores = kind.demand_varies ? std::min(8 * spread(demand_spread), 12.0) : 8.0;
    for (int task = 0; task < static_cast<int>(tasks); ++task) {
        const auto factor = uniform(random_) < long_task_share ? long_task_factor : 1.0;
        job.run_times.push_back(
            from_seconds(kind.run_ms / 1000 * factor * spread(run_time_spread)));
    }
    wire::job_step step;
    step.count = static_cast<std::uint32_t>(tasks);
    step.cpu_milli = static_cast<std::uint32_t>(cores * 1000);
    step.estimate_ms = static_cast<std::uint32_t>(kind.run_ms * spread(estimate_spread)) + 1;
    job.order.job = "j" + std::to_string(number_++);
    job.order.queue = "q" + std::to_string(job.priority);
    job.order.service = "s";
    job.order.priority = job.priority;
    job.order.stretch = static_cast<float>(objective_stretch);
    job.order.target_ms = static_cast<std::uint32_t>(to_ms(objective_target));
    job.order.remaining_ms = static_cast<std::uint32_t>(to_ms(caller_deadline));
    job.order.shard = {"d", 0, 1};
    job.order.steps = {step};
    return job;
}

std::vector<load_job> load_generator::jobs(double work_per_second, time_point begin,
                                           duration length)
{
    constexpr int sample = 20000;
    double sampled_work = 0;
    load_generator sampler{1};
    for (int i = 0; i < sample; ++i)
        sampled_work += sampler.next_job().work();
    std::exponential_distribution<double> gap{work_per_second * sample / sampled_work};
    std::vector<load_job> all;
    for (auto when = begin; when < begin + length; when += from_seconds(gap(random_))) {
        all.push_back(next_job());
        all.back().arrives = when;
    }
    return all;
}

double caller_outcomes::lost_share() const
{
    return jobs == 0 ? 0.0 : 1.0 - static_cast<double>(in_time) / static_cast<double>(jobs);
}

caller_outcomes replay_result::total() const
{
    caller_outcomes sum;
    for (const auto& one : by_priority) {
        sum.jobs += one.jobs;
        sum.in_time += one.in_time;
        sum.late += one.late;
        sum.refused += one.refused;
        sum.work_in_time += one.work_in_time;
        sum.work_started += one.work_started;
    }
    return sum;
}

overload_replay::overload_replay(options chosen)
    : options_{chosen}, owner_{{"d", 0, 1},
                               *this,
                               metrics_,
                               log_,
                               {[this](const std::string&, const wire::job_result& result,
                                       time_point now) { answered(result, now); },
                                [](time_point) {}, [](const std::string&) {}}}
{
    std::vector<worker_entry> entries;
    for (unsigned i = 0; i < options_.workers; ++i) {
        worker_entry entry;
        entry.id = "w" + std::to_string(i);
        entry.address = "10.0.0.1:" + std::to_string(i + 1);
        entry.service = "s";
        entry.domain = "d";
        entry.incarnation = 1;
        entry.capacity = {i % 3 == 0 ? 24000 : 16000, 64000, 0};
        auto& added = workers_[entry.id];
        added.worker.entry = entry;
        added.worker.started_at = clock_.now() - seconds{10};
        entries.push_back(entry);
    }
    owner_.update_workers(entries, 1, clock_.now());
    owner_.acquire_workers(1, false, clock_.now());
}

double overload_replay::capacity() const
{
    double cores = 0;
    for (const auto& [id, one] : workers_)
        cores += static_cast<double>(one.worker.entry.capacity.cpu_milli) / 1000;
    return cores;
}

replay_result overload_replay::run()
{
    const auto begin = clock_.now() + milliseconds{100};
    load_generator generator{options_.seed};
    for (auto& job : generator.jobs(options_.load * capacity(), begin, options_.length)) {
        const auto arrives = job.arrives;
        const auto id = job.order.job;
        jobs_.emplace(id, std::move(job));
        clock_.at(arrives, [this, id] { submit(jobs_.at(id)); });
    }
    tick();
    clock_.run_until(begin + options_.length + drain_time);
    result_.unanswered = jobs_.size();
    return result_;
}

void overload_replay::tick()
{
    owner_.tick(clock_.now());
    clock_.at(clock_.now() + tick_interval, [this] { tick(); });
}

void overload_replay::submit(const load_job& job)
{
    auto order = job.order;
    if (!options_.priorities)
        order.priority = 0;
    submitting_ = order.job;
    owner_.submit(std::move(order), "h", clock_.now());
    submitting_.clear();
}

bool overload_replay::has_room(const load_job& job) const
{
    const auto& step = job.order.steps.front();
    std::int64_t fitting = 0;
    for (const auto& [id, one] : workers_)
        fitting += (one.worker.entry.capacity.cpu_milli - one.used_milli) / step.cpu_milli;
    return fitting >= step.count;
}

void overload_replay::answered(const wire::job_result& result, time_point now)
{
    const auto found = jobs_.find(result.job);
    const auto job = found->second;
    jobs_.erase(found);
    result_.decisions.push_back(result.job + ' ' + std::string{to_name(result.end)} + ' ' +
                                std::to_string((now - job.arrives).count()));
    const bool refused = result.end == wire::job_end::overloaded;
    if (refused && has_room(job))
        ++result_.refused_with_room;
    if (refused && submitting_ != result.job)
        ++result_.refused_later[job.priority];
    if (job.arrives < time_point{seconds{100}} + warm_up)
        return;
    auto& outcome = result_.by_priority[job.priority];
    const auto limit = std::min(job.objective(), caller_deadline);
    ++outcome.jobs;
    if (refused) {
        ++outcome.refused;
        return;
    }
    outcome.work_started += job.work();
    if (result.end == wire::job_end::completed && now - job.arrives <= limit) {
        ++outcome.in_time;
        outcome.work_in_time += job.work();
    }
    else {
        ++outcome.late;
    }
}

void overload_replay::start(start_order order, std::function<void(const order_reply&)> reply)
{
    const auto job_id = job_run::job_of(order.task);
    const auto& job = jobs_.at(job_id);
    const auto demand = demand_of(job.order.steps.front());
    testing_support::sim_worker::task_plan plan;
    plan.demand = demand;
    plan.run_time = job.run_times.at(job_run::position_of(order.task).index);
    const auto id = order.to.id;
    workers_.at(id).used_milli += demand.cpu_milli;
    occupied_[order.task] = demand.cpu_milli;
    clock_.at(clock_.now() + message_delay, [this, id, order, plan, reply] {
        bool began = false;
        auto got = workers_.at(id).worker.start(order, plan, clock_.now(), began);
        clock_.at(clock_.now() + plan.run_time, [this, id] { settle(id); });
        clock_.at(clock_.now() + message_delay, [this, got, reply]() mutable {
            got.received = clock_.now();
            reply(got);
        });
    });
}

void overload_replay::stop(stop_order order, std::function<void(const order_reply&)> reply)
{
    clock_.at(clock_.now() + message_delay, [this, order, reply] {
        auto& worker = workers_.at(order.to.id).worker;
        auto got = worker.stop(order, clock_.now());
        worker.end_stopped(order.task, order.run);
        answer_held_poll(order.to.id);
        clock_.at(clock_.now() + message_delay, [this, got, reply]() mutable {
            got.received = clock_.now();
            reply(got);
        });
    });
}

void overload_replay::poll_status(status_request order, std::function<void(status_reply)> reply)
{
    clock_.at(clock_.now() + message_delay, [this, order, reply] {
        hold_or_answer(order.to.id, {order, reply});
    });
}

void overload_replay::hold_or_answer(const std::string& id, held_poll poll)
{
    auto& one = workers_.at(id);
    const auto wait = poll.order.wait;
    answer_held_poll(id);
    one.held = std::move(poll);
    const auto number = ++one.polls;
    // The reply to the status poll drops the ended runs that it acknowledges.
    const auto acknowledged = one.held->order.acknowledged_end;
    const bool news = std::any_of(one.worker.ended.begin(), one.worker.ended.end(),
                                  [&](const auto& ended) { return ended.number > acknowledged; });
    if (news || wait == duration{0}) {
        answer_held_poll(id);
        return;
    }
    clock_.at(clock_.now() + wait, [this, id, number] {
        if (workers_.at(id).polls == number)
            answer_held_poll(id);
    });
}

void overload_replay::answer_held_poll(const std::string& id)
{
    auto& one = workers_.at(id);
    if (!one.held)
        return;
    const auto poll = std::move(*one.held);
    one.held.reset();
    auto got = one.worker.poll_status(poll.order, clock_.now());
    clock_.at(clock_.now() + message_delay, [this, id, got, reply = poll.reply]() mutable {
        got.received = clock_.now();
        for (const auto& ended : got.ended) {
            const auto task = occupied_.find(ended.task);
            if (task == occupied_.end())
                continue;
            workers_.at(id).used_milli -= task->second;
            occupied_.erase(task);
        }
        reply(std::move(got));
    });
}

void overload_replay::settle(const std::string& id)
{
    if (workers_.at(id).worker.end_due_runs(clock_.now()))
        answer_held_poll(id);
}

} // namespace chivewharf::fleet
