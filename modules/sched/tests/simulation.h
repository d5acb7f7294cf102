#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <sched/sched.h>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace chivewharf::sched {

inline constexpr time_point start_time{seconds{1000}};

/// Simulates a fair queue that feeds a fixed number of equal slots, in virtual time.
class simulation {
public:
    struct run {
        time_point end;
        task_pick pick;
        time_point begin;
        friend bool operator>(const run& a, const run& b)
        {
            return std::tie(a.end, a.pick.job, a.pick.task) >
                   std::tie(b.end, b.pick.job, b.pick.task);
        }
    };

    explicit simulation(std::uint32_t slots, const job_order& order = default_order())
        : queue{shared, order}, free{slots}
    {
        queue.set_capacity(slots);
    }

    static const job_order& default_order()
    {
        static const shortest_remaining_work order;
        return order;
    }

    void add(customer_id customer, std::size_t tasks, duration expected)
    {
        std::vector<queued_task> list;
        for (std::uint32_t i = 0; i < tasks; ++i)
            list.push_back({i, expected});
        if (!queue.enqueue(customer, next_job++, std::move(list), now))
            throw std::logic_error("enqueue failed");
    }

    /// Starts tasks until no slot is free or `next` returns none.
    void fill()
    {
        while (free > 0) {
            auto pick = queue.next(now);
            if (!pick)
                return;
            pick->cost = estimate(*pick);
            queue.started(*pick, now);
            --free;
            ++starts[pick->customer];
            on_start(*pick);
            running.push({now + run_time(*pick), *pick, now});
        }
    }

    /// Advances the time to the next task end or wake-up. There must be one.
    void step()
    {
        auto next_end = running.empty() ? time_point::max() : running.top().end;
        now = std::max(now, std::min(next_end, queue.wake_at().value_or(time_point::max())));
        while (!running.empty() && running.top().end <= now) {
            const auto done = running.top();
            running.pop();
            ++free;
            used[done.pick.customer] += to_seconds(done.end - done.begin);
            on_end(done);
            queue.ended(done.pick.customer, done.pick.cost, done.end - done.begin);
        }
    }

    /// Slot-seconds used by the customer so far, including the elapsed time of its running tasks.
    double usage(customer_id customer) const
    {
        double sum = used.contains(customer) ? used.at(customer) : 0;
        for (auto copy = running; !copy.empty(); copy.pop()) {
            if (copy.top().pick.customer == customer)
                sum += to_seconds(now - copy.top().begin);
        }
        return sum;
    }

    limits shared;
    fair_queue queue;
    std::uint32_t free;
    time_point now = start_time;
    job_handle next_job = 1;
    std::priority_queue<run, std::vector<run>, std::greater<>> running;
    std::map<customer_id, double> used;
    std::map<customer_id, std::size_t> starts;
    std::function<duration(const task_pick&)> estimate = [](const task_pick& p) { return p.cost; };
    std::function<duration(const task_pick&)> run_time = [](const task_pick& p) { return p.cost; };
    std::function<void(const task_pick&)> on_start = [](const task_pick&) {};
    std::function<void(const run&)> on_end = [](const run&) {};
};

} // namespace chivewharf::sched
