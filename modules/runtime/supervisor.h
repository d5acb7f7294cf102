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

/// A part of the process that a supervisor starts and stops.
class supervised {
public:
    supervised() = default;
    supervised(const supervised&) = delete;
    supervised& operator=(const supervised&) = delete;
    virtual ~supervised() = default;

    virtual std::string name() const = 0;

    /// Starts the part. It reports a later failure through `failed`, which may be called once for
    /// each start and only from the loop.
    virtual result<void, runtime_error> start(std::function<void(runtime_error)> failed) = 0;

    /// Stops the part at once; it may be started again.
    virtual void stop() = 0;
};

/// Limits of restarts.
struct restart_policy {
    std::size_t max_restarts = 5; ///< within `window`; one more ends the supervisor
    duration window = seconds{30};
    duration first_backoff = milliseconds{100}; ///< doubled for each restart within the window
};

/// Starts its parts in order, stops them in reverse, and starts a part that failed again. A
/// supervisor is itself a part, so supervisors form a tree.
class supervisor final : public supervised {
public:
    explicit supervisor(std::string name, restart_policy policy = {});

    /// Adds a part; it is started with the others. The part must outlive the supervisor.
    void add(supervised& part);

    std::string name() const override { return name_; }

    /// Starts all parts. If one does not start, those before it are stopped and its error is
    /// returned.
    result<void, runtime_error> start(std::function<void(runtime_error)> failed) override;

    void stop() override;

private:
    struct child {
        supervised* part;
        bool running = false;
        timer backoff;
    };

    result<void, runtime_error> start_child(child& one);
    void child_failed(child& one, const runtime_error& error);
    void restart(child& one);
    bool may_restart(time_point now);

    std::string name_;
    restart_policy policy_;
    std::vector<std::unique_ptr<child>> children_;
    std::function<void(runtime_error)> failed_;
    std::deque<time_point> restarts_;
    bool stopped_ = true;
};

} // namespace chivewharf::runtime
