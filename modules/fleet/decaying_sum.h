#pragma once

#include <base/time.h>
#include <cmath>

namespace chivewharf::fleet {

/// Sum of amounts whose weight decreases exponentially with their age.
class decaying_sum {
public:
    /// \param time_constant age at which the weight of an amount has fallen to 1/e
    explicit decaying_sum(duration time_constant) : time_constant_{time_constant} {}

    void add(double amount, time_point now)
    {
        sum_ = value(now) + amount;
        updated_ = now;
    }

    double value(time_point now) const
    {
        if (sum_ == 0 || now <= updated_)
            return sum_;
        return sum_ * std::exp(-to_seconds(now - updated_) / to_seconds(time_constant_));
    }

    /// Amount for each millisecond over about the last `time_constant`.
    double rate_per_ms(time_point now) const
    {
        return value(now) / (to_seconds(time_constant_) * 1000);
    }

private:
    duration time_constant_;
    double sum_ = 0;
    time_point updated_{};
};

} // namespace chivewharf::fleet
