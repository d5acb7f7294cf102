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
    for (auto& entry : children_) {
        if (auto started = start_child(*entry); !started) {
            stop();
            return started;
        }
    }
    return {};
}

result<void, runtime_error> supervisor::start_child(child& entry)
{
    auto started = entry.part->start(
        [this, &entry](const runtime_error& error) { child_failed(entry, error); });
    entry.running = started.has_value();
    log_line{"part_started"}
        .add("part", entry.part->name())
        .add("ok", entry.running ? "true" : "false")
        .add("error", started ? "" : started.error().message)
        .write();
    return started;
}

void supervisor::stop()
{
    stopped_ = true;
    for (auto at = children_.rbegin(); at != children_.rend(); ++at) {
        const auto& entry = *at;
        entry->backoff.cancel();
        if (!entry->running)
            continue;
        entry->running = false;
        entry->part->stop();
        log_line{"part_stopped"}.add("part", entry->part->name()).write();
    }
}

bool supervisor::admit_restart(time_point now)
{
    while (!restarts_.empty() && now - restarts_.front() > policy_.window)
        restarts_.pop_front();
    if (restarts_.size() >= policy_.max_restarts)
        return false;
    restarts_.push_back(now);
    return true;
}

void supervisor::child_failed(child& entry, const runtime_error& error)
{
    // A part may report a failure that happened while it was being stopped.
    if (stopped_)
        return;
    log_line{"part_failed"}
        .add("part", entry.part->name())
        .add("error", to_name(error.code))
        .add("message", error.message)
        .error();
    if (entry.running) {
        entry.running = false;
        entry.part->stop();
    }
    if (!admit_restart(boot_clock::now())) {
        stop();
        if (failed_)
            failed_(
                {error.code, "part " + entry.part->name() + " keeps failing: " + error.message});
        return;
    }
    const auto backoff = policy_.first_backoff * (1 << (restarts_.size() - 1));
    entry.backoff.once(backoff, [this, &entry] { restart(entry); });
}

void supervisor::restart(child& entry)
{
    if (auto started = start_child(entry); !started)
        child_failed(entry, started.error());
}

} // namespace chivewharf::runtime
