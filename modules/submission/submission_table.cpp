#include <submission/submission_table.h>

#include <algorithm>
#include <utility>

namespace chivewharf::submission {

struct submission_table::task_slot {
    std::uint32_t attempt = 0;
    std::uint32_t queue_position = 0; ///< in `live_submission::queued` while queued
    task_state state = task_state::queued;
    bool may_have_started = false; ///< the result of an earlier attempt was lost
};

/// Part of a submission that is freed when it becomes a tombstone.
struct submission_table::live_submission {
    submission_request request;
    std::vector<task_slot> tasks;
    std::vector<std::uint32_t> queued;
    std::uint32_t sent = 0;
    work_counts ended;
    std::vector<std::string> payloads;
    std::vector<waiter> waiters;
    answer_ptr reply;
    std::size_t fixed_bytes = 0; ///< part of `bytes` that is counted until the answer is dropped
    std::size_t bytes = 0;       ///< share of `payload_bytes_`

    static std::size_t fixed_bytes_of(const submission_request& r)
    {
        constexpr auto bytes_per_task =
            sizeof(task_slot) + sizeof(std::uint32_t) + sizeof(std::string);
        return sizeof(live_submission) + sizeof(answer) + r.customer.size() + r.id.size() +
               r.service.size() + r.tasks.size() * bytes_per_task;
    }

    void enqueue(std::uint32_t task)
    {
        tasks[task].state = task_state::queued;
        tasks[task].queue_position = static_cast<std::uint32_t>(queued.size());
        queued.push_back(task);
    }

    void dequeue(std::uint32_t task)
    {
        const auto position = tasks[task].queue_position;
        queued[position] = queued.back();
        tasks[queued[position]].queue_position = position;
        queued.pop_back();
    }

