#pragma once

#include <base/time.h>
#include <runtime/http_client.h>
#include <vector>

namespace chivewharf::operator_cli {

/// Runs HTTP calls from a command, which has nothing else to do until they have ended. The GLib
/// main loop runs only inside `run` and `pause`.
class call_runner {
public:
    /// \param deadline no call and no pause goes on for longer
    explicit call_runner(time_point deadline);

    /// Runs the calls at the same time.
    /// \return the results in the order of the calls
    std::vector<runtime::call_result> run(std::vector<runtime::http_call> calls);
    runtime::call_result run(runtime::http_call call);

    /// Waits, at most until the deadline.
    void pause(duration wait) const;

    bool time_is_up() const;

private:
    duration remaining() const;

    time_point deadline_;
    runtime::http_client client_;
};

} // namespace chivewharf::operator_cli
