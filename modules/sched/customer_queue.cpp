#include <sched/customer_queue.h>

#include <algorithm>
#include <utility>

namespace chivewharf::sched {

namespace {

bool goes_later(const queued_task& a, const queued_task& b)
{
    // The back of the vector goes first, so among equally long tasks the lowest index must sort
    // last.
    return a.expected != b.expected ? a.expected < b.expected : a.index > b.index;
}

} // namespace

void customer_queue::add(job_handle job, time_point arrived, std::vector<queued_task> tasks)
{
    auto& state = jobs_[job];
    state.arrived = arrived;
    state.position = {.is_new = true, .sequence = next_sequence_++, .job = job};
    std::sort(tasks.begin(), tasks.end(), goes_later);
    for (const auto& task : tasks)
        state.remaining += task.expected;
    tasks_ += tasks.size();
    work_ += state.remaining;
    state.ready = std::move(tasks);
    index(state);
}

std::optional<customer_queue::head> customer_queue::front() const
{
    if (order_index_.empty())
        return std::nullopt;
    const auto handle = order_index_.begin()->job;
    const auto& job = jobs_.at(handle);
    return head{handle, job.ready.back(), job.arrived};
}

void customer_queue::pop_front()
{
    const auto it = jobs_.find(order_index_.begin()->job);
    auto& job = it->second;
    unindex(job);
    const auto task = job.ready.back();
    job.ready.pop_back();
    --tasks_;
    work_ -= task.expected;
    job.remaining -= task.expected;
    job.position.is_new = false;
    if (job.ready.empty() && job.deferred.empty())
        jobs_.erase(it);
    else
        index(job);
}

void customer_queue::put_back(job_handle job, time_point arrived, queued_task task)
{
    auto& state = find_or_add_started(job, arrived);
    unindex(state);
    state.remaining += task.expected;
    ++tasks_;
    work_ += task.expected;
    insert_ready(state, task);
    index(state);
}

void customer_queue::defer(const deferred_task& task, time_point arrived)
{
    auto& state = find_or_add_started(task.job, arrived);
    unindex(state);
    state.remaining += task.task.expected;
    ++tasks_;
    work_ += task.task.expected;
    state.deferred.push_back(task);
    index(state);
}

void customer_queue::release(const deferred_task& task)
{
    auto& state = jobs_.at(task.job);
    unindex(state);
    std::erase_if(state.deferred,
                  [&](const deferred_task& other) { return other.task.index == task.task.index; });
    insert_ready(state, task.task);
    index(state);
}

std::optional<customer_queue::removed_job> customer_queue::remove(job_handle job)
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end())
        return std::nullopt;
    auto removed = extract(job, it->second);
    jobs_.erase(it);
    return removed;
}

std::vector<customer_queue::removed_job> customer_queue::clear()
{
    std::vector<removed_job> removed;
    removed.reserve(jobs_.size());
    for (auto& [handle, job] : jobs_)
        removed.push_back(extract(handle, job));
    jobs_.clear();
    // The result must not depend on the iteration order of the hash map, or runs with the same
    // input would not be reproducible.
    std::sort(removed.begin(), removed.end(),
              [](const removed_job& a, const removed_job& b) { return a.job < b.job; });
    return removed;
}

customer_queue::job_state& customer_queue::find_or_add_started(job_handle job, time_point arrived)
{
    const auto [it, is_new] = jobs_.try_emplace(job);
    if (is_new) {
        it->second.arrived = arrived;
        it->second.position = {.is_new = false, .sequence = next_sequence_++, .job = job};
    }
    return it->second;
}

void customer_queue::insert_ready(job_state& job, queued_task task)
{
    job.ready.insert(std::upper_bound(job.ready.begin(), job.ready.end(), task, goes_later), task);
}

void customer_queue::index(job_state& job)
{
    if (job.ready.empty())
        return;
    job.position.key = order_->key({job.remaining, job.arrived});
    order_index_.insert(job.position);
}

void customer_queue::unindex(const job_state& job)
{
    if (!job.ready.empty())
        order_index_.erase(job.position);
}

customer_queue::removed_job customer_queue::extract(job_handle handle, job_state& job)
{
    unindex(job);
    tasks_ -= job.ready.size() + job.deferred.size();
    work_ -= job.remaining;
    return {handle, std::move(job.ready), std::move(job.deferred)};
}

} // namespace chivewharf::sched
