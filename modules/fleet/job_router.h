#pragma once

#include <base/rng.h>
#include <base/time.h>
#include <cstdint>
#include <fleet/owner_choice.h>
#include <fleet/owner_view.h>
#include <fleet/pause_monitor.h>
#include <fleet/ports.h>
#include <fleet/request_log.h>
#include <fleet/sent_tasks.h>
#include <fleet/types.h>
#include <functional>
#include <map>
#include <metrics/registry.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// Routes the jobs of the callers that reached this host: chooses an owner for each job, sends the
/// job again where that is safe, and answers the caller once.
class job_router {
public:
    using owners_function = std::function<std::vector<owner_view>(time_point now)>;
    /// Sends a message to the owner on the given host, which may be this one. A result may come
    /// back before the function returns.
    using send_function =
        std::function<void(const std::string& host, wire::message, time_point now)>;

    /// \param seed for the choice among owners with the same load
    job_router(std::string domain, caller_port& callers, metrics::registry& metrics,
               request_log& log, owners_function owners, send_function send, std::uint64_t seed);

    /// Accepts a caller's job. `order.remaining_ms` is the time that the caller waits.
    void submit(std::uint64_t request, wire::job_order order, time_point now);

    /// The caller has left.
    void caller_left(std::uint64_t request, time_point now);

    /// The job's caller has cancelled it: ends it here and tells its owner.
    void cancel(const std::string& job, time_point now);

    bool knows(const std::string& job) const { return jobs_.contains(job); }

    /// Number of jobs of the queue that no owner has.
    std::size_t waiting(const std::string& queue) const;

    void result(const std::string& host, const wire::job_result& result, time_point now);
    void host_lost(const std::string& host, time_point now);
    /// The link to a host is back. If it is still the same process, jobs whose state there is
    /// unknown are sent to it again, but for those whose time is over.
    void host_reconnected(const std::string& host, std::uint64_t incarnation, time_point now);

    /// Sets the failure domains that no job may be sent to.
    /// \param all true if these are all domains: jobs that no owner has are refused at once
    void set_drained_domains(std::set<std::string> domains, bool all)
    {
        drained_domains_ = std::move(domains);
        all_drained_ = all;
    }

    /// Sets the time by which every job, known or new, is answered: at a planned stop. A job that
    /// has not run and cannot end by then, by its estimate, is refused at once.
    void end_by(time_point limit);

    /// Answers given because a planned stop had no time left.
    struct limit_answers {
        std::uint64_t not_run = 0;
        std::uint64_t lost = 0;
    };
    limit_answers answered_at_limit() const noexcept { return answered_at_limit_; }

    /// Sends jobs that wait for an owner, and ends those whose deadline has passed. After a pause
    /// of the process, the callers that have left must have been reported before.
    void tick(time_point now);

    std::size_t jobs() const noexcept { return jobs_.size(); }

    /// Owner hosts that have jobs from this router.
    std::set<std::string> owners_with_jobs() const;

private:
    /// Whether an owner has the job.
    ///  - `unsent`: no owner has it. `sent`: an owner has it.
    ///  - `unknown`: its owner was lost or gave it up, and its tasks may still run.
    enum class job_state : std::uint8_t { unsent, sent, unknown };

    struct routed_job {
        std::vector<std::uint64_t> requests;
        wire::job_order order;
        time_point arrived;
        time_point deadline;
        job_state state = job_state::unsent;
        owner_view owner; ///< current or last owner of the job
        /// Owner whose tasks of this job may still run until `unsafe_until`; none if no task can
        /// run.
        std::optional<owner_view> unsafe_owner;
        time_point unsafe_until{};
        bool safe_after_takeover = false; ///< a successor's complete takeover ends the wait early
        std::set<wire::shard> refused_by; ///< shards that refused it for lack of resources
        /// Smallest retry time that an overloaded owner told; none if none has refused the job.
        std::optional<duration> told_retry;
        bool may_have_run = false;
    };
    using job_map = std::map<std::string, routed_job>;
    struct deferred_result {
        std::string host;
        wire::job_result result;
    };
    /// Defers results that arrive while the table of jobs is being iterated until the iteration has
    /// ended.
    class deferral_scope;

    static void mark_unsafe(routed_job& job, duration limit, time_point now);
    void apply_result(const std::string& host, const wire::job_result& result, time_point now);
    bool safe_to_send(const routed_job& job, const owner_view& owner, time_point now) const;
    owner_choice choose_owner(const routed_job& job, const std::vector<owner_view>& owners,
                              time_point now);
    /// Sends the job to an owner.
    /// \return false if no owner can be asked, or it may not be sent now
    bool dispatch(routed_job& job, time_point now);
    bool dispatch(routed_job& job, const std::vector<owner_view>& owners, time_point now);
    /// True if a caller may still wait for the job: its time is not over, and the process was not
    /// paused since it last read which callers have left.
    bool may_send(const routed_job& job, time_point now) const
    {
        return now < job.deadline && !pause_.paused(now);
    }
    /// Counts a job that is sent to another domain.
    /// \return the name of the reason
    std::string_view count_move(const routed_job& job, const owner_choice& choice);
    bool drained(const owner_view& owner) const
    {
        return drained_domains_.contains(owner.shard.domain);
    }
    /// True if no owner has the job or may have it, and no domain is left to run it.
    bool refused_by_drain(const routed_job& job) const
    {
        return all_drained_ && job.state != job_state::sent && !job.unsafe_owner;
    }
    void finish_drained(job_map::iterator job, time_point now);
    /// True if the job has surely not run and cannot end before the planned stop does.
    bool refused_by_stop(const routed_job& job, time_point now) const;
    void finish_stopping(job_map::iterator job, time_point now);
    /// Answers a job that has no time left.
    void finish_expired(job_map::iterator job, time_point now);
    /// True if the job's time was over because of the planned stop.
    bool ended_by_stop(const routed_job& job, time_point now) const
    {
        return end_by_ && now >= *end_by_ && job.deadline >= *end_by_;
    }
    void send_to(routed_job& job, const owner_view& owner, time_point now);
    /// Sends the job again to the process that may have it, if it may be sent now.
    void restore_at_owner(routed_job& job, time_point now);
    /// The owner has refused the order because of its age: sends it again, at once.
    void on_stale(job_map::iterator job, time_point now);
    void on_refusal(job_map::iterator job, wire::job_end reason, duration retry_after,
                    time_point now);
    void finish(job_map::iterator job, job_answer answer, std::string_view reason,
                duration retry_after, time_point now);
    /// Time after which an unsent job that cannot have run is answered as `not_run`.
    time_point unsent_deadline(const routed_job& job) const;
    /// Tells the owner of the job, if one has it, that this host has given it up.
    void send_cancel(const routed_job& job, time_point now);

    std::string domain_;
    rng random_;
    caller_port& callers_;
    metrics::registry& metrics_;
    request_log& log_;
    owners_function owners_;
    send_function send_;
    sent_tasks sent_;
    job_map jobs_;
    pause_monitor pause_;
    std::map<std::uint64_t, std::string> job_by_request_;
    std::vector<deferred_result> deferred_results_;
    int deferral_depth_ = 0;
    std::set<std::string> drained_domains_;
    bool all_drained_ = false;
    std::optional<time_point> end_by_; ///< none unless a planned stop has begun
    limit_answers answered_at_limit_;
};

} // namespace chivewharf::fleet