    void finish_sent(std::uint32_t task, std::uint32_t work_counts::*count)
    {
        tasks[task].state = task_state::ended;
        ++(ended.*count);
        --sent;
    }
};

/// The fixed-size part of a submission, which is all that a tombstone has.
struct submission_table::record {
    submission_key key;
    body_digest digest{};
    time_point due{}; ///< when the answer or the tombstone is dropped; set while queued for that
    std::unique_ptr<live_submission> live; ///< null for a tombstone
    std::uint32_t next = none;             ///< in a queue or in the free list
    reason why = reason::none;
    work_state work = work_state::may_have_run;
    std::uint8_t slot = no_slot;
};

namespace {

std::size_t body_bytes(const submission_request& request)
{
    std::size_t bytes = 0;
    for (const task_request& task : request.tasks)
        bytes += sizeof task + task.kind.size() + task.payload.size();
    return bytes;
}

std::vector<std::uint32_t> indices_below(std::size_t count)
{
    std::vector<std::uint32_t> indices(count);
    for (std::size_t i = 0; i < count; ++i)
        indices[i] = static_cast<std::uint32_t>(i);
    return indices;
}

} // namespace

submission_table::submission_table(table_options options) : options_{options} {}
submission_table::~submission_table() = default;
submission_table::submission_table(submission_table&&) noexcept = default;
submission_table& submission_table::operator=(submission_table&&) noexcept = default;

// Records.

submission_table::record& submission_table::at(std::uint32_t number) const
{
    return chunks_[number / chunk_records][number % chunk_records];
}

bool submission_table::matches(const void* self, std::uint32_t number, const submission_key& key)
{
    return static_cast<const submission_table*>(self)->at(number).key == key;
}

std::optional<std::uint32_t> submission_table::lookup(const submission_key& key) const
{
    return index_.find(key, &submission_table::matches, this);
}

std::uint32_t submission_table::allocate_record()
{
    if (free_head_ != none)
        return std::exchange(free_head_, at(free_head_).next);
    if (used_records_ == chunks_.size() * chunk_records)
        chunks_.push_back(std::make_unique<record[]>(chunk_records));
    return used_records_++;
}

void submission_table::release_record(std::uint32_t number)
{
    record& entry = at(number);
    index_.erase(entry.key, number);
    entry = record{};
    entry.next = free_head_;
    free_head_ = number;
}

void submission_table::push(fifo& queue, std::uint32_t number)
{
    at(number).next = none;
    if (queue.head == none)
        queue.head = number;
    else
        at(queue.tail).next = number;
    queue.tail = number;
}

void submission_table::pop(fifo& queue)
{
    queue.head = at(queue.head).next;
    if (queue.head == none)
        queue.tail = none;
}

std::size_t submission_table::held_bytes() const noexcept
{
    return index_.bytes() + chunks_.size() * chunk_records * sizeof(record) +
           chunks_.capacity() * sizeof(chunks_.front());
}

// Resubmissions and admission.

reception submission_table::join_or_answer(record& entry, std::optional<waiter> who)
{
    if (!entry.live) {
        return {receipt::answered,
                refuse(reason::id_expired, entry.work,
                       entry.why == reason::none ? "the submission was complete, its answer is no "
                                                   "longer kept"
                                                 : "the answer is no longer kept; its reason was " +
                                                       std::string{to_name(entry.why)})};
    }
    live_submission& live = *entry.live;
    if (live.reply)
        return {receipt::answered, live.reply};
    if (who && std::find(live.waiters.begin(), live.waiters.end(), *who) == live.waiters.end())
        live.waiters.push_back(*who);
    return {receipt::joined, nullptr};
}

reception submission_table::find(const submission_key& key, const body_digest& digest,
                                 std::optional<waiter> who)
{
    const auto number = lookup(key);
    if (!number)
        return {};
    record& entry = at(*number);
    if (entry.digest != digest) {
        return {receipt::answered, refuse(reason::id_body_mismatch, work_state::not_run,
                                          "the id was used with another body")};
    }
    return join_or_answer(entry, who);
}

reception submission_table::fetch(const submission_key& key, std::optional<waiter> who)
{
    const auto number = lookup(key);
    return number ? join_or_answer(at(*number), who) : reception{};
}

reception submission_table::admit(submission_request request, std::optional<waiter> who,
                                  time_point now)
{
    if (auto known = find(request.key, request.digest, who); known.kind != receipt::unknown)
        return known;
    const auto refused = [](reason why, std::string message) {
        return reception{receipt::answered, refuse(why, work_state::not_run, std::move(message))};
    };
    if (request.tasks.empty())
        return refused(reason::malformed_request, "a submission has at least one task");
    if (request.deadline <= now)
        return refused(reason::deadline_passed, "the deadline passed before admission");
    const auto fixed_bytes = live_submission::fixed_bytes_of(request);
    const auto bytes = fixed_bytes + body_bytes(request);
    if (size() >= options_.max_entries ||
        payload_bytes_ + bytes + options_.answer_reserve > options_.max_bytes)
        return refused(reason::table_full, "the table of submissions is full");

    const auto number = allocate_record();
    record& entry = at(number);
    entry.key = request.key;
    entry.digest = request.digest;
    entry.slot = request.slot;
    entry.live = std::make_unique<live_submission>();
    live_submission& live = *entry.live;
    live.tasks.resize(request.tasks.size());
    live.queued = indices_below(request.tasks.size());
    for (const auto task : live.queued)
        live.tasks[task].queue_position = task;
    live.payloads.resize(request.tasks.size());
    live.fixed_bytes = fixed_bytes;
    live.bytes = bytes;
    if (who)
        live.waiters.push_back(*who);
    payload_bytes_ += bytes;
    deadlines_.emplace(request.deadline, number);
    live.request = std::move(request);
    index_.insert(entry.key, number);
    return {receipt::admitted, nullptr};
}

void submission_table::remove_waiter(const submission_key& key, waiter who)
{
    const auto number = lookup(key);
    if (number && at(*number).live)
        std::erase(at(*number).live->waiters, who);
}

const submission_request* submission_table::request(const submission_key& key) const
{
    const auto number = lookup(key);
    return number && at(*number).live ? &at(*number).live->request : nullptr;
}

// Task starts and results.

result<std::uint32_t, start_refusal> submission_table::may_start(const submission_key& key,
                                                                 std::uint32_t task, time_point now)
{
    const auto number = lookup(key);
    if (!number)
        return unexpected{start_refusal::unknown};
    const auto& live = at(*number).live;
    if (!live || live->reply)
        return unexpected{start_refusal::ended};
    if (task >= live->tasks.size())
        return unexpected{start_refusal::unknown};
    if (live->tasks[task].state != task_state::queued)
        return unexpected{start_refusal::not_queued};
    if (live->request.deadline <= now)
        return unexpected{start_refusal::deadline_passed};
    live->dequeue(task);
    live->tasks[task].state = task_state::sent;
    ++live->sent;
    return ++live->tasks[task].attempt;
}

consequence submission_table::finish_task(const submission_key& key, std::uint32_t task,
                                          std::uint32_t attempt, attempt_result result,
                                          time_point now)
{
    const auto number = lookup(key);
    if (!number) {
        ++counters_.unknown_results;
        return {};
    }
    const auto& live = at(*number).live;
    if (!live) {
        ++counters_.late_results;
        return {};
    }
    if (task >= live->tasks.size()) {
        ++counters_.unknown_results;
        return {};
    }
    const task_slot& current = live->tasks[task];
    if (current.attempt != attempt) {
        ++counters_.mismatched_results;
        return {};
    }
    if (current.state != task_state::sent) {
        ++counters_.late_results;
        return {};
    }
    auto effect = finish_attempt(*number, task, std::move(result), now);
    effect.matched = true;
    return effect;
}

consequence submission_table::finish_attempt(std::uint32_t number, std::uint32_t task,
                                             attempt_result result, time_point now)
{
    switch (result.end) {
    case attempt_end::done:
        return finish_done(number, task, std::move(result), now);
    case attempt_end::failed:
        at(number).live->finish_sent(task, &work_counts::ran);
        return set_final_answer(number, outcome::failed,
                                result.why == reason::none ? reason::task_failed : result.why,
                                std::move(result.message), now);
    case attempt_end::not_run:
        return finish_not_run(number, task, now);
    case attempt_end::lost:
        return finish_lost(number, task, std::move(result), now);
    }
    return {};
}

consequence submission_table::finish_done(std::uint32_t number, std::uint32_t task,
                                          attempt_result result, time_point now)
{
    live_submission& live = *at(number).live;
    live.finish_sent(task, &work_counts::ran);
    if (live.reply)
        return {};
    if (live.request.deadline <= now) {
        return set_final_answer(number, outcome::failed, reason::deadline_passed,
                                "the answer of a task arrived after the deadline", now);
    }
    std::string& body = live.request.tasks[task].payload;
    const auto freed = body.size();
    if (payload_bytes_ - freed + result.payload.size() > options_.max_bytes) {
        return set_final_answer(number, outcome::failed, reason::answer_too_large,
                                "no memory is left to keep the answer of a task", now);
    }
    live.bytes = live.bytes - freed + result.payload.size();
    payload_bytes_ = payload_bytes_ - freed + result.payload.size();
    std::string{}.swap(body);
    live.payloads[task] = std::move(result.payload);
    if (live.ended.ran < live.tasks.size())
        return {};
    return set_final_answer(number, outcome::complete, reason::none, {}, now);
}

consequence submission_table::finish_not_run(std::uint32_t number, std::uint32_t task,
                                             time_point now)
{
    live_submission& live = *at(number).live;
    if (live.reply) {
        live.finish_sent(task, &work_counts::not_run);
        return {};
    }
    --live.sent;
    live.enqueue(task);
    if (live.request.deadline <= now)
        return set_final_answer(number, outcome::failed, reason::deadline_passed, {}, now);
    consequence effect;
    effect.queued_again = true;
    return effect;
}

consequence submission_table::finish_lost(std::uint32_t number, std::uint32_t task,
                                          attempt_result result, time_point now)
{
    live_submission& live = *at(number).live;
    live.tasks[task].may_have_started = true;
    const bool may_retry = live.request.idempotent && live.tasks.size() == 1 && !live.reply &&
                           now < live.request.deadline;
    if (may_retry) {
        --live.sent;
        live.enqueue(task);
        consequence effect;
        effect.queued_again = true;
        return effect;
    }
    live.finish_sent(task, &work_counts::may_have_run);
    return set_final_answer(number, outcome::failed,
                            result.why == reason::none ? reason::answer_lost : result.why,
                            std::move(result.message), now);
}

// Final answers.

consequence submission_table::set_final_answer(std::uint32_t number, outcome result, reason why,
                                               std::string message, time_point now)
{
    record& entry = at(number);
    live_submission& live = *entry.live;
    if (live.reply)
        return {};
    consequence effect;
    effect.matched = true;
    effect.dropped_tasks = std::move(live.queued);
    live.queued.clear();
    answer reply;
    reply.result = result;
    reply.why = why;
    reply.message = std::move(message);
    reply.counts = live.ended;
    reply.counts.may_have_run += live.sent;
    for (const auto task : effect.dropped_tasks) {
        task_slot& dropped = live.tasks[task];
        dropped.state = task_state::ended;
        ++(dropped.may_have_started ? reply.counts.may_have_run : reply.counts.not_run);
    }
    reply.work = summarise(reply.counts);
    std::size_t kept_bytes = live.fixed_bytes;
    if (result == outcome::complete) {
        reply.payloads = std::move(live.payloads);
        for (const auto& payload : reply.payloads)
            kept_bytes += payload.size();
    }
    std::vector<std::string>{}.swap(live.payloads);
    std::vector<task_request>{}.swap(live.request.tasks);
    payload_bytes_ = payload_bytes_ - live.bytes + kept_bytes;
    live.bytes = kept_bytes;

    entry.why = why;
    entry.work = reply.work;
    live.reply = std::make_shared<const answer>(std::move(reply));
    effect.reply = live.reply;
    effect.waiters = std::exchange(live.waiters, {});
    deadlines_.erase({live.request.deadline, number});
    entry.due = now + options_.answer_retention;
    push(answered_, number);
    return effect;
}

consequence submission_table::fail(const submission_key& key, reason why, std::string message,
                                   time_point now)
{
    const auto number = lookup(key);
    if (!number || !at(*number).live)
        return {};
    return set_final_answer(*number, outcome::failed, why, std::move(message), now);
}

consequence submission_table::cancel(const submission_key& key, time_point now)
{
    auto effect = fail(key, reason::cancelled, {}, now);
    if (!effect.matched)
        return effect;
    const live_submission& live = *at(*lookup(key)).live;
    if (!live.request.idempotent)
        return effect;
    for (std::uint32_t task = 0; task < live.tasks.size(); ++task) {
        if (live.tasks[task].state == task_state::sent)
            effect.abort_tasks.push_back(task);
    }
    return effect;
}

// Expiry.

void submission_table::make_tombstone(std::uint32_t number)
{
    record& entry = at(number);
    payload_bytes_ -= entry.live->bytes;
    entry.live.reset();
    entry.due += options_.id_lifetime - options_.answer_retention;
    push(tombstones_, number);
}

bool submission_table::expire_next(time_point now, std::vector<expired_submission>& expired)
{
    if (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto number = deadlines_.begin()->second;
        auto effect = set_final_answer(number, outcome::failed, reason::deadline_passed, {}, now);
        expired.push_back({at(number).key, std::move(effect)});
        return true;
    }
    if (const auto head = answered_.head; head != none && at(head).due <= now) {
        pop(answered_);
        make_tombstone(head);
        return true;
    }
    if (const auto head = tombstones_.head; head != none && at(head).due <= now) {
        pop(tombstones_);
        release_record(head);
        return true;
    }
    return false;
}

std::vector<expired_submission> submission_table::tick(time_point now, std::size_t max_steps)
{
    std::vector<expired_submission> expired;
    for (std::size_t i = 0; i < max_steps && expire_next(now, expired); ++i) {
    }
    return expired;
}

std::optional<time_point> submission_table::next_due() const
{
    std::optional<time_point> earliest;
    const auto consider = [&earliest](time_point t) {
        earliest = earliest ? std::min(*earliest, t) : t;
    };
    if (!deadlines_.empty())
        consider(deadlines_.begin()->first);
    if (answered_.head != none)
        consider(at(answered_.head).due);
    if (tombstones_.head != none)
        consider(at(tombstones_.head).due);
    return earliest;
}

// Hand-over.

std::vector<tombstone> submission_table::export_slot(std::uint8_t slot) const
{
    std::vector<tombstone> records;
    for (std::uint32_t number = 0; number < used_records_; ++number) {
        const record& entry = at(number);
        if (entry.slot == slot && slot != no_slot)
            records.push_back({entry.key, entry.digest, entry.why, entry.work, entry.slot});
    }
    return records;
}

bool submission_table::import(const tombstone& from, time_point now)
{
    if (holds(from.key))
        return true;
    if (size() >= options_.max_entries)
        return false;
    const auto number = allocate_record();
    record& entry = at(number);
    entry.key = from.key;
    entry.digest = from.digest;
    entry.why = from.why;
    entry.work = from.work;
    entry.slot = from.slot;
    entry.due = now + options_.id_lifetime;
    index_.insert(entry.key, number);
    push(tombstones_, number);
    return true;
}

} // namespace chivewharf::submission
