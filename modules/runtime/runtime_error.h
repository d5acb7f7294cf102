#pragma once

#include <array>
#include <base/enum_names.h>
#include <string>
#include <string_view>

namespace chivewharf::runtime {

enum class runtime_errc {
    invalid_address,
    bind_failed,
    tls_setup_failed,
    connect_failed,
    io_failed
};

/// Error of a system or library call. The message includes the error text of the system.
struct runtime_error {
    runtime_errc code;
    std::string message;
};

} // namespace chivewharf::runtime

template <>
struct chivewharf::enum_names<chivewharf::runtime::runtime_errc> {
    static constexpr std::array<std::string_view, 5> names{
        "invalid_address", "bind_failed", "tls_setup_failed", "connect_failed", "io_failed"};
};
