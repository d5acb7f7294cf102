#include <dispatch/status_report.h>

#include <nlohmann/json.hpp>

namespace chivewharf::dispatch {

using nlohmann::json;

namespace {

json worker_entries(task_dispatcher& dispatcher)
{
    auto entries = json::array();
    auto& pool = dispatcher.pool();
    for (const auto worker : pool.workers()) {
        const auto& config = pool.config(worker);
        entries.push_back({{"name", config.name},
                           {"service", config.service},
                           {"state", to_name(pool.state(worker))},
                           {"speed", pool.speed(worker)},
                           {"running", pool.running(worker)},
                           {"usable_slots", pool.usable_slots(worker)},
                           {"slots", config.slots},
                           {"home", dispatcher.sharing().home(config.name)}});
    }
    return entries;
}

json member_entries(const peer_service& peers)
{
    auto entries = json::array();
    for (const auto& member : peers.members().members())
        entries.push_back({{"host", member.host}, {"state", to_name(member.state)}});
    return entries;
}

} // namespace

std::string status_report(const status_facts& facts, task_dispatcher& dispatcher,
                          const peer_service& peers)
{
    const json report{{"host", facts.self.host},
                      {"domain", facts.self.domain},
                      {"version", facts.version},
                      {"draining", facts.draining},
                      {"in_flight", facts.in_flight},
                      {"held_ids", facts.held_ids},
                      {"owned_slots", facts.owned_slots},
                      {"members", member_entries(peers)},
                      {"workers", worker_entries(dispatcher)}};
    return report.dump();
}

std::string submission_report(const submission::submission_table& table, std::string_view customer,
                              std::string_view id, time_point now)
{
    const auto key = submission::make_key(customer, id);
    json report{{"id", id}, {"customer", customer}, {"held", table.holds(key)}};
    if (const auto* request = table.request(key)) {
        report["service"] = request->service;
        report["tasks"] = request->tasks.size();
        report["deadline_in_ms"] = to_ms(request->deadline - now);
    }
    return report.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string customer_report(const task_dispatcher& dispatcher, const peer_service& peers,
                            std::string_view customer, sched::customer_id number, time_point now)
{
    json report{{"customer", customer}, {"domain_slots", peers.domain_usage(customer, now)}};
    for (const auto& service : dispatcher.services()) {
        const auto load = dispatcher.load(service, number);
        report["services"].push_back({{"service", service},
                                      {"running", load.running},
                                      {"queued_tasks", load.queued_tasks},
                                      {"promised_part", load.weight_part},
                                      {"max_share", load.max_share}});
    }
    return report.dump();
}

} // namespace chivewharf::dispatch
