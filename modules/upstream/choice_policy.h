#pragma once

#include <base/rng.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <upstream/worker.h>

namespace chivewharf::upstream {

/// What a policy ranks a worker by.
struct rank_input {
    double cost;             ///< expected finish of a task of one second at the reference speed
    bool straggler;          ///< below a quarter of the median speed
    std::uint32_t running;   ///< tasks sent by this host
    std::uint32_t slots;     ///< slots that this host may use
    std::uint32_t last_used; ///< number of the last choice of this worker
};

/// Workers with a free slot.
struct candidates {
    std::optional<worker_id> best; ///< lowest rank
    std::span<const worker_id> free;
    std::span<const std::uint32_t> running; ///< indexed by worker_id
};

/// Strategy that picks among workers with a free slot. The shipped one is `least_finish`; the
/// others are baselines of the policy benchmark.
class choice_policy {
public:
    choice_policy() = default;
    choice_policy(const choice_policy&) = delete;
    choice_policy& operator=(const choice_policy&) = delete;
    virtual ~choice_policy() = default;

    /// Rank in the index of free workers; the lowest is `candidates::best`.
    virtual std::uint64_t rank(const rank_input& worker) const = 0;

    /// Picks a worker; none only if there is no candidate.
    virtual std::optional<worker_id> pick(const candidates& from, rng& random) const;
};

/// Shipped policy: least expected finish, stragglers last; workers of equal cost (within 4%) share
/// the work by load and then by turns.
class least_finish final : public choice_policy {
public:
    std::uint64_t rank(const rank_input& worker) const override;
};

/// Baseline: fewest tasks sent by this host.
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
