#pragma once

#include "cuts.h"
#include "load_balancer.h"
#include "workers.h"

#include <memory>
#include <vector>

namespace chivewharf::fleet_soak {

/// Callers that keep their connection open and use it again after a rest, until the host ends it or
/// announces that it will. Some rest for milliseconds and ask for the number of waiting jobs,
/// others rest for up to some seconds and submit jobs. Some pause within a request or send two at
/// once.
class persistent_callers {
public:
    persistent_callers(cluster& target_cluster, evidence& run_evidence, load_balancer& balancer,
                       std::uint64_t seed);

    void start();
    /// Sends no new requests; open ones are completed.
    void stop() { stopped_ = true; }
    /// Records a violation for each request that a host has cut.
    void report() { cuts_.report(); }

private:
    struct caller {
        duration rest{};
        bool submits = false;
        int host = 0;
        std::string host_log;
        std::shared_ptr<caller_connection> connection;
        runtime::timer rest_timer;
        runtime::timer patience_timer;
    };
    /// A request that is ready to be written.
    struct request {
        std::string text;
        std::string job;
        duration timeout{};
    };

    void add(duration rest, bool submits);
    void rest(caller& one);
    void begin(caller& one);
    void connect(caller& one);
    void send(caller& one);
    /// Writes the first half of a request, and the rest after a pause.
    void send_in_halves(caller& one, const request& next);
    void write_end(caller& one, std::string_view bytes, const request& whole);
    void on_response(caller& one, const written_request& answered, const caller_response& response);
    void on_end(caller& one);
    void leave(caller& one);
    request make_request(const caller& one);
    request make_job(const caller& one);
    std::string choose_path();
    void count(const std::string& outcome) { ++evidence_.outcomes[outcome]; }

    cluster& cluster_;
    evidence& evidence_;
    load_balancer& balancer_;
    rng random_;
    cuts cuts_;
    std::vector<std::unique_ptr<caller>> callers_;
    bool stopped_ = false;
};

} // namespace chivewharf::fleet_soak
