#pragma once

#include <array>
#include <base/enum_names.h>
#include <base/reason.h>
#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace chivewharf::runtime {

/// Why a server ended a connection.
///  - `refusal`: a request or the connection exceeded a limit.
///  - `stop`: it was idle at a planned stop.
///  - `exit`: the server was destroyed.
enum class end_cause : std::uint8_t { refusal, stop, exit };

/// How much of a request a connection had when it ended.
///  - `none`: nothing. `partial`: a part of one. `complete`: all of one, which no handler had.
///  - `in_work`: a handler had it, and its response had not been written completely.
enum class request_stage : std::uint8_t { none, partial, complete, in_work };

/// A connection that a server has ended, as it was at that moment.
struct connection_end {
    end_cause cause = end_cause::exit;
    reason limit = reason::none; ///< the limit that was exceeded
    request_stage stage = request_stage::none;
    std::size_t unread_bytes = 0;         ///< received by the kernel
    std::size_t unacknowledged_bytes = 0; ///< of responses
    duration unused{};                    ///< since a byte arrived or a response was written
};

using connection_observer = std::function<void(const connection_end&)>;

} // namespace chivewharf::runtime

template <>
struct chivewharf::enum_names<chivewharf::runtime::end_cause> {
    static constexpr std::array<std::string_view, 3> names{"refusal", "stop", "exit"};
};

template <>
struct chivewharf::enum_names<chivewharf::runtime::request_stage> {
    static constexpr std::array<std::string_view, 4> names{"none", "partial", "complete",
                                                           "in_work"};
};
