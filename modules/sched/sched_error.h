#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewharf::sched {

/// Kinds of invalid calls that this module reports.
enum class sched_errc : std::uint8_t {
    unknown_customer,
    duplicate_job,
    no_tasks,
    invalid_policy,
};

/// Error of this module. A failed call has no effect.
struct sched_error {
    sched_errc code{};
    std::string message;
};

} // namespace chivewharf::sched

namespace chivewharf {

template <>
struct enum_names<sched::sched_errc> {
    static constexpr std::array<std::string_view, 4> names{"unknown_customer", "duplicate_job",
                                                           "no_tasks", "invalid_policy"};
};

} // namespace chivewharf
