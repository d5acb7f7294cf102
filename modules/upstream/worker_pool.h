#pragma once

#include <base/result.h>
#include <base/rng.h>
#include <base/time.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <upstream/choice_policy.h>
#include <upstream/pool_options.h>
#include <upstream/task_outcome.h>
#include <upstream/upstream_error.h>
#include <upstream/winner_tree.h>
#include <upstream/worker.h>
#include <upstream/worker_health.h>
#include <utility>
#include <vector>

namespace chivewharf::upstream {

/// A worker in the platform's host list.
struct listed_worker {
    std::string name;
    bool leaving = false;
};

/// The workers in the platform's host list. `as_of` is the platform's time stamp of the list,
/// converted to this host's clock.
struct platform_list {
    time_point as_of;
    std::vector<listed_worker> workers;
};

/// Capacity of a service that this host may use; the input of admission control.
struct pool_capacity {
    double total = 0;              ///< usable slots, each weighted by the speed of its worker
    double free = 0;               ///< the free part of `total`
    std::uint32_t total_slots = 0; ///< unweighted number of usable slots
    std::uint32_t free_slots = 0;
    std::uint32_t workers = 0; ///< workers that are not leaving, drained or gone
    std::uint32_t ejected = 0; ///< workers that count against the ejection ceiling
};

/// Cumulative counters for `/metrics`.
struct pool_counters {
    std::uint64_t ejections = 0;
    std::uint64_t ejections_over_ceiling = 0; ///< not carried out because of the ceiling
    std::uint64_t probes = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refusals = 0;
    std::uint64_t lists_ignored = 0;
};

/// The workers of this failure domain, for all services. Selects the worker for each task and
/// tracks the health and speed of the workers from the outcomes of their tasks. Selecting a worker
/// takes time logarithmic in the number of workers.
class worker_pool {
public:
    /// \param policy null means `least_finish`
    explicit worker_pool(pool_options options = {},
                         std::unique_ptr<choice_policy> policy = nullptr);

    /// Adds a worker, or updates the one with the same name. An update keeps running tasks, speed
    /// and health; a lower number of slots takes effect as tasks end. If the address changes, the
    /// worker gets a new id with no history of speed and health. Errors: empty_name, no_slots,
    /// no_connections.
    result<worker_id, upstream_error> put(const worker_config& config);

    /// Removes a worker: it receives no new tasks, and its running tasks end as usual.
    /// Errors: unknown_worker.
    result<void, upstream_error> remove(std::string_view name);

    /// Replaces the options; they apply from the next decision on.
    void set_options(const pool_options& options) { options_ = options; }

    /// Selects a worker with a free slot for a task; none if there is no such worker. The slot is
    /// not occupied until `task_started`.
    /// \param expected run time at the reference speed
    /// \param deadline a borrowed slot is used only if the deadline is at most `borrowed_run_limit`
    /// after `now`
    std::optional<worker_id> choose(time_point now, std::string_view service, duration expected,
                                    time_point deadline, rng& random);

    /// Ends the ejections, pauses and leases that have expired. `choose` does so for its service;
    /// call `tick` every 10 to 50 ms, so that `capacity` is up to date while no worker is chosen.
    void tick(time_point now);

    /// Records that a task was sent to the worker. Call it before the next `choose`.
    void task_started(worker_id worker);

    /// Records the end of a task. Call it once for each `task_started`.
    /// \param run_time time from send to end
    /// \param expected run time at the reference speed, as expected at the start
    void task_ended(worker_id worker, time_point now, task_outcome outcome, duration run_time,
                    duration expected);

    /// Drains or undrains a worker on behalf of an operator. Undrain also cancels a leave notice of
    /// the runner.
    /// Errors: unknown_worker.
    result<void, upstream_error> set_drained(std::string_view name, bool drained);

    /// Records that the runner announced its shutdown in a response header (leave notice).
    void header_leaving(worker_id worker, time_point now);

    /// Applies the platform's list. A list that is empty, older than `list_max_age` or not newer
    /// than the previous one is ignored, and the previous one remains in use. Workers that are not
    /// on the list are unaffected. Returns false if the list was ignored.
    bool apply_list(time_point now, const platform_list& list);

    /// Sets the number of slots of the worker that this host may use. By default it may use all.
    /// \param lease_end set for borrowed slots: no task is started at or after this time
    /// \see slot_sharing
    void set_share(worker_id worker, std::uint32_t slots,
                   std::optional<time_point> lease_end = std::nullopt);

    /// Capacity of a service; all zero if the service is unknown.
    pool_capacity capacity(std::string_view service) const;

    /// Estimated time until a slot is free: zero if one is free, otherwise the mean run time
    /// divided by the number of busy slots. None if this host has no usable slot.
    std::optional<duration> time_to_free_slot(std::string_view service) const;

