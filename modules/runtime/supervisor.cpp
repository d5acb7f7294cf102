#include <runtime/supervisor.h>

#include <base/log_line.h>

namespace chivewharf::runtime {

supervisor::supervisor(std::string name, restart_policy policy)
    : name_{std::move(name)}, policy_{policy}
{
}

void supervisor::add(supervised& part)
{
    children_.push_back(std::make_unique<child>());
    children_.back()->part = &part;
}

result<void, runtime_error> supervisor::start(std::function<void(runtime_error)> failed)
{
    failed_ = std::move(failed);
    stopped_ = false;
    for (auto& one : children_) {
        if (auto started = start_child(*one); !started) {
            stop();
            return started;
        }
    }
    return {};
}

result<void, runtime_error> supervisor::start_child(child& one)
{
    auto started =
        one.part->start([this, &one](const runtime_error& error) { child_failed(one, error); });
    one.running = started.has_value();
    log_line{"part_started"}
        .add("part", one.part->name())
        .add("ok", one.running ? "true" : "false")
        .add("error", started ? "" : started.error().message)
        .write();
    return started;
}

void supervisor::stop()
{
    stopped_ = true;
    for (auto at = children_.rbegin(); at != children_.rend(); ++at) {
        const auto& one = *at;
        one->backoff.cancel();
        if (!one->running)
            continue;
        one->running = false;
        one->part->stop();
        log_line{"part_stopped"}.add("part", one->part->name()).write();
    }
}

bool supervisor::may_restart(time_point now)
{
    while (!restarts_.empty() && now - restarts_.front() > policy_.window)
        restarts_.pop_front();
    if (restarts_.size() >= policy_.max_restarts)
        return false;
    restarts_.push_back(now);
    return true;
}

void supervisor::child_failed(child& one, const runtime_error& error)
{
    // A part may report a failure that happened while it was being stopped.
    if (stopped_)
        return;
    log_line{"part_failed"}
        .add("part", one.part->name())
        .add("error", to_name(error.code))
        .add("message", error.message)
        .error();
    if (one.running) {
        one.running = false;
        one.part->stop();
    }
    if (!may_restart(boot_clock::now())) {
        stop();
        if (failed_)
            failed_({error.code, "part " + one.part->name() + " keeps failing: " + error.message});
        return;
    }
    const auto backoff = policy_.first_backoff * (1 << (restarts_.size() - 1));
    one.backoff.once(backoff, [this, &one] { restart(one); });
}

void supervisor::restart(child& one)
{
    if (auto started = start_child(one); !started)
        child_failed(one, started.error());
}

} // namespace chivewharf::runtime
