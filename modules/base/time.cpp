#include <base/time.h>

#include <ctime>

namespace chivewharf {

time_point boot_clock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point{seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
}

wall_ms wall_now_ms() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace chivewharf