    std::optional<worker_id> find(std::string_view name) const;
    const worker_config& config(worker_id worker) const { return at(worker).config; }
    worker_state state(worker_id worker) const;
    double speed(worker_id worker) const { return at(worker).speed; }
    std::uint32_t running(worker_id worker) const { return running_[worker]; }
    std::uint32_t share(worker_id worker) const { return at(worker).share; }
    /// Slots that this host may use now, given its share and the health of the worker.
    std::uint32_t usable_slots(worker_id worker) const { return at(worker).usable; }
    /// Slots of the worker, limited by its connections.
    std::uint32_t full_slots(worker_id worker) const { return at(worker).full; }

    /// Workers that were not removed, in no particular order.
    std::vector<worker_id> workers() const;

    const pool_counters& counters() const noexcept { return counters_; }
    const pool_options& options() const noexcept { return options_; }

private:
    static constexpr std::uint32_t no_index = UINT32_MAX;

    using timer_queue = std::set<std::pair<time_point, worker_id>>;

    struct service_state {
        winner_tree own;      // free workers with own slots, by rank
        winner_tree borrowed; // free workers with borrowed slots, by rank
        std::vector<worker_id> free;
        std::vector<worker_id> members;
        std::set<worker_id> probes; // workers whose probe is due and that run no task
        timer_queue timers;         // ends of ejections and refusal pauses
        pool_capacity capacity;
        std::uint32_t busy = 0;
        std::uint32_t outcomes = 0;
        std::uint32_t failures = 0;
        std::uint32_t ended_since_median = 0;
        double median_speed = 1.0;
        double mean_run_seconds = 0;
        bool one_slot_limit_lifted = false;
    };

    struct worker_entry {
        worker_config config;
        worker_health health;
        service_state* service = nullptr;
        double speed = 1.0;
        std::uint32_t full = 0;
        std::uint32_t share = 0;
        std::uint32_t usable = 0;
        std::uint32_t consecutive_refusals = 0;
        std::uint32_t last_used = 0;
        std::uint32_t free_index = no_index;
        std::uint32_t member_index = no_index;
        std::optional<time_point> lease_end;
        std::optional<time_point> paused_until;
        std::optional<time_point> timer_at;
        std::optional<time_point> header_leaving;
        bool list_leaving = false;
        bool drained = false;
        bool gone = false;
        bool share_set = false;
        pool_capacity counted; // what this worker adds to the capacity of the service
        std::uint32_t counted_busy = 0;
        std::uint32_t counted_outcomes = 0;
        std::uint32_t counted_failures = 0;
    };

    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    template <class T>
    using name_map = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

    worker_entry& at(worker_id worker) { return *entries_[worker]; }
    const worker_entry& at(worker_id worker) const { return *entries_[worker]; }
    worker_id allocate_id();
    service_state& find_or_add_service(const std::string& name);
    service_state* find_service(std::string_view name) const;

    void record_outcome(worker_id worker, time_point now, task_outcome outcome, duration run_time,
                        duration expected);
    void record_success(worker_entry& entry, time_point now, duration run_time, duration expected);
    void record_refusal(worker_entry& entry, time_point now);
    void try_eject(worker_entry& entry, time_point now);
    void enforce_ceiling(service_state& state);

    void run_due_timers(service_state& state, time_point now);
    void refresh_after_task(service_state& state);
    void refresh_median(service_state& state);
    void refresh_one_slot_limit(service_state& state);
    void refresh(worker_id worker);
    void refresh_all(service_state& state);
    void refresh_usable(worker_entry& entry);
    void refresh_indexes(worker_id worker, worker_entry& entry);
    void refresh_free_list(worker_id worker, worker_entry& entry, bool listed);
    void refresh_counts(worker_id worker, worker_entry& entry);
    void refresh_timer(worker_id worker, worker_entry& entry);
    void add_to_service(worker_id worker, worker_entry& entry, service_state& state);
    void remove_from_service(worker_id worker, worker_entry& entry);
    void release_id_if_done(worker_id worker);
    std::optional<worker_id> pick(service_state& state, time_point now, bool borrowed_allowed,
                                  rng& random);
    std::optional<worker_id> pick_probe(service_state& state, time_point now,
                                        bool borrowed_allowed);
    bool revoke_if_expired(worker_id worker, time_point now);
    std::uint32_t ejection_limit(const service_state& state) const;
    double pool_failure_share(const service_state& state) const;
    static bool in_service(const worker_entry& entry);

    pool_options options_;
    std::unique_ptr<choice_policy> policy_;
    std::vector<std::unique_ptr<worker_entry>> entries_;
    std::vector<std::uint32_t> running_;
    std::vector<worker_id> reusable_ids_;
    name_map<worker_id> by_name_;
    name_map<std::unique_ptr<service_state>> services_;
    std::optional<time_point> list_as_of_;
    std::uint32_t tasks_started_ = 0;
    pool_counters counters_;
};

} // namespace chivewharf::upstream
