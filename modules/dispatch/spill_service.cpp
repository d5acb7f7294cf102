#include <dispatch/spill_service.h>

#include <algorithm>

namespace chivewharf::dispatch {

namespace {

call_end end_of(const submission::answer& reply)
{
    if (reply.result == submission::outcome::complete)
        return call_end::answered;
    switch (reply.work) {
    case work_state::not_run:
        return call_end::refused;
    case work_state::ran:
        return call_end::failed;
    case work_state::may_have_run:
        return call_end::lost;
    }
    return call_end::lost;
}

} // namespace

spill_service::spill_service(submission::submission_table& table, task_dispatcher& dispatcher,
                             action_list& actions, metrics::registry& metrics)
    : table_{table}, dispatcher_{dispatcher}, actions_{actions},
      received_{metrics.counter("chivewharf_spills_received_total")},
      refused_{metrics.counter("chivewharf_spills_refused_total")}
{
}

void spill_service::answer(const sender& to, call_end end, std::string message, std::string body)
{
    actions_.add(
        send_peer{to.host, wire::spill_answer{to.request_id, static_cast<std::uint8_t>(end),
                                              std::move(message), std::move(body)}});
}

void spill_service::on_task(const std::string& from, std::uint64_t incarnation,
                            wire::spill_task task, time_point now)
{
    ++received_;
    const sender to{from, task.request_id};
    const auto customer = customers_->number(task.customer);
    const auto deadline = now + milliseconds{task.deadline_ms};
    submission::submission_request request;
    request.key = submission::make_key("spill:" + from + ':' + to_hex(incarnation),
                                       std::to_string(task.request_id));
    request.customer = task.customer;
    request.id = std::move(task.task);
    request.service = task.service;
    request.deadline = deadline;
    request.tasks.push_back({std::move(task.kind), {}, std::move(task.body)});
    const auto key = request.key;
    // A duplicate must not be refused, because the sender would then regard the task as not run.
    if (table_.holds(key))
        return;
    auto cause = draining_ ? reason::draining : reason::customer_removed;
    if (!ready_)
        cause = reason::not_ready;
    else if (customer && !draining_)
        cause =
            dispatcher_.check({key, *customer, task.service, deadline, &request.tasks, true}, now)
                .why;
    if (cause == reason::none &&
        table_.admit(std::move(request), std::nullopt, now).kind != submission::receipt::admitted)
        cause = reason::table_full;
    if (cause != reason::none) {
        ++refused_;
        answer(to, call_end::refused, std::string{to_name(cause)});
        return;
    }
    senders_.emplace(key, to);
    dispatcher_.enqueue({key, *customer, task.service, deadline, &table_.request(key)->tasks, true},
                        now);
}

bool spill_service::awaits(const std::string& host) const
{
    return std::any_of(senders_.begin(), senders_.end(),
                       [&host](const auto& entry) { return entry.second.host == host; });
}

void spill_service::on_settled(const submission::submission_key& key,
                               const submission::consequence& effect)
{
    const auto found = senders_.find(key);
    if (found == senders_.end())
        return;
    const auto to = std::move(found->second);
    senders_.erase(found);
    const auto& reply = *effect.reply;
    answer(to, end_of(reply),
           reply.message.empty() ? std::string{to_name(reply.why)} : reply.message,
           reply.payloads.empty() ? std::string{} : reply.payloads.front());
}

} // namespace chivewharf::dispatch
