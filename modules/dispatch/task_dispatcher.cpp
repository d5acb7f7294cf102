#include <dispatch/task_dispatcher.h>

#include <algorithm>
#include <cmath>
#include <dispatch/json_text.h>

namespace chivewharf::dispatch {

using submission::attempt_end;
using submission::submission_key;

/// A configured service with its queue, admission control and retry budget.
struct task_dispatcher::service_state {
    service_state(sched::limits& limits, const sched::job_order& order) : queue{limits, order} {}

    settings::service_settings config;
    sched::fair_queue queue;
    sched::admission admission;
    sched::retry_budget retries;
    time_point last_admitted{};
};

/// A submission that has queued or sent tasks.
struct task_dispatcher::job {
    submission_key key;
    service_state* service = nullptr;
    std::size_t tasks = 0;
    std::vector<call_id> calls; ///< sends in flight
    bool settled = false;
    bool spilled = false;
};

/// A task that was handed to the shell for sending and whose outcome is not known yet.
struct task_dispatcher::call {
    submission_key key;
    sched::task_pick pick;
    std::string kind;
    service_state* service = nullptr;
    upstream::worker_id worker = 0;
    std::string spilled_to; ///< host of a remote domain; empty for a worker of this domain
    std::uint32_t attempt = 1;
    std::uint8_t slot = submission::no_slot;
    std::uint64_t slot_epoch = 0;
    time_point deadline;
    time_point sent_at;
};

namespace {

/// Expected queueing time above which a task is spilled. At 85% load 100 ms wasted more messages
/// (15.8% against 13.5%) for the same 99th percentile; 300 ms raised the percentile by 10%.
constexpr duration min_spill_wait = milliseconds{200};

/// Tasks that this host's own slots can start within this time do not count towards the backlog
/// for which slots are borrowed, because a grant costs three messages. At 340 workers 100 ms cut
/// these messages from 22.9% to 13.2%; 200 ms raised response times.
constexpr duration own_slot_window = milliseconds{100};

/// Upper bound of the backlog announced to other hosts.
constexpr std::size_t max_announced_backlog = 1000;

/// After this long without an admission, a service with an empty queue admits one submission even
/// if its estimates would refuse it. The estimates are corrected only by tasks that run, so after a
/// few slow answers a customer's submissions with short deadlines could otherwise be refused
/// permanently.
constexpr duration estimate_probe_interval = seconds{5};

/// How long after its deadline the answer to a spilled task is still accepted.
constexpr duration spill_answer_margin = milliseconds{200};

upstream::pool_options pool_options_of(const settings::policy_settings& policy)
{
    upstream::pool_options options;
    options.eject_after_failures = static_cast<std::uint32_t>(policy.eject_failures);
    options.eject_failure_share = policy.eject_failure_share;
    options.eject_min_tasks = static_cast<std::uint32_t>(policy.eject_min_tasks);
    options.eject_pool_ratio = policy.eject_pool_ratio;
    options.eject_ceiling = policy.eject_max_share;
    options.eject_first = policy.eject_first;
    options.eject_max = policy.eject_max;
    options.successes_per_slot = static_cast<std::uint32_t>(policy.restore_successes);
    options.straggler_ratio = policy.straggler_ratio;
    return options;
}

sched::job_handle handle_of(const submission_key& key)
{
    return key.low;
}

std::optional<duration> declared_run_time(const submission::task_request& task)
{
    if (task.declared <= duration{0})
        return std::nullopt;
    return task.declared;
}

upstream::task_outcome pool_outcome(call_end end)
{
    using upstream::task_outcome;
    switch (end) {
    case call_end::answered:
    case call_end::truncated:
    case call_end::too_large:
        return task_outcome::ok;
    case call_end::failed:
        return task_outcome::failed;
    case call_end::refused:
        return task_outcome::refused_not_run;
    case call_end::not_sent:
        return task_outcome::connect_failed;
    case call_end::lost:
        return task_outcome::lost;
    case call_end::silent:
        return task_outcome::silent;
    case call_end::withheld:
    case call_end::aborted:
        return task_outcome::withheld;
    }
    return task_outcome::lost;
}

std::unique_ptr<upstream::choice_policy> make_choice(worker_choice choice)
{
    switch (choice) {
    case worker_choice::least_outstanding:
        return std::make_unique<upstream::least_outstanding>();
    case worker_choice::random_worker:
        return std::make_unique<upstream::random_worker>();
    case worker_choice::two_random_choices:
        return std::make_unique<upstream::two_random_choices>();
    case worker_choice::least_finish:
        break;
    }
    return std::make_unique<upstream::least_finish>();
}

upstream::sharing_options sharing_options_of(const policy_options& options)
{
    upstream::sharing_options sharing;
    sharing.split = options.split;
    return sharing;
}

std::unique_ptr<sched::job_order> make_order(job_ordering order)
{
    if (order == job_ordering::first_come)
        return std::make_unique<sched::first_come>();
    return std::make_unique<sched::shortest_remaining_work>();
}

} // namespace

task_dispatcher::task_dispatcher(submission::submission_table& table, const start_guard& guard,
                                 settlement_observer& observer, metrics::registry& metrics,
                                 action_list& actions, rng& random, const identity& self,
                                 policy_options options)
    : options_{options}, table_{table}, guard_{guard}, observer_{observer}, actions_{actions},
      random_{random}, retry_reasons_{metrics.reasons("chivewharf_retries_total")},
      queue_wait_{metrics.histogram("chivewharf_queue_wait_seconds")},
      run_time_{metrics.histogram("chivewharf_run_time_seconds")},
      starts_{metrics.counter("chivewharf_task_starts_total")},
      late_results_{metrics.counter("chivewharf_late_results_total")}, audit_{metrics},
      spills_{metrics.counter("chivewharf_spills_sent_total")}, order_{make_order(options.order)},
      pool_{{}, make_choice(options.choice)}, sharing_{pool_, self.host, self.incarnation,
                                                       sharing_options_of(options)},
      next_call_{self.incarnation}
{
}

task_dispatcher::~task_dispatcher() = default;

void task_dispatcher::apply(const settings::cluster_settings& settings,
                            const customer_directory& customers, std::string_view domain,
                            time_point now)
{
    pool_.set_options(pool_options_of(settings.policy));
    sharing_.set_lease(settings.policy.grant);
    apply_services(settings, now);
    apply_customers(settings, customers, now);
    apply_workers(settings, domain, now);
}

void task_dispatcher::apply_services(const settings::cluster_settings& settings, time_point now)
{
    std::set<std::string_view> wanted;
    for (const auto& config : settings.services) {
        wanted.insert(config.name);
        auto& service = services_[config.name];
        if (!service)
            service = std::make_unique<service_state>(limits_, *order_);
        service->config = config;
        sched::admission_policy policy;
        policy.max_customer_tasks =
            static_cast<std::size_t>(settings.policy.max_queued_per_customer);
        policy.max_tasks = static_cast<std::size_t>(config.max_queued);
        service->admission.set_policy(policy);
    }
    std::vector<submission_key> orphans;
    for (const auto& [handle, entry] : jobs_) {
        if (!wanted.contains(entry.service->config.name) && !entry.settled)
            orphans.push_back(entry.key);
    }
    for (const auto& key : orphans)
        fail(key, reason::service_removed, "the service was removed from the configuration", now);
}

void task_dispatcher::apply_customers(const settings::cluster_settings& settings,
                                      const customer_directory& customers, time_point now)
{
    std::set<sched::customer_id> wanted;
    for (const auto& config : settings.customers) {
        const auto customer = *customers.number(config.name);
        wanted.insert(customer);
        const auto concurrency = static_cast<std::uint32_t>(config.max_running);
        // The settings have been validated, so these calls cannot fail.
        sched::limit_policy limit{config.rate, config.burst, concurrency};
        if (!options_.limits)
            limit = {};
        (void)limits_.set_customer(customer, limit, now);
        for (auto& [name, service] : services_) {
            sched::share_policy share;
            share.weight = config.weight;
            if (const auto found = config.min_share.find(name); found != config.min_share.end())
                share.min_share = found->second;
            if (const auto found = config.max_share.find(name); found != config.max_share.end())
                share.max_share = found->second;
            (void)service->queue.set_customer(customer, share);
        }
    }
    for (const auto customer : known_customers_) {
        if (!wanted.contains(customer))
            remove_customer(customer, now);
    }
    known_customers_ = std::move(wanted);
}

void task_dispatcher::remove_customer(sched::customer_id customer, time_point now)
{
    limits_.remove_customer(customer);
    std::vector<submission_key> orphans;
    for (auto& [name, service] : services_) {
        for (const auto& removed : service->queue.remove_customer(customer)) {
            if (const auto found = jobs_.find(removed.job); found != jobs_.end())
                orphans.push_back(found->second.key);
        }
    }
    for (const auto& key : orphans)
        fail(key, reason::customer_removed, "the customer was removed from the configuration", now);
}

void task_dispatcher::apply_workers(const settings::cluster_settings& settings,
                                    std::string_view domain, time_point now)
{
    std::set<std::string_view> wanted;
    for (const auto& worker : settings.upstreams) {
        if (worker.domain != domain)
            continue;
        wanted.insert(worker.name);
        (void)pool_.put({worker.name, to_text(worker.address), worker.service,
                         static_cast<std::uint32_t>(worker.slots),
                         static_cast<std::uint32_t>(worker.connections)});
    }
    for (const auto worker : pool_.workers()) {
        const auto name = pool_.config(worker).name;
        if (!wanted.contains(name))
            (void)pool_.remove(name);
    }
    sharing_.workers_changed(now);
}

task_dispatcher::service_state* task_dispatcher::find_service(std::string_view name)
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second.get();
}

