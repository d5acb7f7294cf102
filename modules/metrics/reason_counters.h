#pragma once

#include <array>
#include <base/reason.h>
#include <cstdint>

namespace chivewharf::metrics {

/// One counter for each value of the enumeration `reason`.
class reason_counters {
public:
    void add(reason code, std::uint64_t n = 1) noexcept { counts_[index(code)] += n; }
    std::uint64_t get(reason code) const noexcept { return counts_[index(code)]; }
    std::uint64_t total() const noexcept
    {
        std::uint64_t sum = 0;
        for (const auto count : counts_)
            sum += count;
        return sum;
    }

private:
    static constexpr std::size_t index(reason code) { return static_cast<std::size_t>(code); }

    std::array<std::uint64_t, enum_count<reason>> counts_{};
};

} // namespace chivewharf::metrics
