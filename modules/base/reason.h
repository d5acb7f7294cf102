#pragma once

#include <array>
#include <base/enum_names.h>
#include <cstdint>
#include <string_view>

namespace chivewharf {

/// Whether the work of a submission or a task was run.
enum class work_state : std::uint8_t { not_run, may_have_run, ran };

template <>
struct enum_names<work_state> {
    static constexpr std::array<std::string_view, 3> names{"not_run", "may_have_run", "ran"};
};

/// Why a submission was refused or failed, or why a task was retried. The set is closed: the names
/// are part of the public API, and each reason has its own counter.
enum class reason : std::uint8_t {
    none,
    malformed_request,
    unknown_route,
    unauthenticated,
    forbidden,
    missing_id,
    invalid_id,
    id_not_issued,
    id_expired,
    id_body_mismatch,
    unknown_submission,
    body_too_large,
    too_many_tasks,
    too_many_connections,
    header_timeout,
    unknown_service,
    never_runnable,
    deadline_unreachable,
    deadline_passed,
    predicted_wait,
    queue_full,
    table_full,
    rate_limited,
    concurrency_limited,
    draining,
    not_ready,
    owner_gone,
    owner_unreachable,
    ownership_unproved,
    ownership_quarantine,
    cancelled,
    task_failed,
    answer_lost,
    answer_truncated,
    answer_too_large,
    retry_budget_spent,
    no_upstream,
    customer_removed,
    service_removed,
    shutdown,
    internal,
    // Hosts exchange reasons as numbers, so new ones are added at the end.
    header_too_large,
    ambiguous_length,
    idle_timeout,
    request_memory,
};

template <>
struct enum_names<reason> {
    static constexpr std::array<std::string_view, 45> names{
        "none",
        "malformed_request",
        "unknown_route",
        "unauthenticated",
        "forbidden",
        "missing_id",
        "invalid_id",
        "id_not_issued",
        "id_expired",
        "id_body_mismatch",
        "unknown_submission",
        "body_too_large",
        "too_many_tasks",
        "too_many_connections",
        "header_timeout",
        "unknown_service",
        "never_runnable",
        "deadline_unreachable",
        "deadline_passed",
        "predicted_wait",
        "queue_full",
        "table_full",
        "rate_limited",
        "concurrency_limited",
        "draining",
        "not_ready",
        "owner_gone",
        "owner_unreachable",
        "ownership_unproved",
        "ownership_quarantine",
        "cancelled",
        "task_failed",
        "answer_lost",
        "answer_truncated",
        "answer_too_large",
        "retry_budget_spent",
        "no_upstream",
        "customer_removed",
        "service_removed",
        "shutdown",
        "internal",
        "header_too_large",
        "ambiguous_length",
        "idle_timeout",
        "request_memory",
    };
};

} // namespace chivewharf
