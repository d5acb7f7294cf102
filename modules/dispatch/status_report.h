#pragma once

#include <dispatch/identity.h>
#include <dispatch/peer_service.h>
#include <dispatch/task_dispatcher.h>
#include <string>

namespace chivewharf::dispatch {

/// Values that `GET /v1/admin/status` reports in addition to workers and members.
struct status_facts {
    identity self;
    std::int64_t version = 0;
    bool draining = false;
    std::size_t in_flight = 0;
    std::size_t held_ids = 0;
    std::size_t owned_slots = 0;
};

/// State of the entry host, its members and its workers, as JSON.
std::string status_report(const status_facts& facts, task_dispatcher& dispatcher,
                          const peer_service& peers);

/// State of a submission, as JSON. The field `held` is false for an unknown id.
std::string submission_report(const submission::submission_table& table, std::string_view customer,
                              std::string_view id, time_point now);

/// A customer's load, usage in the domain and guaranteed share of each service, as JSON.
std::string customer_report(const task_dispatcher& dispatcher, const peer_service& peers,
                            std::string_view customer, sched::customer_id number, time_point now);

} // namespace chivewharf::dispatch
