#include <sched/sched.h>

#include <benchmark/benchmark.h>
#include <deque>
#include <string>
#include <vector>

namespace chivewharf::sched {
namespace {

constexpr std::size_t job_size = 210; // tasks of the largest job
constexpr std::uint32_t slots = 2720; // 340 workers with 8 slots
constexpr time_point start_time{seconds{1000}};

std::vector<queued_task> make_job(std::size_t tasks, rng& random)
{
    std::vector<queued_task> list;
    for (std::uint32_t i = 0; i < tasks; ++i)
        list.push_back({i, milliseconds{50} + uniform_duration(random, milliseconds{950})});
    return list;
}

/// One task start and one task end with all slots busy and a constant backlog. Each job whose tasks
/// have all started is replaced, so the figure includes 1/`job_size` of an enqueue.
/// Arguments: customers, queued tasks.
void start_and_end(benchmark::State& state)
{
    const auto customers = static_cast<customer_id>(state.range(0));
    const auto backlog = static_cast<std::size_t>(state.range(1));
    rng random{20261204};
    limits shared;
    const shortest_remaining_work order;
    fair_queue queue{shared, order};
    queue.set_capacity(slots);
    for (customer_id c = 0; c < customers; ++c) {
        (void)queue.set_customer(c, {.weight = 1.0 + c % 4, .min_share = 0, .max_share = 0.9});
        (void)shared.set_customer(c, {.rate = 1e6, .burst = 1000, .concurrency = 2000}, start_time);
    }
    auto now = start_time;
    job_handle job = 1;
    const auto per_customer = std::max<std::size_t>(1, backlog / customers);
    const auto fill = [&](customer_id c) {
        while (queue.load(c).queued_tasks < per_customer)
            (void)queue.enqueue(c, job++, make_job(std::min(job_size, per_customer), random), now);
    };
    for (customer_id c = 0; c < customers; ++c)
        fill(c);
    std::deque<task_pick> running;
    for (auto _ : state) {
        now += std::chrono::microseconds{20};
        if (running.size() == 1000) {
            const auto& done = running.front();
            queue.ended(done.customer, done.cost, done.cost + milliseconds{10});
            running.pop_front();
        }
        const auto pick = queue.next(now);
        if (!pick) {
            state.SkipWithError("no task to start");
            break;
        }
        queue.started(*pick, now);
        running.push_back(*pick);
        fill(pick->customer);
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["queued"] = static_cast<double>(queue.queued_tasks());
}
BENCHMARK(start_and_end)->ArgsProduct({{1, 12, 120, 1200}, {10'000, 100'000}});

/// Cancels a job with the given number of tasks among 100,000 queued tasks. The enqueue is not
/// timed.
void remove_job(benchmark::State& state)
{
    const auto tasks = static_cast<std::size_t>(state.range(0));
    rng random{20261204};
    limits shared;
    const shortest_remaining_work order;
    fair_queue queue{shared, order};
    job_handle job = 1;
    for (customer_id c = 0; c < 120; ++c) {
        (void)queue.set_customer(c, {});
        for (int i = 0; i < 4; ++i)
            (void)queue.enqueue(c, job++, make_job(job_size, random), start_time);
    }
    const auto list = make_job(tasks, random);
    for (auto _ : state) {
        state.PauseTiming();
        (void)queue.enqueue(static_cast<customer_id>(job % 120), job, list, start_time);
        state.ResumeTiming();
        benchmark::DoNotOptimize(queue.remove_job(job));
        ++job;
    }
}
BENCHMARK(remove_job)->Arg(1)->Arg(21)->Arg(210)->Arg(2100);

/// One run-time estimate and one observation, with 1,000 known task kinds.
void estimate_and_observe(benchmark::State& state)
{
    run_time_estimator estimator;
    std::vector<std::string> kinds;
    kinds.reserve(1000);
    for (int i = 0; i < 1000; ++i)
        kinds.push_back("kind-" + std::to_string(i));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto& kind = kinds[++i % kinds.size()];
        benchmark::DoNotOptimize(estimator.expected("plugdesk", kind, milliseconds{120}));
        estimator.observe("plugdesk", kind, milliseconds{100}, 1.5);
    }
}
BENCHMARK(estimate_and_observe);

} // namespace
} // namespace chivewharf::sched