sched::admission_verdict task_dispatcher::check(const job_request& wanted, time_point now)
{
    auto* service = find_service(wanted.service);
    if (service == nullptr)
        return {reason::unknown_service, {}, {}};
    sched::admission_request request;
    request.customer = wanted.customer;
    request.tasks = wanted.tasks->size();
    request.deadline = wanted.deadline;
    request.min_run_time = duration{0};
    for (const auto& task : *wanted.tasks) {
        const auto expected =
            estimator_.expected(wanted.service, task.kind, declared_run_time(task));
        request.work += expected;
        request.max_run_time = std::max(request.max_run_time, expected);
        if (const auto least = estimator_.min_run_time(wanted.service, task.kind))
            request.min_run_time = std::max(*request.min_run_time, *least);
    }
    if (*request.min_run_time == duration{0})
        request.min_run_time.reset();
    if (pool_.capacity(wanted.service).workers == 0)
        return {reason::no_upstream, {}, milliseconds{500}};
    if (!options_.limits)
        return {};
    refresh_capacity(*service);
    auto verdict = service->admission.decide(request, service->queue, limits_, now, random_);
    const bool by_estimate =
        verdict.why == reason::predicted_wait || verdict.why == reason::deadline_unreachable;
    if (by_estimate && service->queue.queued_tasks() == 0 &&
        now - service->last_admitted >= estimate_probe_interval)
        verdict = {};
    if (verdict.why == reason::none)
        service->last_admitted = now;
    return verdict;
}

