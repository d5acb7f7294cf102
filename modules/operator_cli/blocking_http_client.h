#pragma once

#include <base/time.h>
#include <runtime/http_client.h>
#include <vector>

namespace chivewharf::operator_cli {

/// HTTP client whose calls block until they are complete. The GLib main loop runs only inside
/// `perform` and `pause`.
class blocking_http_client {
public:
    /// \param deadline when every call times out and every pause ends
    explicit blocking_http_client(time_point deadline);

    /// Performs the calls concurrently.
    /// \return the results, in the order of the calls
    std::vector<runtime::call_result> perform(std::vector<runtime::http_call> calls);
    runtime::call_result perform(runtime::http_call call);

    /// Blocks for the duration, but not past the deadline.
    void pause(duration wait) const;

    bool deadline_passed() const;

private:
    duration remaining() const;

    time_point deadline_;
    runtime::http_client client_;
};

} // namespace chivewharf::operator_cli
