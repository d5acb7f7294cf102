#include <upstream/upstream.h>

#include <benchmark/benchmark.h>
#include <deque>
#include <string>

namespace chivewharf::upstream {
namespace {

/// Chooses a worker and records the start and end of a task, with 85% of the slots busy.
template <class Policy>
void start_and_end(benchmark::State& state)
{
    static constexpr double load = 0.85;
    static constexpr duration run = milliseconds{200};
    worker_pool pool{{}, std::make_unique<Policy>()};
    rng random{20261204};
    const auto workers = state.range(0);
    std::vector<duration> run_times;
    for (std::int64_t i = 0; i < workers; ++i) {
        const auto name = "w" + std::to_string(i);
        static_cast<void>(pool.put({name, name, "plugdesk", 8, 60}));
        run_times.push_back(from_seconds(to_seconds(run) * (0.5 + 1.5 * uniform(random))));
    }
    time_point now{seconds{1}};
    std::deque<worker_id> running;
    const auto start = [&] {
        const auto worker = pool.choose(now, "plugdesk", run, now + seconds{2}, random);
        pool.task_started(*worker);
        running.push_back(*worker);
    };
    const auto busy = static_cast<std::size_t>(static_cast<double>(workers * 8) * load);
    while (running.size() < busy)
        start();
    for (auto _ : state) {
        now += std::chrono::microseconds{10};
        const auto worker = running.front();
        running.pop_front();
        pool.task_ended(worker, now, task_outcome::ok, run_times[worker], run);
        start();
    }
}

BENCHMARK(start_and_end<least_finish>)->Arg(50)->Arg(340)->Arg(1700);
BENCHMARK(start_and_end<least_outstanding>)->Arg(50)->Arg(340)->Arg(1700);
BENCHMARK(start_and_end<two_random_choices>)->Arg(50)->Arg(340)->Arg(1700);
BENCHMARK(start_and_end<random_worker>)->Arg(50)->Arg(340)->Arg(1700);

} // namespace
} // namespace chivewharf::upstream