void task_dispatcher::enqueue(const job_request& request, time_point now)
{
    auto* service = find_service(request.service);
    std::vector<sched::queued_task> tasks;
    tasks.reserve(request.tasks->size());
    std::uint32_t index = 0;
    for (const auto& task : *request.tasks)
        tasks.push_back(
            {index++, estimator_.expected(request.service, task.kind, declared_run_time(task))});
    const auto handle = handle_of(request.key);
    jobs_[handle] = {request.key, service, tasks.size(), {}, false, request.spilled};
    if (!service->queue.enqueue(request.customer, handle, std::move(tasks), now))
        fail(request.key, reason::internal, "the submission could not be queued", now);
}

void task_dispatcher::start_queued_tasks(clock_reading now)
{
    for (auto& [name, service] : services_) {
        start_service_tasks(*service, now);
        sharing_.set_backlog(name, backlog(*service));
    }
}

std::uint32_t task_dispatcher::backlog(const service_state& service) const
{
    const auto queued = std::min<std::size_t>(service.queue.queued_tasks(), max_announced_backlog);
    if (queued == 0)
        return 0;
    const auto interval = pool_.time_to_free_slot(service.config.name);
    if (!interval || *interval <= duration::zero())
        return static_cast<std::uint32_t>(queued);
    const auto startable = static_cast<std::size_t>(own_slot_window / *interval);
    return static_cast<std::uint32_t>(queued - std::min(queued, startable));
}

