#pragma once

#include <array>
#include <base/time.h>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivewharf::sched {

/// Learns how long the tasks of each (service, kind) run. Run times are normalised: the observed
/// time multiplied by the relative speed of the worker, which is the time on a worker of speed 1.
/// A kind is stored from its first observation on, so names that never ran take no memory. When
/// the bound is reached, the kind observed longest ago is forgotten.
class run_time_estimator {
public:
    /// \param max_kinds bound on the number of stored (service, kind) pairs, at least 1
    explicit run_time_estimator(std::size_t max_kinds = 4096);

    /// Expected normalised run time. The declared value counts as 3 observations, so that a value
    /// that is off by a factor of 10 has lost its influence after some tens of tasks.
    duration expected(std::string_view service, std::string_view kind,
                      std::optional<duration> declared) const;

    /// Decayed quantile of the normalised run time; `expected` for a kind without observations.
    /// \param q quantile in [0, 1]
    duration quantile(std::string_view service, std::string_view kind, double q,
                      std::optional<duration> declared) const;

    /// Shortest run time seen, not normalised; none for a kind without observations. A deadline
    /// below it is refused as `deadline_unreachable`.
    std::optional<duration> min_run_time(std::string_view service, std::string_view kind) const;

    /// Records a run that succeeded. Failures are left out, because a worker that fails at once
    /// would make its tasks look short.
    /// \param speed relative speed of the worker; values that are not positive count as 1
    void observe(std::string_view service, std::string_view kind, duration observed, double speed);

    std::size_t kinds() const noexcept { return entries_.size(); }

private:
    static constexpr std::size_t bucket_count = 64;

    struct entry {
        std::string key;
        double mean = 0; // seconds
        double count = 0;
        duration min_run_time{};
        double total_weight = 0;
        std::array<float, bucket_count> weights{};
    };
    using entries = std::list<entry>;

    static std::size_t bucket_of(double seconds);
    static double bucket_floor(std::size_t bucket);
    const entry* find(std::string_view service, std::string_view kind) const;
    entry& touch(std::string_view service, std::string_view kind);

    std::size_t max_kinds_;
    entries entries_; // observed most recently first
    std::unordered_map<std::string_view, entries::iterator> by_key_;
};

} // namespace chivewharf::sched
