#pragma once

#include <fleet/fleet.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace chivewharf::fleet {

inline const time_point start{seconds{100}};

/// Records the orders, so that the test can reply to them.
class recorded_worker_port final : public worker_port {
public:
    struct start_call {
        start_order order;
        std::function<void(const order_reply&)> reply;
    };
    struct poll_call {
        status_request order;
        std::function<void(status_reply)> reply;
    };

    void start(start_order order, std::function<void(const order_reply&)> reply) override
    {
        starts.push_back({std::move(order), std::move(reply)});
    }
    void stop(stop_order order, std::function<void(const order_reply&)> /*reply*/) override
    {
        stops.push_back(std::move(order));
    }
    void poll_status(status_request order, std::function<void(status_reply)> reply) override
    {
        polls.push_back({std::move(order), std::move(reply)});
    }

    /// Replies to the oldest status poll.
    void answer_poll(status_reply reply, time_point now)
    {
        const auto call = polls.front();
        polls.erase(polls.begin());
        reply.outcome = order_outcome::accepted;
        reply.received = now;
        call.reply(std::move(reply));
    }

    std::vector<start_call> starts;
    std::vector<stop_order> stops;
    std::vector<poll_call> polls;
};

/// The owner of a domain with one shard, with recorded orders and results.
struct owner_fixture {
    owner_fixture()
        : owner{{"d", 0, 1},
                port,
                metrics,
                log,
                {[this](const std::string&, const wire::job_result& result, time_point) {
                     results.push_back(result);
                 },
                 [](time_point) {},
                 [this](const std::string& worker) { released.push_back(worker); }}}
    {
    }

    void add_workers(std::vector<worker_entry> entries)
    {
        for (auto& entry : entries) {
            entry.address = "10.0.0.1:1";
            entry.service = "s";
            entry.domain = "d";
            if (entry.incarnation == 0)
                entry.incarnation = 1;
        }
        owner.update_workers(entries, ++revision, start);
        owner.acquire_workers(1, false, start);
        polls_answered = 0;
        while (!port.polls.empty() && polls_answered++ < entries.size()) {
            status_reply reply;
            reply.clock_ms = 1000;
            reply.incarnation = 1;
            port.answer_poll(reply, start);
        }
    }

    wire::job_order order(const std::string& job, std::vector<wire::job_step> steps) const
    {
        wire::job_order one;
        one.job = job;
        one.queue = "q";
        one.service = "s";
        one.max_attempts = 2;
        one.stretch = 1.6F;
        one.target_ms = 60;
        one.remaining_ms = 2000;
        one.shard = {"d", 0, 1};
        one.steps = std::move(steps);
        return one;
    }

    recorded_worker_port port;
    metrics::registry metrics;
    request_log log;
    std::vector<wire::job_result> results;
    std::vector<std::string> released; ///< workers, in the order of their release
    std::size_t polls_answered = 0;
    std::uint64_t revision = 0; ///< of the last list of workers
    shard_owner owner;
};

inline wire::job_step step(std::uint32_t count, std::uint32_t cpu_milli)
{
    wire::job_step one;
    one.count = count;
    one.cpu_milli = cpu_milli;
    one.estimate_ms = 100;
    return one;
}

inline worker_entry worker(const std::string& id, std::int64_t cpu_milli)
{
    worker_entry one;
    one.id = id;
    one.capacity = {cpu_milli, 1000, 0};
    return one;
}

} // namespace chivewharf::fleet
