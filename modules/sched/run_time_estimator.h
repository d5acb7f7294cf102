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

/// Estimates the run time of tasks per (service, kind) from observed runs. Run times are normalised
/// to a worker of relative speed 1: the observed time is multiplied by the relative speed of the
/// worker. A kind is stored only once it has been observed, so names of kinds that never ran use no
/// memory. When the maximum number is reached, the least recently observed kind is evicted.
class run_time_estimator {
public:
    /// \param max_kinds maximum number of stored (service, kind) pairs, at least 1
    explicit run_time_estimator(std::size_t max_kinds = 4096);

    /// Expected normalised run time. The declared value is weighted like 3 observations, so that
    /// even a value that is wrong by a factor of 10 has little influence after a few tens of tasks.
    duration expected(std::string_view service, std::string_view kind,
                      std::optional<duration> declared) const;

    /// Quantile of the normalised run time, with recent observations weighted more; `expected` for
    /// a kind without observations.
    /// \param q quantile in [0, 1]
    duration quantile(std::string_view service, std::string_view kind, double q,
                      std::optional<duration> declared) const;

    /// Shortest observed run time, not normalised; none for a kind without observations. Admission
    /// refuses a shorter deadline as `deadline_unreachable`.
    std::optional<duration> min_run_time(std::string_view service, std::string_view kind) const;

    /// Records a successful run. Failed runs must not be recorded, because tasks that fail
    /// immediately would lower the estimate.
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
    entry& find_or_create(std::string_view service, std::string_view kind);

    std::size_t max_kinds_;
    entries entries_; // most recently observed first
    std::unordered_map<std::string_view, entries::iterator> by_key_;
};

} // namespace chivewharf::sched
