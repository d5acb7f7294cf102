#include <operator_cli/call_runner.h>

#include <algorithm>
#include <runtime/timer.h>

namespace chivewharf::operator_cli {

call_runner::call_runner(time_point deadline)
    : deadline_{deadline}, client_{runtime::http_client_limits{}}
{
}

std::vector<runtime::call_result> call_runner::run(std::vector<runtime::http_call> calls)
{
    std::vector<runtime::call_result> results(calls.size());
    auto open = calls.size();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        calls[i].timeout = std::min(calls[i].timeout, remaining());
        client_.send(std::move(calls[i]), [&results, &open, i](runtime::call_result one) {
            results[i] = std::move(one);
            --open;
        });
    }
    while (open > 0)
        g_main_context_iteration(nullptr, TRUE);
    return results;
}

runtime::call_result call_runner::run(runtime::http_call call)
{
    std::vector<runtime::http_call> one;
    one.push_back(std::move(call));
    return std::move(run(std::move(one)).front());
}

void call_runner::pause(duration wait) const
{
    bool over = false;
    runtime::timer timer;
    timer.once(std::min(wait, remaining()), [&over] { over = true; });
    while (!over)
        g_main_context_iteration(nullptr, TRUE);
}

bool call_runner::time_is_up() const
{
    return boot_clock::now() >= deadline_;
}

duration call_runner::remaining() const
{
    return std::max(deadline_ - boot_clock::now(), duration{milliseconds{1}});
}

} // namespace chivewharf::operator_cli