void task_dispatcher::refresh_capacity(service_state& service)
{
    const auto capacity = pool_.capacity(service.config.name);
    // A host that is not the home (the granting host) of any worker must borrow slots, and it
    // borrows only for a backlog. With a capacity of 0, admission would refuse everything and no
    // backlog would form.
    const auto min_capacity = capacity.workers > 0 ? 1U : 0U;
    service.queue.set_capacity(
        std::max(min_capacity, static_cast<std::uint32_t>(std::lround(capacity.total))));
}

void task_dispatcher::start_service_tasks(service_state& service, clock_reading now)
{
    if (service.queue.queued_tasks() == 0)
        return;
    refresh_capacity(service);
    const auto& name = service.config.name;
    while (const auto pick = service.queue.next(now.boot)) {
        const auto found = jobs_.find(pick->job);
        const auto* request = table_.request(found->second.key);
        if (request == nullptr || request->deadline <= now.boot) {
            service.queue.remove_job(pick->job);
            continue;
        }
        if (!guard_.may_start(request->slot, request->slot_epoch, now.boot)) {
            fail(found->second.key, reason::ownership_unproved,
                 "the lease on the id's slot lapsed before the start", now.boot);
            continue;
        }
        const auto worker = pool_.choose(now.boot, name, pick->cost, request->deadline, random_);
        if (worker)
            send_to_worker(service, *pick, found->second, *worker, now);
        else if (!try_spill(service, *pick, found->second, now))
            return;
    }
}

call_id task_dispatcher::register_call(service_state& service, const sched::task_pick& pick,
                                       job& parent, std::uint32_t attempt, clock_reading now)
{
    service.queue.started(pick, now.boot);
    if (attempt == 1)
        service.retries.first_try();
    queue_wait_.observe(now.boot - pick.arrived);
    const auto* request = table_.request(parent.key);
    call sent_call;
    sent_call.key = parent.key;
    sent_call.pick = pick;
    sent_call.kind = request->tasks[pick.task].kind;
    sent_call.service = &service;
    sent_call.attempt = attempt;
    sent_call.slot = request->slot;
    sent_call.slot_epoch = request->slot_epoch;
    sent_call.deadline = request->deadline;
    sent_call.sent_at = now.boot;
    const auto number = next_call_++;
    calls_.emplace(number, std::move(sent_call));
    parent.calls.push_back(number);
    return number;
}

