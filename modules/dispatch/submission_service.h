#pragma once

#include <base/rng.h>
#include <dispatch/customer_directory.h>
#include <dispatch/id_authority.h>
#include <dispatch/reply_sink.h>
#include <dispatch/submission_decoder.h>
#include <dispatch/task_dispatcher.h>
#include <dispatch/waiter_registry.h>
#include <memory>
#include <metrics/registry.h>
#include <optional>
#include <settings/cluster_settings.h>
#include <string>
#include <string_view>
#include <submission/submission_id.h>
#include <submission/submission_table.h>

namespace chivewharf::dispatch {

/// A request for one submission, at the host that is responsible for its id.
struct submission_call {
    submission::waiter who = 0;
    std::string customer;
    submission::submission_id id;
    std::string_view body;        ///< of a submit request; empty otherwise
    std::optional<duration> wait; ///< none: wait until the deadline
};

/// Handles submit, fetch and cancel requests at the host that is responsible for the id, and
/// answers all callers that wait for the same submission.
class submission_service final : public settlement_observer {
public:
    /// \param authority, replies, metrics must outlive the service
    submission_service(submission::submission_table& table, const id_authority& authority,
                       reply_sink& replies, metrics::registry& metrics);

    /// Sets the dispatcher. Must be called once, right after construction.
    void connect(task_dispatcher& dispatcher) { dispatcher_ = &dispatcher; }

    void apply(std::shared_ptr<const settings::cluster_settings> settings,
               const customer_directory& customers);

    void submit(const submission_call& call, time_point now);
    void fetch(const submission_call& call, time_point now);
    void cancel(const submission_call& call, time_point now);

    /// Removes a waiter whose connection was closed.
    void remove_waiter(submission::waiter who);

    /// Refuses new submissions with `draining` from now on. Resubmissions still wait for the
    /// original submission.
    void begin_drain() noexcept { draining_ = true; }

    /// Answers `pending` to callers whose wait has expired.
    void tick(time_point now);

    std::optional<time_point> next_due() const { return waiters_.next_due(); }
    std::size_t waiting() const noexcept { return waiters_.size(); }

    void on_settled(const submission::submission_key& key,
                    const submission::consequence& effect) override;

private:
    void admit(const submission_call& call, submission_body body,
               const submission::submission_key& key, const body_digest& digest,
               const id_verdict& verdict, time_point now);
    time_point deadline_of(const submission_body& body, time_point now) const;
    const settings::service_settings* find_service(std::string_view name) const;
    void answer_or_wait(const submission_call& call, const submission::submission_key& key,
                        const submission::reception& received, time_point now);
    void refuse(const submission_call& call, reason cause, work_state work, std::string message,
                duration retry_after = {});

    submission::submission_table& table_;
    const id_authority& authority_;
    reply_sink& replies_;
    task_dispatcher* dispatcher_ = nullptr;
    const customer_directory* customers_ = nullptr;
    std::shared_ptr<const settings::cluster_settings> settings_;
    waiter_registry waiters_;
    metrics::reason_counters& refusals_;
    metrics::reason_counters& failures_;
    std::uint64_t& admitted_;
    std::uint64_t& resubmissions_;
    std::uint64_t& completed_;
    bool draining_ = false;
};

} // namespace chivewharf::dispatch
