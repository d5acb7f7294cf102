// Cost of the start check with 1,000,000 held ids compared with a plain hash lookup in the same
// run, and the memory used by a tombstone (an id kept only to recognise a resubmission).

#include <benchmark/benchmark.h>
#include <cstdio>
#include <string>
#include <submission/submission.h>
#include <unordered_map>

namespace chivewharf::submission {
namespace {

constexpr std::size_t held_ids = 1'000'000;
constexpr std::size_t live_submissions = 20'000; ///< as many of the held ids as fit the byte limit
constexpr std::size_t tasks_per_submission = 10;
constexpr time_point start{seconds{1000}};

submission_key key_of(std::size_t number)
{
    return make_key("coldquay", "order-" + std::to_string(number));
}

struct key_hash {
    std::size_t operator()(const submission_key& key) const { return key.low; }
};

/// Maps consecutive indexes to indexes below the limit without locality of access.
std::size_t scattered_index(std::size_t i, std::size_t limit)
{
    return (i * 7919U) % limit;
}

submission_table filled_table()
{
    submission_table table;
    for (std::size_t i = live_submissions; i < held_ids; ++i)
        table.import({key_of(i), {}, reason::none, work_state::ran, no_slot}, start);
    for (std::size_t i = 0; i < live_submissions; ++i) {
        submission_request request;
        request.key = key_of(i);
        request.deadline = start + std::chrono::hours{1};
        request.tasks.assign(tasks_per_submission, {"k", milliseconds{100}, {}});
        if (table.admit(std::move(request), {}, start).kind != receipt::admitted)
            std::abort();
    }
    return table;
}

/// Starts a task and ends its attempt as not run, so that it can be started again.
void start_and_requeue(benchmark::State& state)
{
    auto table = filled_table();
    std::vector<submission_key> keys;
    for (std::size_t i = 0; i < live_submissions; ++i)
        keys.push_back(key_of(scattered_index(i, live_submissions)));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto& key = keys[i % keys.size()];
        const auto attempt = table.may_start(key, 0, start);
        if (!attempt)
            std::abort();
        benchmark::DoNotOptimize(
            table.finish_task(key, 0, *attempt, {attempt_end::not_run, {}, {}, {}}, start));
        ++i;
    }
}

/// The check alone, over all held ids; most are tombstones and refused.
void start_check(benchmark::State& state)
{
    auto table = filled_table();
    std::vector<submission_key> keys;
    for (std::size_t i = 0; i < held_ids; ++i)
        keys.push_back(key_of(scattered_index(i, held_ids)));
    std::size_t i = 0;
    for (auto _ : state) {
        const auto number = i % held_ids;
        const auto task = static_cast<std::uint32_t>(i / held_ids % tasks_per_submission);
        benchmark::DoNotOptimize(table.may_start(keys[number], task, start));
        ++i;
    }
}

void unordered_map_lookup(benchmark::State& state)
{
    std::unordered_map<submission_key, std::uint64_t, key_hash> map;
    std::vector<submission_key> keys;
    for (std::size_t i = 0; i < held_ids; ++i)
        map.emplace(key_of(i), i);
    for (std::size_t i = 0; i < held_ids; ++i)
        keys.push_back(key_of(scattered_index(i, held_ids)));
    std::size_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(map.find(keys[i % held_ids]));
        ++i;
    }
}

void tombstone_bytes(benchmark::State& state)
{
    double worst = 0;
    double last = 0;
    for (auto _ : state) {
        submission_table table;
        for (std::size_t i = 0; i < held_ids; ++i) {
            table.import({key_of(i), {}, reason::none, work_state::ran, no_slot}, start);
            last = static_cast<double>(table.held_bytes()) / static_cast<double>(table.size());
            if (table.size() >= held_ids / 10)
                worst = std::max(worst, last);
        }
    }
    state.counters["bytes_per_id"] = last;
    state.counters["worst_bytes_per_id_from_100k"] = worst;
}

BENCHMARK(start_and_requeue);
BENCHMARK(start_check);
BENCHMARK(unordered_map_lookup);
BENCHMARK(tombstone_bytes)->Name("bare_id_bytes")->Iterations(1)->Unit(benchmark::kMillisecond);

/// Records the time of each benchmark to print ratios at the end.
class ratio_reporter : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override
    {
        benchmark::ConsoleReporter::ReportRuns(runs);
        for (const Run& run : runs)
            times_[run.benchmark_name()] = run.GetAdjustedCPUTime();
    }

    void print_ratio() const
    {
        const auto plain = times_.find("unordered_map_lookup");
        if (plain == times_.end())
            return;
        for (const auto* name : {"start_check", "start_and_requeue"}) {
            if (const auto found = times_.find(name); found != times_.end())
                std::printf("%s / unordered_map_lookup = %.2f\n", name,
                            found->second / plain->second);
        }
    }

private:
    std::unordered_map<std::string, double> times_;
};

} // namespace
} // namespace chivewharf::submission

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    chivewharf::submission::ratio_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    reporter.print_ratio();
    benchmark::Shutdown();
    return 0;
}
