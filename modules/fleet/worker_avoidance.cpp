#include <fleet/worker_avoidance.h>

#include <algorithm>
#include <base/log_line.h>

namespace chivewharf::fleet {

namespace {

/// Consecutive failures after which a worker is avoided.
constexpr std::uint32_t failure_threshold = 2;
constexpr duration initial_avoidance = seconds{2};
constexpr duration max_avoidance = seconds{8};

} // namespace

void worker_avoidance::task_ended(managed_worker& worker, task_end end, time_point now)
{
    if (end == task_end::done) {
        worker.consecutive_failures = 0;
        worker.last_avoidance = duration{0};
    }
    else if (end == task_end::failed && ++worker.consecutive_failures >= failure_threshold)
        avoid(worker, "tasks fail", now);
}

void worker_avoidance::start_rejected(managed_worker& worker, order_outcome reason, time_point now)
{
    if (reason == order_outcome::refused || reason == order_outcome::no_room ||
        reason == order_outcome::not_sent)
        avoid(worker, to_name(reason), now);
}

void worker_avoidance::task_stalled(managed_worker& worker, time_point now)
{
    if (worker.avoid_until <= now)
        avoid(worker, "task does not progress", now);
}

void worker_avoidance::avoid(managed_worker& worker, std::string_view reason, time_point now)
{
    worker.last_avoidance = worker.last_avoidance == duration{0}
                                ? initial_avoidance
                                : std::min(worker.last_avoidance * 2, max_avoidance);
    worker.avoid_until = now + worker.last_avoidance;
    ++metrics_.counter("chivewharf_worker_avoidances_total");
    log_line{"worker_avoided"}
        .add("worker", worker.session->entry().id)
        .add("why", reason)
        .add("for_ms", to_ms(worker.last_avoidance))
        .write();
}

} // namespace chivewharf::fleet
