#include <wire/messages.h>

namespace chivewharf::wire {

namespace {

// In the order of the alternatives of `message`.
constexpr std::array<std::string_view, std::variant_size_v<message>> message_names{
    "hello",          "proof",           "ping",          "forward",          "forward_answer",
    "heartbeat",      "member_report",   "usage_average", "slot_request",     "slot_grant",
    "slot_return",    "promise_request", "promise",       "handover_records", "config_version",
    "config_request", "config_record",   "spill_task",    "spill_answer",     "load_report",
    "job_order",      "job_result",      "job_cancel",    "host_report",      "host_records",
    "worker_release", "store_records"};

} // namespace

std::string_view name_of(const message& m)
{
    return message_names[m.index()];
}

} // namespace chivewharf::wire