void task_dispatcher::send_to_worker(service_state& service, const sched::task_pick& pick,
                                     job& parent, upstream::worker_id worker, clock_reading now)
{
    const auto attempt = table_.may_start(parent.key, pick.task, now.boot);
    if (!attempt) {
        service.queue.remove_job(pick.job);
        return;
    }
    const auto number = register_call(service, pick, parent, *attempt, now);
    auto& sent_call = calls_.at(number);
    sent_call.worker = worker;
    audit_.task_started(pool_.state(worker));
    pool_.task_started(worker);
    ++starts_;
    add_send_action(*table_.request(parent.key), number, sent_call, now);
}

bool task_dispatcher::try_spill(service_state& service, const sched::task_pick& pick, job& parent,
                                clock_reading now)
{
    const auto capacity = std::max(1U, service.queue.capacity());
    const bool no_slots = pool_.capacity(service.config.name).total_slots == 0;
    if (parent.spilled || (!no_slots && service.queue.queued_work() / capacity < min_spill_wait))
        return false;
    const auto* request = table_.request(parent.key);
    // The remote host cannot check this host's leases, so the lease must last until the deadline.
    if (guard_.start_limit(request->slot) < request->deadline)
        return false;
    const auto target = targets_.best(service.config.name, now.boot);
    if (!target)
        return false;
    const auto attempt = table_.may_start(parent.key, pick.task, now.boot);
    if (!attempt) {
        service.queue.remove_job(pick.job);
        return true;
    }
    const auto number = register_call(service, pick, parent, *attempt, now);
    auto& sent_call = calls_.at(number);
    sent_call.spilled_to = *target;
    ++spills_;
    targets_.sent(*target, service.config.name);
    spill_deadlines_.emplace(sent_call.deadline + spill_answer_margin, number);
    add_spill_action(*table_.request(parent.key), number, sent_call, now);
    return true;
}

void task_dispatcher::add_spill_action(const submission::submission_request& request,
                                       call_id number, const call& sent_call, clock_reading now)
{
    wire::spill_task task;
    task.request_id = number;
    task.customer = request.customer;
    task.service = request.service;
    task.kind = sent_call.kind;
    task.task = request.id + '/' + std::to_string(sent_call.pick.task);
    task.attempt = sent_call.attempt;
    task.deadline_ms = static_cast<std::uint32_t>(to_ms(sent_call.deadline - now.boot));
    task.body = request.tasks[sent_call.pick.task].payload;
    actions_.add(send_peer{sent_call.spilled_to, std::move(task)});
}

void task_dispatcher::spill_answered(const std::string& host, wire::spill_answer answer,
                                     time_point now)
{
    const auto found = calls_.find(answer.request_id);
    if (found == calls_.end() || found->second.spilled_to != host) {
        ++late_results_;
        return;
    }
    call_report report;
    report.end =
        answer.end < enum_count<call_end> ? static_cast<call_end>(answer.end) : call_end::lost;
    report.body = std::move(answer.body);
    report.message = std::move(answer.message);
    task_ended(answer.request_id, std::move(report), now);
}

void task_dispatcher::peer_down(const std::string& host, time_point now)
{
    targets_.remove(host);
    std::vector<call_id> lost;
    for (const auto& [number, sent_call] : calls_) {
        if (sent_call.spilled_to == host)
            lost.push_back(number);
    }
    for (const auto number : lost)
        task_ended(number, {call_end::lost, {}, "the link to " + host + " ended", false}, now);
}

void task_dispatcher::expire_spills(time_point now)
{
    while (!spill_deadlines_.empty() && spill_deadlines_.begin()->first <= now) {
        const auto number = spill_deadlines_.begin()->second;
        spill_deadlines_.erase(spill_deadlines_.begin());
        task_ended(number, {call_end::silent, {}, "no answer from the other domain", false}, now);
    }
}

wire::load_report task_dispatcher::load_report() const
{
    wire::load_report report;
    for (const auto& [name, service] : services_) {
        const auto free = pool_.capacity(name).free_slots;
        if (free > 0 && service->queue.queued_tasks() == 0)
            report.services.push_back({name, free});
    }
    return report;
}

