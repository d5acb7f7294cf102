#pragma once

#include <base/rng.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <upstream/worker.h>

namespace chivewharf::upstream {

/// Properties of a worker that a policy ranks it by.
struct rank_input {
    double cost;             ///< expected time for a task that takes 1 s at the reference speed
    bool straggler;          ///< speed below `straggler_ratio` times the median
    std::uint32_t running;   ///< tasks of this host in flight on the worker
    std::uint32_t slots;     ///< slots that this host may use
    std::uint32_t last_used; ///< sequence number of the last task sent to this worker
};

/// Workers with a free slot, from which a policy picks.
struct candidates {
    std::optional<worker_id> best; ///< lowest rank
    std::span<const worker_id> free;
    std::span<const std::uint32_t> running; ///< tasks in flight, indexed by worker_id
};

/// Strategy that picks one of the workers with a free slot. Production uses `least_finish`; the
/// others are baselines for the policy benchmark.
class choice_policy {
public:
    choice_policy() = default;
    choice_policy(const choice_policy&) = delete;
    choice_policy& operator=(const choice_policy&) = delete;
    virtual ~choice_policy() = default;

    /// Rank of a worker with a free slot. The worker with the lowest rank is `candidates::best`.
    virtual std::uint64_t rank(const rank_input& worker) const = 0;

    /// Picks a worker; returns none only if there is no candidate.
    virtual std::optional<worker_id> pick(const candidates& from, rng& random) const;
};

/// Default policy: earliest expected finish, stragglers last. Among workers of equal cost (within
/// 4%), the least loaded one is picked, then the least recently used one.
class least_finish final : public choice_policy {
public:
    std::uint64_t rank(const rank_input& worker) const override;
};

/// Baseline: fewest tasks of this host in flight.
class least_outstanding final : public choice_policy {
public:
    std::uint64_t rank(const rank_input& worker) const override;
};

/// Baseline: any worker with a free slot.
class random_worker final : public choice_policy {
public:
    std::uint64_t rank(const rank_input& worker) const override;
    std::optional<worker_id> pick(const candidates& from, rng& random) const override;
};

/// Baseline: the less loaded of two random workers.
class two_random_choices final : public choice_policy {
public:
    std::uint64_t rank(const rank_input& worker) const override;
    std::optional<worker_id> pick(const candidates& from, rng& random) const override;
};

} // namespace chivewharf::upstream
