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

/// What a task's payload tells a worker: room and run time.
struct task_work {
    std::int64_t cpu_milli = 0;
    std::int64_t run_ms = 0;
};

std::string encode_work(const task_work& work);
/// \return nothing if no caller wrote the text
std::optional<task_work> decode_work(const std::string& text);

/// The workers, each a server that follows the platform's calls. Checks what runs.
class standin_workers {
public:
    standin_workers(standin_store& store, evidence& seen, std::uint64_t seed);

    /// Adds a worker; ends the program if the address cannot be bound.
    void add(const std::string& id, const std::string& domain, const std::string& address);

    std::size_t size() const noexcept { return workers_.size(); }
    testing_support::worker_fault& fault(std::size_t worker) { return workers_[worker].sim.fault; }
    void crash(std::size_t worker);
    /// Lists the worker as about to leave, or as back.
    void set_leaving(std::size_t worker, bool leaving);

private:
    struct pending_look {
        std::shared_ptr<runtime::http_exchange> exchange;
        fleet::status_request order;
        time_point until;
    };
    struct served_worker {
        testing_support::sim_worker sim;
        std::unique_ptr<runtime::http_server> server;
        std::list<pending_look> looks;
    };
    using exchange_ptr = std::shared_ptr<runtime::http_exchange>;

    void announce(served_worker& worker);
    void handle(std::size_t worker, const exchange_ptr& exchange);
    void start(served_worker& worker, const exchange_ptr& exchange);
    void stop(std::size_t worker, const exchange_ptr& exchange);
    void look(served_worker& worker, const exchange_ptr& exchange);
    void check_start(const served_worker& worker, const std::string& task,
                     const std::string& payload);
    void tick();

    standin_store& store_;
    evidence& seen_;
    rng random_;
    std::uint64_t sequence_ = 0;
    std::vector<served_worker> workers_;
    runtime::timer tick_;
    runtime::timer heartbeat_;
};

} // namespace chivewharf::fleet_soak
