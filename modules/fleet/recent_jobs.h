#pragma once

#include <base/time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace chivewharf::fleet {

/// Jobs of the recent past, with a value each. A job is forgotten after a time, and earlier if
/// there are too many: the oldest first.
template <class Value>
class recent_jobs {
public:
    recent_jobs(duration retention, std::size_t max_jobs)
        : retention_{retention}, max_jobs_{max_jobs}
    {
    }

    /// Adds a job unless it is known.
    /// \return true if it was added
    bool add(const std::string& job, Value value, time_point now)
    {
        expire(now);
        if (!jobs_.try_emplace(job, entry{now, value}).second)
            return false;
        by_age_.push_back(job);
        if (by_age_.size() > max_jobs_)
            forget_oldest();
        return true;
    }

    /// Value of a job; null if it is not known. A change of it does not prolong the time.
    const Value* find(const std::string& job, time_point now) const
    {
        return value_of(jobs_.find(job), jobs_.end(), now);
    }
    Value* find(const std::string& job, time_point now)
    {
        return value_of(jobs_.find(job), jobs_.end(), now);
    }

    /// Calls `visit(job, value)` for each known job.
    template <class Visitor>
    void for_each(time_point now, Visitor visit) const
    {
        for (const auto& [job, one] : jobs_) {
            if (now - one.added_at <= retention_)
                visit(job, one.value);
        }
    }

    /// Forgets the jobs whose time is over.
    void expire(time_point now)
    {
        while (!by_age_.empty() && now - jobs_.at(by_age_.front()).added_at > retention_)
            forget_oldest();
    }

    std::size_t size() const noexcept { return jobs_.size(); }

private:
    struct entry {
        time_point added_at;
        Value value;
    };

    template <class Iterator>
    auto value_of(Iterator found, Iterator end, time_point now) const
        -> decltype(&found->second.value)
    {
        const bool known = found != end && now - found->second.added_at <= retention_;
        return known ? &found->second.value : nullptr;
    }

    void forget_oldest()
    {
        jobs_.erase(by_age_.front());
        by_age_.pop_front();
    }

    duration retention_;
    std::size_t max_jobs_;
    std::map<std::string, entry> jobs_;
    std::deque<std::string> by_age_;
};

} // namespace chivewharf::fleet
