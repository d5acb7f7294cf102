#pragma once

#include <base/result.h>
#include <base/time.h>
#include <deque>
#include <functional>
#include <memory>
#include <runtime/runtime_error.h>
#include <runtime/timer.h>
#include <string>
#include <vector>

namespace chivewharf::runtime {

/// A part of the process, such as a server, that a supervisor starts, stops and restarts.
class supervised {
public:
    supervised() = default;
    supervised(const supervised&) = delete;
    supervised& operator=(const supervised&) = delete;
    virtual ~supervised() = default;

    virtual std::string name() const = 0;

    /// Starts the part.
    /// \param failed reports a failure after a successful start; called at most once per start,
    /// from the main loop only
    virtual result<void, runtime_error> start(std::function<void(runtime_error)> failed) = 0;

    /// Stops the part immediately. It may be started again.
    virtual void stop() = 0;
};

/// Limits on restarts, counted over all parts of a supervisor.
struct restart_policy {
    std::size_t max_restarts = 5; ///< within `window`; one more failure stops the supervisor
    duration window = seconds{30};
    duration first_backoff = milliseconds{100}; ///< doubled with each further restart in `window`
};

/// Starts its parts in the order of `add`, stops them in reverse order and restarts those that
/// fail. A supervisor is itself a part, so supervisors can form a tree.
class supervisor final : public supervised {
public:
    explicit supervisor(std::string name, restart_policy policy = {});

    /// Adds a part, to be started by `start`. The part must outlive the supervisor.
    void add(supervised& part);

    std::string name() const override { return name_; }

    /// Starts all parts. If one fails to start, those already started are stopped and its error is
    /// returned. `failed` is called when the restart limit is exceeded.
    result<void, runtime_error> start(std::function<void(runtime_error)> failed) override;

    void stop() override;

private:
    struct child {
        supervised* part;
        bool running = false;
        timer backoff;
    };

    result<void, runtime_error> start_child(child& entry);
    void child_failed(child& entry, const runtime_error& error);
    void restart(child& entry);
    /// Counts a restart if the limit allows it.
    /// \return false if it does not
    bool admit_restart(time_point now);

    std::string name_;
    restart_policy policy_;
    std::vector<std::unique_ptr<child>> children_;
    std::function<void(runtime_error)> failed_;
    std::deque<time_point> restarts_; ///< times of the restarts within the window
    bool stopped_ = true;
};

} // namespace chivewharf::runtime