void task_dispatcher::add_send_action(const submission::submission_request& request, call_id number,
                                      const call& sent_call, clock_reading now)
{
    const auto& config = pool_.config(sent_call.worker);
    const auto limit = std::min(sent_call.deadline, guard_.start_limit(sent_call.slot));
    send_task send;
    send.call = number;
    send.worker = config.name;
    send.address = config.address;
    // The submission id of a spilled task already ends in the task number, which the sender
    // appended, so runners see the same task name in every domain.
    send.task = jobs_.at(sent_call.pick.job).spilled
                    ? request.id
                    : request.id + '/' + std::to_string(sent_call.pick.task);
    send.attempt = sent_call.attempt;
    send.remaining = sent_call.deadline - now.boot;
    send.start_by = now.wall + to_ms(limit - now.boot);
    send.kind = sent_call.kind;
    send.customer = request.customer;
    send.payload = request.tasks[sent_call.pick.task].payload;
    actions_.add(std::move(send));
}

bool task_dispatcher::confirm_start(call_id number, time_point now) const
{
    const auto found = calls_.find(number);
    if (found == calls_.end())
        return false;
    const auto& sent_call = found->second;
    return now < sent_call.deadline && guard_.may_start(sent_call.slot, sent_call.slot_epoch, now);
}

submission::attempt_result task_dispatcher::to_attempt_result(call_report& report)
{
    switch (report.end) {
    case call_end::answered:
        if (!is_json(report.body))
            return {attempt_end::failed, reason::task_failed, {}, "the answer is not JSON"};
        return {attempt_end::done, reason::none, std::move(report.body), {}};
    case call_end::failed:
        return {attempt_end::failed, reason::task_failed, {}, std::move(report.message)};
    case call_end::truncated:
        return {attempt_end::failed, reason::answer_truncated, {}, std::move(report.message)};
    case call_end::too_large:
        return {attempt_end::failed, reason::answer_too_large, {}, std::move(report.message)};
    case call_end::refused:
    case call_end::not_sent:
        return {attempt_end::not_run, reason::no_upstream, {}, std::move(report.message)};
    case call_end::withheld:
        return {attempt_end::not_run, reason::ownership_unproved, {}, std::move(report.message)};
    case call_end::lost:
    case call_end::silent:
    case call_end::aborted:
        return {attempt_end::lost, reason::answer_lost, {}, std::move(report.message)};
    }
    return {};
}

void task_dispatcher::record_outcome(const call& ended, const call_report& report, time_point now)
{
    if (!ended.spilled_to.empty()) {
        targets_.answered(ended.spilled_to, ended.service->config.name);
        return;
    }
    const auto run_time = now - ended.sent_at;
    if (report.end == call_end::answered) {
        run_time_.observe(run_time);
        estimator_.observe(ended.service->config.name, ended.kind, run_time,
                           pool_.speed(ended.worker));
    }
    pool_.task_ended(ended.worker, now, pool_outcome(report.end), run_time, ended.pick.cost);
    if (report.leaving) {
        pool_.header_leaving(ended.worker, now);
        sharing_.note_leaving(now, pool_.config(ended.worker).name);
    }
}

void task_dispatcher::task_ended(call_id number, call_report report, time_point now)
{
    const auto found = calls_.find(number);
    if (found == calls_.end())
        return;
    const auto ended = std::move(found->second);
    calls_.erase(found);
    if (!ended.spilled_to.empty())
        spill_deadlines_.erase({ended.deadline + spill_answer_margin, number});
    record_outcome(ended, report, now);
    auto result = to_attempt_result(report);
    const auto cause = result.why;
    const bool ran = result.end != attempt_end::not_run;
    const auto effect =
        table_.finish_task(ended.key, ended.pick.task, ended.attempt, std::move(result), now);
    if (!effect.matched)
        ++late_results_;
    const auto used = now - ended.sent_at;
    if (ran)
        usage_[ended.pick.customer] += to_seconds(used);
    std::erase(jobs_.at(ended.pick.job).calls, number);
    auto& queue = ended.service->queue;
    if (effect.queued_again && ran)
        audit_.task_resent(ended.service->config.idempotent && jobs_.at(ended.pick.job).tasks == 1);
    if (effect.queued_again)
        retry(ended, cause, now);
    else if (ran)
        queue.ended(ended.pick.customer, ended.pick.cost, used);
    else
        queue.not_run(ended.pick);
    settle(ended.key, effect);
    release(ended.pick.job);
}

