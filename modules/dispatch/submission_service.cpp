#include <dispatch/submission_service.h>

#include <algorithm>

namespace chivewharf::dispatch {

using submission::outcome;
using submission::receipt;

namespace {

/// Wait of a request that specifies none and whose submission has ended or is unknown.
constexpr duration default_wait = seconds{60};

} // namespace

submission_service::submission_service(submission::submission_table& table,
                                       const id_authority& authority, reply_sink& replies,
                                       metrics::registry& metrics)
    : table_{table}, authority_{authority}, replies_{replies},
      refusals_{metrics.reasons("chivewharf_refusals_total")}, failures_{metrics.reasons(
                                                                   "chivewharf_failures_total")},
      admitted_{metrics.counter("chivewharf_submissions_admitted_total")},
      resubmissions_{metrics.counter("chivewharf_resubmissions_total")},
      completed_{metrics.counter("chivewharf_submissions_completed_total")}
{
}

void submission_service::apply(std::shared_ptr<const settings::cluster_settings> settings,
                               const customer_directory& customers)
{
    settings_ = std::move(settings);
    customers_ = &customers;
}

void submission_service::refuse(const submission_call& call, reason cause, work_state work,
                                std::string message, duration retry_after)
{
    refusals_.add(cause);
    replies_.reply(call.who,
                   render_refusal(cause, work, call.id.text(), std::move(message), retry_after));
}

void submission_service::submit(const submission_call& call, time_point now)
{
    const auto key = submission::make_key(call.customer, call.id.text());
    const auto digest = digest_body(call.body);
    const auto known = table_.find(key, digest, call.who);
    if (known.kind != receipt::unknown) {
        ++resubmissions_;
        answer_or_wait(call, key, known, now);
        return;
    }
    const auto verdict = authority_.check_id(call.id, call.customer, now);
    if (!verdict.may_start) {
        refuse(call, verdict.refusal.why, verdict.refusal.work, {});
        return;
    }
    const body_limits limits{static_cast<std::size_t>(settings_->callers.max_tasks)};
    auto body = decode_submission(call.body, limits);
    if (!body) {
        refuse(call, body.error().cause, work_state::not_run, std::move(body.error().message));
        return;
    }
    admit(call, std::move(*body), key, digest, verdict, now);
}

const settings::service_settings* submission_service::find_service(std::string_view name) const
{
    const auto found = std::find_if(settings_->services.begin(), settings_->services.end(),
                                    [name](const auto& service) { return service.name == name; });
    return found == settings_->services.end() ? nullptr : &*found;
}

void submission_service::admit(const submission_call& call, submission_body body,
                               const submission::submission_key& key, const body_digest& digest,
                               const id_verdict& verdict, time_point now)
{
    const auto* service = find_service(body.service);
    if (service == nullptr) {
        refuse(call, reason::unknown_service, work_state::not_run,
               "service \"" + body.service + "\" does not exist");
        return;
    }
    if (draining_) {
        refuse(call, reason::draining, work_state::not_run, "this entry host is stopping",
               milliseconds{200});
        return;
    }
    const auto customer = customers_->number(call.customer);
    if (!customer) {
        refuse(call, reason::customer_removed, work_state::not_run, {});
        return;
    }
    const auto deadline =
        now + std::min(body.deadline.value_or(service->default_deadline), service->max_deadline);
    const job_request job{key, *customer, body.service, deadline, &body.tasks};
    const auto admission = dispatcher_->check(job, now);
    if (admission.why != reason::none) {
        refuse(call, admission.why, work_state::not_run, {}, admission.retry_after);
        return;
    }
    submission::submission_request request;
    request.key = key;
    request.customer = call.customer;
    request.id = call.id.text();
    request.service = body.service;
    request.idempotent = service->idempotent;
    request.slot = verdict.slot;
    request.slot_epoch = verdict.epoch;
    request.digest = digest;
    request.deadline = deadline;
    request.tasks = std::move(body.tasks);
    const auto received = table_.admit(std::move(request), call.who, now);
    if (received.kind == receipt::admitted) {
        ++admitted_;
        const job_request queued{key, *customer, body.service, deadline,
                                 &table_.request(key)->tasks};
        waiters_.add(call.who, {key, call.id.text(), now + call.wait.value_or(deadline - now)});
        dispatcher_->enqueue(queued, now);
        return;
    }
    answer_or_wait(call, key, received, now);
}

void submission_service::answer_or_wait(const submission_call& call,
                                        const submission::submission_key& key,
                                        const submission::reception& received, time_point now)
{
    if (received.kind == receipt::answered) {
        if (received.reply->result == outcome::refused)
            refusals_.add(received.reply->why);
        replies_.reply(call.who, render(*received.reply, call.id.text()));
        return;
    }
    auto until = now + default_wait;
    if (const auto* request = table_.request(key))
        until = request->deadline;
    if (call.wait)
        until = now + *call.wait;
    waiters_.add(call.who, {key, call.id.text(), until});
}

void submission_service::fetch(const submission_call& call, time_point now)
{
    const auto key = submission::make_key(call.customer, call.id.text());
    const auto received = table_.fetch(key, call.who);
    if (received.kind != receipt::unknown) {
        answer_or_wait(call, key, received, now);
        return;
    }
    const auto verdict = authority_.check_id(call.id, call.customer, now);
    if (!verdict.may_start)
        refuse(call, verdict.refusal.why, verdict.refusal.work, {});
    else {
        // An issued id that is valid but unknown was never received. An id chosen by the caller
        // does not show its age: its submission may have run and been dropped after the id
        // lifetime.
        const auto work = call.id.issued() ? work_state::not_run : work_state::may_have_run;
        refuse(call, reason::unknown_submission, work, "no submission with this id is held");
    }
}

void submission_service::cancel(const submission_call& call, time_point now)
{
    const auto key = submission::make_key(call.customer, call.id.text());
    // The waiter is registered only by the fetch below, which also delivers the answer.
    dispatcher_->cancel(key, now);
    fetch(call, now);
}

void submission_service::remove_waiter(submission::waiter who)
{
    if (const auto removed = waiters_.remove(who))
        table_.remove_waiter(removed->key, who);
}

void submission_service::tick(time_point now)
{
    for (const auto& [who, request] : waiters_.remove_due(now)) {
        table_.remove_waiter(request.key, who);
        submission::answer pending;
        pending.message = "the submission is still under way";
        replies_.reply(who, render(pending, request.id));
    }
}

void submission_service::on_settled(const submission::submission_key& /*key*/,
                                    const submission::consequence& effect)
{
    if (effect.reply->result == outcome::complete)
        ++completed_;
    else
        failures_.add(effect.reply->why);
    std::optional<caller_answer> rendered;
    for (const auto who : effect.waiters) {
        const auto request = waiters_.remove(who);
        if (!request)
            continue;
        if (!rendered)
            rendered = render(*effect.reply, request->id);
        replies_.reply(who, *rendered);
    }
}

} // namespace chivewharf::dispatch
