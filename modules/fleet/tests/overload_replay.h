#pragma once

#include <array>
#include <base/rng.h>
#include <cstdint>
#include <fleet/fleet.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <testing/support/sim_worker.h>
#include <utility>
#include <vector>

namespace chivewharf::fleet {

/// Calls functions in the order of their virtual time.
class virtual_clock {
public:
    time_point now() const noexcept { return now_; }
    void at(time_point when, std::function<void()> call);
    void run_until(time_point end);

private:
    time_point now_{seconds{100}};
    std::multimap<time_point, std::function<void()>> events_;
};

/// Generated job. Run times are those of its tasks on every worker.
struct load_job {
    wire::job_order order;
    std::uint32_t priority = 0;
    time_point arrives{};
    std::vector<duration> run_times;

    duration longest() const;
    /// Processor time of all its tasks, core seconds.
    double work() const;
    /// Time from its arrival in which an answer meets the objective.
    duration objective() const;
};

/// Generates the jobs of the design load of docs/load-and-limits.md for 16-core workers.
class load_generator {
public:
    explicit load_generator(std::uint64_t seed) : random_{seed} {}

    load_job next_job();

    /// Jobs that arrive at random times with a constant rate, in the order of their arrival.
    /// \param work_per_second processor time that the jobs ask for, cores
    std::vector<load_job> jobs(double work_per_second, time_point begin, duration length);

private:
    /// Log-normally distributed factor with a mean of 1.
    double spread(double sigma);

    rng random_;
    std::uint32_t number_ = 0;
};

/// What the callers of one priority get.
struct caller_outcomes {
    std::uint64_t jobs = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0; ///< answered later, or abandoned after tasks had been started
    std::uint64_t refused = 0;
    double work_in_time = 0; ///< core seconds of the jobs that meet their objective
    double work_started = 0; ///< core seconds of the jobs that were not refused

    double lost_share() const;
};

struct replay_result {
    std::array<caller_outcomes, 3> by_priority;
    /// `JOB END TIME` of each job, in the order of the answers.
    std::vector<std::string> decisions;
    std::uint64_t refused_with_room = 0; ///< refused although workers had room for all their tasks
    std::array<std::uint64_t, 3> refused_later{}; ///< had been admitted, by priority
    std::uint64_t unanswered = 0;

    caller_outcomes total() const;
};

/// Replays generated load in virtual time against one owner, with workers that follow the
/// platform's contract and a delay of 1 ms for each message to or from them.
class overload_replay final : private worker_port {
public:
    struct options {
        double load = 1;        ///< demand over processor time of the workers
        bool priorities = true; ///< false: all jobs have the same one, which gives the former order
        std::uint64_t seed = 20261204;
        unsigned workers = 20;
        duration length = seconds{13};
    };

    explicit overload_replay(options chosen);
    replay_result run();

private:
    struct held_poll {
        status_request order;
        std::function<void(status_reply)> reply;
    };
    struct replay_worker {
        testing_support::sim_worker worker;
        std::int64_t used_milli = 0; ///< as the owner knows it
        std::optional<held_poll> held;
        std::uint64_t polls = 0;
    };

    void start(start_order order, std::function<void(const order_reply&)> reply) override;
    void stop(stop_order order, std::function<void(const order_reply&)> reply) override;
    void poll_status(status_request order, std::function<void(status_reply)> reply) override;

    void hold_or_answer(const std::string& id, held_poll poll);
    void answer_held_poll(const std::string& id);
    void settle(const std::string& id);
    double capacity() const;
    bool has_room(const load_job& job) const;
    void submit(const load_job& job);
    void answered(const wire::job_result& result, time_point now);
    void tick();

    options options_;
    virtual_clock clock_;
    std::map<std::string, replay_worker> workers_;
    std::map<std::string, std::int64_t> occupied_; ///< demand of the tasks that the owner counts
    std::map<std::string, load_job> jobs_;
    replay_result result_;
    std::string submitting_; ///< job whose submission is in progress
    metrics::registry metrics_;
    request_log log_;
    shard_owner owner_;
};

} // namespace chivewharf::fleet