void task_dispatcher::retry(const call& ended, reason cause, time_point now)
{
    auto& service = *ended.service;
    // With an uncoordinated split, refusals are part of normal operation, and the retry budget
    // would turn them into failures.
    const bool budgeted =
        options_.limits && options_.split != upstream::capacity_split::uncoordinated;
    if (budgeted && cause != reason::ownership_unproved && !service.retries.take()) {
        service.queue.not_run(ended.pick);
        fail(ended.key, reason::retry_budget_spent, "the service's retry budget is spent", now);
        return;
    }
    retry_reasons_.add(cause);
    const auto wait = sched::retry_budget::backoff(ended.attempt - 1, random_);
    if (!service.queue.put_back(ended.pick, now + wait))
        fail(ended.key, reason::customer_removed, "the customer was removed", now);
}

submission::consequence task_dispatcher::cancel(const submission_key& key, time_point now)
{
    auto effect = table_.cancel(key, now);
    settle(key, effect);
    return effect;
}

void task_dispatcher::fail(const submission_key& key, reason cause, const std::string& message,
                           time_point now)
{
    settle(key, table_.fail(key, cause, message, now));
}

void task_dispatcher::settle(const submission_key& key, const submission::consequence& effect)
{
    if (!effect.reply)
        return;
    const auto handle = handle_of(key);
    auto* observer = &observer_;
    if (const auto found = jobs_.find(handle); found != jobs_.end()) {
        if (found->second.spilled)
            observer = spill_observer_;
        found->second.settled = true;
        audit_.submission_settled(*effect.reply, found->second.tasks, found->second.calls.size());
        found->second.service->queue.remove_job(handle);
        if (!effect.abort_tasks.empty()) {
            for (const auto number : found->second.calls)
                actions_.add(abort_call{number});
        }
        release(handle);
    }
    observer->on_settled(key, effect);
}

void task_dispatcher::release(sched::job_handle handle)
{
    const auto found = jobs_.find(handle);
    if (found != jobs_.end() && found->second.settled && found->second.calls.empty())
        jobs_.erase(found);
}

void task_dispatcher::tick(time_point now)
{
    pool_.tick(now);
    expire_spills(now);
    for (const auto& expired : table_.tick(now))
        settle(expired.key, expired.effect);
}

std::optional<time_point> task_dispatcher::next_due() const
{
    auto due = table_.next_due();
    for (const auto& [name, service] : services_) {
        const auto wake = service->queue.wake_at();
        if (wake && (!due || *wake < *due))
            due = wake;
    }
    return due;
}

void task_dispatcher::charge_remote(sched::customer_id customer, double slot_seconds)
{
    for (auto& [name, service] : services_)
        service->queue.charge_remote(customer, slot_seconds);
}

sched::customer_load task_dispatcher::load(const std::string& service,
                                           sched::customer_id customer) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? sched::customer_load{} : found->second->queue.load(customer);
}

std::vector<std::string> task_dispatcher::services() const
{
    std::vector<std::string> names;
    for (const auto& [name, service] : services_)
        names.push_back(name);
    return names;
}

std::size_t task_dispatcher::queued_tasks() const
{
    std::size_t queued = 0;
    for (const auto& [name, service] : services_)
        queued += service->queue.queued_tasks();
    return queued;
}

} // namespace chivewharf::dispatch
