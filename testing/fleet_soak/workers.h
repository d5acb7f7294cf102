#pragma once

#include "evidence.h"
#include "store.h"

#include <base/rng.h>
#include <functional>
#include <list>
#include <memory>
#include <runtime/http_server.h>
#include <string>
#include <testing/support/sim_worker.h>
#include <vector>

namespace chivewharf::fleet_soak {

/// Content of a task's payload: the processor share that the task needs and its run time.
struct task_work {
    std::int64_t cpu_milli = 0;
    std::int64_t run_ms = 0;
};

std::string encode_work(const task_work& work);
/// \return nullopt if the text is not a payload of this soak's callers
std::optional<task_work> decode_work(const std::string& text);

/// Stand-ins for the workers, each a server for the platform's calls to workers. Checks every start
/// of a task against the capacity of the worker, the other workers and the callers' jobs.
class standin_workers {
public:
    standin_workers(standin_store& store, evidence& run_evidence, std::uint64_t seed);

    /// Adds a worker; exits the program with 1 if the address cannot be bound.
    void add(const std::string& id, const std::string& domain, const std::string& address);

    std::size_t size() const noexcept { return workers_.size(); }
    testing_support::worker_fault& fault(std::size_t worker) { return workers_[worker].sim.fault; }
    /// Loses the worker's state and announces its next incarnation.
    void crash(std::size_t worker);
    /// Announces the worker as draining, or as ready again.
    void set_leaving(std::size_t worker, bool leaving);
    /// Removes the worker's entry from the store, or announces it again. The worker runs on.
    void set_listed(std::size_t worker, bool listed);

private:
    struct pending_poll {
        std::shared_ptr<runtime::http_exchange> exchange;
        fleet::status_request request;
        time_point deadline;
    };
    struct served_worker {
        testing_support::sim_worker sim;
        std::unique_ptr<runtime::http_server> server;
        std::list<pending_poll> pending_polls;
        bool listed = true;
    };
    using exchange_ptr = std::shared_ptr<runtime::http_exchange>;

    /// Publishes the worker's record in the store.
    void announce(served_worker& worker);
    void handle(std::size_t worker, const exchange_ptr& exchange);
    void start(served_worker& worker, const exchange_ptr& exchange);
    void stop(std::size_t worker, const exchange_ptr& exchange);
    void poll_status(served_worker& worker, const exchange_ptr& exchange);
    void check_start(const served_worker& worker, const std::string& task,
                     const std::string& payload);
    void answer_due_polls();

    standin_store& store_;
    evidence& evidence_;
    rng random_;
    std::uint64_t sequence_ = 0;
    std::vector<served_worker> workers_;
    runtime::timer tick_;
    runtime::timer heartbeat_;
};

} // namespace chivewharf::fleet_soak
