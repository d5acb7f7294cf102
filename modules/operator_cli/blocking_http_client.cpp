#include <operator_cli/blocking_http_client.h>

#include <algorithm>
#include <runtime/timer.h>

namespace chivewharf::operator_cli {

blocking_http_client::blocking_http_client(time_point deadline)
    : deadline_{deadline}, client_{runtime::http_client_limits{}}
{
}

std::vector<runtime::call_result>
blocking_http_client::perform(std::vector<runtime::http_call> calls)
{
    std::vector<runtime::call_result> results(calls.size());
    auto pending = calls.size();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        calls[i].timeout = std::min(calls[i].timeout, remaining());
        client_.send(std::move(calls[i]), [&results, &pending, i](runtime::call_result result) {
            results[i] = std::move(result);
            --pending;
        });
    }
    while (pending > 0)
        g_main_context_iteration(nullptr, TRUE);
    return results;
}

runtime::call_result blocking_http_client::perform(runtime::http_call call)
{
    std::vector<runtime::http_call> calls;
    calls.push_back(std::move(call));
    return std::move(perform(std::move(calls)).front());
}

void blocking_http_client::pause(duration wait) const
{
    bool expired = false;
    runtime::timer timer;
    timer.once(std::min(wait, remaining()), [&expired] { expired = true; });
    while (!expired)
        g_main_context_iteration(nullptr, TRUE);
}

bool blocking_http_client::deadline_passed() const
{
    return boot_clock::now() >= deadline_;
}

duration blocking_http_client::remaining() const
{
    return std::max(deadline_ - boot_clock::now(), duration{milliseconds{1}});
}

} // namespace chivewharf::operator_cli
