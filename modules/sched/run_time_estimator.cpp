#include <sched/run_time_estimator.h>

#include <algorithm>
#include <cmath>

namespace chivewharf::sched {

namespace {

constexpr double declared_weight = 3;    // in observations
constexpr double max_ewma_weight = 32;   // the mean adapts to a change within a few tens of tasks
constexpr double histogram_decay = 0.98; // effective sample of about 50 observations
constexpr double min_bucket_seconds = 1e-3;
constexpr double buckets_per_octave = 4;                 // 64 buckets cover 1 ms to 65 s
constexpr duration default_run_time = milliseconds{200}; // most tasks take 50 ms to 1 s

std::string key_of(std::string_view service, std::string_view kind)
{
    std::string key;
    key.reserve(service.size() + kind.size() + 1);
    key.append(service).push_back('\0');
    return key.append(kind);
}

} // namespace

run_time_estimator::run_time_estimator(std::size_t max_kinds)
    : max_kinds_{std::max<std::size_t>(max_kinds, 1)}
{
}

std::size_t run_time_estimator::bucket_of(double seconds)
{
    if (seconds <= min_bucket_seconds)
        return 0;
    const double position = std::log2(seconds / min_bucket_seconds) * buckets_per_octave;
    return std::min(static_cast<std::size_t>(position), bucket_count - 1);
}

double run_time_estimator::bucket_floor(std::size_t bucket)
{
    return min_bucket_seconds * std::exp2(static_cast<double>(bucket) / buckets_per_octave);
}

const run_time_estimator::entry* run_time_estimator::find(std::string_view service,
                                                          std::string_view kind) const
{
    const auto it = by_key_.find(key_of(service, kind));
    return it == by_key_.end() ? nullptr : &*it->second;
}

run_time_estimator::entry& run_time_estimator::find_or_create(std::string_view service,
                                                              std::string_view kind)
{
    auto key = key_of(service, kind);
    if (const auto it = by_key_.find(key); it != by_key_.end()) {
        entries_.splice(entries_.begin(), entries_, it->second);
        return entries_.front();
    }
    if (entries_.size() == max_kinds_) {
        by_key_.erase(entries_.back().key);
        entries_.pop_back();
    }
    entries_.emplace_front().key = std::move(key);
    by_key_.emplace(entries_.front().key, entries_.begin());
    return entries_.front();
}

duration run_time_estimator::expected(std::string_view service, std::string_view kind,
                                      std::optional<duration> declared) const
{
    const auto* known = find(service, kind);
    if (known == nullptr)
        return declared.value_or(default_run_time);
    if (!declared)
        return from_seconds(known->mean);
    return from_seconds((declared_weight * to_seconds(*declared) + known->count * known->mean) /
                        (declared_weight + known->count));
}

duration run_time_estimator::quantile(std::string_view service, std::string_view kind, double q,
                                      std::optional<duration> declared) const
{
    const auto* known = find(service, kind);
    if (known == nullptr)
        return expected(service, kind, declared);
    const double target_weight = std::clamp(q, 0.0, 1.0) * known->total_weight;
    double cumulative_weight = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        const double weight = known->weights[i];
        if (weight > 0 && cumulative_weight + weight >= target_weight) {
            const double fraction = (target_weight - cumulative_weight) / weight;
            return from_seconds(bucket_floor(i) +
                                fraction * (bucket_floor(i + 1) - bucket_floor(i)));
        }
        cumulative_weight += weight;
    }
    return from_seconds(bucket_floor(bucket_count));
}

std::optional<duration> run_time_estimator::min_run_time(std::string_view service,
                                                         std::string_view kind) const
{
    const auto* known = find(service, kind);
    if (known == nullptr)
        return std::nullopt;
    return known->min_run_time;
}

void run_time_estimator::observe(std::string_view service, std::string_view kind, duration observed,
                                 double speed)
{
    const auto time = std::max(observed, duration{0});
    const double seconds = to_seconds(time) * (speed > 0 ? speed : 1.0);
    auto& known = find_or_create(service, kind);
    known.min_run_time = known.count == 0 ? time : std::min(known.min_run_time, time);
    known.count += 1;
    known.mean += (seconds - known.mean) / std::min(known.count, max_ewma_weight);
    double total = 0;
    for (auto& weight : known.weights)
        weight *= static_cast<float>(histogram_decay);
    known.weights[bucket_of(seconds)] += 1;
    for (const auto weight : known.weights)
        total += weight;
    known.total_weight = total;
}

} // namespace chivewharf::sched
