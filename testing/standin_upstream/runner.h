#pragma once

#include "start_ledger.h"

#include <array>
#include <base/enum_names.h>
#include <memory>
#include <runtime/http_server.h>
#include <runtime/timer.h>
#include <set>
#include <string>
#include <testing/support/json_http.h>

namespace chivewharf::testing_support {

/// How a runner handles the tasks it receives.
///  - `ok`: runs them.
///  - `fail`: starts them and fails immediately.
///  - `refuse`: does not start them.
///  - `hang`: starts them and never answers.
///  - `leaving`: runs them and announces that it is leaving.
enum class runner_mode { ok, fail, refuse, hang, leaving };

/// An upstream runner that serves the task protocol with a number of slots and a relative speed.
class runner {
public:
    runner(std::string name, unsigned slots, double speed, bool count_starts, start_ledger& ledger);

    /// \return the bound port
    std::uint16_t listen(const std::string& address) { return listen_or_exit(*server_, address); }

    void set_mode(runner_mode mode)
    {
        mode_ = mode;
        leaving_announced_at_ = 0;
    }
    const std::string& name() const { return name_; }
    nlohmann::json stats() const;

private:
    struct running_task;

    void handle(const std::shared_ptr<runtime::http_exchange>& exchange);
    void run(const std::shared_ptr<runtime::http_exchange>& exchange);
    void refuse(runtime::http_exchange& exchange, const std::string& reason);
    void respond_with(runtime::http_exchange& exchange, unsigned status,
                      const nlohmann::json& body);

    std::string name_;
    unsigned slots_;
    double speed_;
    bool count_starts_;
    start_ledger& ledger_;
    std::unique_ptr<runtime::http_server> server_;
    runner_mode mode_ = runner_mode::ok;
    unsigned running_ = 0;
    unsigned max_running_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t refusals_ = 0;
    wall_ms last_start_ = 0;
    wall_ms leaving_announced_at_ = 0; ///< time of the first such announcement; 0 if none
};

} // namespace chivewharf::testing_support

template <>
struct chivewharf::enum_names<chivewharf::testing_support::runner_mode> {
    static constexpr std::array<std::string_view, 5> names{"ok", "fail", "refuse", "hang",
                                                           "leaving"};
};
