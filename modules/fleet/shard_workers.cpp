#include <fleet/shard_workers.h>

#include <algorithm>
#include <base/log_line.h>
#include <set>
#include <utility>

namespace chivewharf::fleet {

shard_workers::shard_workers(wire::shard shard, context owner)
    : shard_{std::move(shard)}, owner_{owner}
{
}

shard_workers::~shard_workers()
{
    close();
}

managed_worker* shard_workers::find(const std::string& id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

void shard_workers::acquire(std::uint64_t token, bool wait_for_release, time_point now)
{
    token_ = token;
    takeover_logged_ = false;
    predecessor_leaving_ = wait_for_release;
    for (auto& [id, worker] : workers_) {
        worker.held_by_predecessor = wait_for_release;
        if (!wait_for_release)
            worker.session->acquire(token, now);
    }
}

void shard_workers::released_by_predecessor(const std::string& id, time_point now)
{
    auto* worker = find(id);
    if (worker == nullptr || !worker->held_by_predecessor)
        return;
    worker->held_by_predecessor = false;
    worker->session->acquire(token_, now);
}

void shard_workers::predecessor_gone(time_point now)
{
    predecessor_leaving_ = false;
    for (auto& [id, worker] : workers_) {
        if (!std::exchange(worker.held_by_predecessor, false))
            continue;
        worker.session->acquire(token_, now);
    }
}

bool shard_workers::takeover_complete() const
{
    return acquired() && !workers_.empty() &&
           std::all_of(workers_.begin(), workers_.end(), [](const auto& one) {
               return !one.second.held_by_predecessor && one.second.session->takeover_complete();
           });
}

void shard_workers::log_takeover()
{
    if (takeover_logged_ || !takeover_complete())
        return;
    takeover_logged_ = true;
    log_line{"takeover_complete"}
        .add("shard", to_text(shard_))
        .add("token", token_)
        .add("workers", std::uint64_t{workers_.size()})
        .add("revision", in_use_->revision)
        .write();
}

void shard_workers::add(const worker_entry& entry, std::uint64_t revision, time_point now)
{
    managed_worker added;
    added.added_in = revision;
    added.session =
        std::make_shared<worker_session>(entry, owner_.port, owner_.observer, owner_.runs);
    auto& worker = workers_.insert_or_assign(entry.id, std::move(added)).first->second;
    // The leaving predecessor may have started tasks on a new worker too. Acquiring it would take
    // the worker away from them and make the predecessor give up all its jobs.
    worker.held_by_predecessor = predecessor_leaving_;
    if (acquired() && !leaving_ && !predecessor_leaving_)
        worker.session->acquire(token_, now);
}

void shard_workers::update(managed_worker& worker, const worker_entry& entry, time_point now)
{
    if (entry.incarnation != worker.session->entry().incarnation) {
        owner_.model.forget(entry.id);
        worker.consecutive_failures = 0;
        worker.avoid_until = {};
        worker.last_avoidance = {};
    }
    worker.session->update(entry, now);
}

void shard_workers::list(const std::vector<worker_entry>& entries, std::uint64_t revision,
                         time_point now)
{
    std::set<std::string> listed;
    for (const auto& entry : entries) {
        if (!contains(shard_, entry))
            continue;
        listed.insert(entry.id);
        auto* known = find(entry.id);
        if (known == nullptr)
            add(entry, revision, now);
        else if (known->session->entry() != entry)
            update(*known, entry, now);
    }
    for (auto& [id, worker] : workers_)
        worker.listed = listed.contains(id);
}

bool shard_workers::remove_unlisted(std::uint64_t revision)
{
    for (auto it = workers_.begin(); it != workers_.end();) {
        // A worker with runs is kept until they have ended or their lease has expired.
        if (it->second.listed || !it->second.session->idle()) {
            ++it;
            continue;
        }
        it->second.session->close();
        owner_.model.forget(it->first);
        it = workers_.erase(it);
    }
    std::set<std::string> ids;
    for (const auto& [id, worker] : workers_)
        ids.insert(id);
    const bool changed = ids != in_use_->ids;
    if (changed)
        in_use_ = std::make_shared<const worker_list>(worker_list{revision, std::move(ids)});
    return changed;
}

bool shard_workers::any_to_remove() const
{
    return std::any_of(workers_.begin(), workers_.end(), [](const auto& one) {
        return !one.second.listed && one.second.session->idle();
    });
}

std::vector<std::string> shard_workers::release_idle()
{
    std::vector<std::string> released;
    for (auto& [id, worker] : workers_) {
        if (worker.released || !worker.session->tasks().empty())
            continue;
        worker.released = true;
        worker.session->close();
        released.push_back(id);
    }
    return released;
}

bool shard_workers::all_released() const
{
    return std::all_of(workers_.begin(), workers_.end(),
                       [](const auto& one) { return one.second.released; });
}

void shard_workers::close()
{
    for (auto& [id, worker] : workers_)
        worker.session->close();
}

} // namespace chivewharf::fleet
