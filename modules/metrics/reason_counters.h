#pragma once

#include <array>
#include <base/reason.h>
#include <cstdint>

namespace chivewharf::metrics {

/// One counter for each reason of the closed list.
class reason_counters {
public:
    void add(reason why, std::uint64_t n = 1) noexcept { counts_[index(why)] += n; }
    std::uint64_t get(reason why) const noexcept { return counts_[index(why)]; }
    std::uint64_t total() const noexcept
    {
        std::uint64_t sum = 0;
        for (const auto count : counts_)
            sum += count;
        return sum;
    }

private:
    static constexpr std::size_t index(reason why) { return static_cast<std::size_t>(why); }

    std::array<std::uint64_t, enum_count<reason>> counts_{};
};

} // namespace chivewharf::metrics
