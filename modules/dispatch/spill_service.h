#pragma once

#include <dispatch/action.h>
#include <dispatch/customer_directory.h>
#include <dispatch/spill_targets.h>
#include <dispatch/task_dispatcher.h>
#include <map>
#include <metrics/registry.h>
#include <string>
#include <submission/submission_table.h>

namespace chivewharf::dispatch {

/// Runs tasks that entry hosts of other domains spilled to this host. Each is kept in the
/// submission table as a submission of one task that belongs to the sender, so the same rules
/// decide whether it may start. A spilled task is never spilled again.
class spill_service final : public settlement_observer {
public:
    spill_service(submission::submission_table& table, task_dispatcher& dispatcher,
                  action_list& actions, metrics::registry& metrics);

    void apply(const customer_directory& customers) { customers_ = &customers; }
    void begin_drain() noexcept { draining_ = true; }

    /// Must be called once a configuration is in force; until then every task is refused.
    void set_ready() noexcept { ready_ = true; }

    void on_task(const std::string& from, std::uint64_t incarnation, wire::spill_task task,
                 time_point now);

    /// Number of tasks from other hosts that have not been answered.
    std::size_t serving() const noexcept { return senders_.size(); }

    /// True while a task from the host has not been answered.
    bool awaits(const std::string& host) const;

    void on_settled(const submission::submission_key& key,
                    const submission::consequence& effect) override;

private:
    struct sender {
        std::string host;
        std::uint64_t request_id = 0;
    };

    void answer(const sender& to, call_end end, std::string message, std::string body = {});

    submission::submission_table& table_;
    task_dispatcher& dispatcher_;
    action_list& actions_;
    const customer_directory* customers_ = nullptr;
    std::map<submission::submission_key, sender> senders_;
    std::uint64_t& received_;
    std::uint64_t& refused_;
    bool draining_ = false;
    bool ready_ = false;
};

} // namespace chivewharf::dispatch
