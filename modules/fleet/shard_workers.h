#pragma once

#include <base/time.h>
#include <cstdint>
#include <fleet/managed_worker.h>
#include <fleet/outstanding_runs.h>
#include <fleet/ports.h>
#include <fleet/run_time_model.h>
#include <fleet/shard_plan.h>
#include <fleet/types.h>
#include <fleet/worker_session.h>
#include <string>
#include <vector>

namespace chivewharf::fleet {

/// The workers of a shard at its owner: which of them are in use, and how they pass from the
/// predecessor to this owner, and from this owner to its successor.
class shard_workers {
public:
    /// What the workers' sessions and their history refer to. The objects must outlive this one.
    struct context {
        worker_port& port;
        session_observer& observer;
        outstanding_runs& runs;
        run_time_model& model;
    };

    shard_workers(wire::shard shard, context owner);
    ~shard_workers();
    shard_workers(const shard_workers&) = delete;
    shard_workers& operator=(const shard_workers&) = delete;

    worker_map& all() noexcept { return workers_; }
    const worker_map& all() const noexcept { return workers_; }
    /// Null if the worker is not in use.
    managed_worker* find(const std::string& id);

    // Hand-over from the predecessor.

    /// Acquires the workers under the fencing token.
    /// \param wait_for_release true if a leaving predecessor still holds the workers: each is
    ///        acquired only once the predecessor has released it or is gone
    void acquire(std::uint64_t token, bool wait_for_release, time_point now);
    /// The leaving predecessor has released the worker.
    void released_by_predecessor(const std::string& id, time_point now);
    /// The predecessor is gone: acquires the workers that it has not released.
    void predecessor_gone(time_point now);
    /// True if a fencing token is in use.
    bool acquired() const noexcept { return token_ != 0; }
    /// True if no task that a predecessor started can still run on the workers in use.
    bool takeover_complete() const;
    /// Logs a complete takeover, once for each token.
    void log_takeover();

    // The list of workers.

    /// Adds and updates the listed workers of the shard. Those that are not listed get no further
    /// tasks.
    /// \param revision of the list; higher than every earlier one of the process
    void list(const std::vector<worker_entry>& entries, std::uint64_t revision, time_point now);
    /// Removes the workers that are not listed and on which no run is outstanding.
    /// \param revision of the current list
    /// \return true if the set of workers in use has changed
    bool remove_unlisted(std::uint64_t revision);
    /// True if a worker that is no longer listed has become idle.
    bool any_to_remove() const;
    /// The workers on which tasks may be running; their revision is that of their last change.
    const shared_worker_list& in_use() const noexcept { return in_use_; }

    // Hand-over to the successor.

    /// Begins the hand-over: no further worker is acquired.
    void leave() noexcept { leaving_ = true; }
    /// Releases the workers on which no task runs, and that were not released before.
    /// \return their ids
    std::vector<std::string> release_idle();
    bool all_released() const;
    /// Ends all sessions at once.
    void close();

private:
    void add(const worker_entry& entry, std::uint64_t revision, time_point now);
    /// Takes over a changed entry. What was learned of an earlier incarnation is discarded.
    void update(managed_worker& worker, const worker_entry& entry, time_point now);

    wire::shard shard_;
    context owner_;
    worker_map workers_;
    shared_worker_list in_use_ = std::make_shared<const worker_list>();
    std::uint64_t token_ = 0;
    bool takeover_logged_ = false;
    bool predecessor_leaving_ = false; ///< a predecessor still releases its workers
    bool leaving_ = false;
};

} // namespace chivewharf::fleet
