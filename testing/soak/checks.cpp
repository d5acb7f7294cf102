#include "checks.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <set>

namespace chivewharf::soak {

namespace {

/// The loss of an answer may be detected only at the deadline, and the retry follows after it, so
/// a repeated start is attributed to a fault up to this long before it.
constexpr wall_ms loss_detection_limit_ms = 8000;
constexpr wall_ms leaving_limit_ms = 3000;  // P6
constexpr wall_ms in_force_limit_ms = 2000; // P8 at 7 entry hosts
constexpr wall_ms sample_interval_ms = 250;

class checker {
public:
    explicit checker(const evidence& run_evidence)
        : evidence_{run_evidence}, broken_{run_evidence.observed}
    {
    }

    std::vector<violation> run()
    {
        for (const auto& record : *evidence_.records) {
            check_starts(record);
            check_answers(record);
            check_not_run(record);
        }
        check_leaving();
        check_stops();
        check_versions();
        return std::move(broken_);
    }

private:
    void add(int promise, const submission_record& record, const std::string& text)
    {
        const auto until =
            record.replies.empty() ? record.first_sent : record.replies.back().received;
        std::string history;
        for (const auto& one : record.replies)
            history += " | " + one.operation + " entry-" + std::to_string(one.entry + 1) + ' ' +
                       std::to_string(one.sent) + '-' + std::to_string(one.received) + ' ' +
                       (one.answered() ? one.outcome() + ' ' + one.reason()
                                       : std::string{to_name(one.transport_outcome)});
        broken_.push_back({promise, record.id + ": " + text + history, record.first_sent, until});
    }

    const task_starts* starts(const submission_record& record, std::size_t index) const
    {
        const auto found = evidence_.ledger.find(record.id + '/' + std::to_string(index));
        return found == evidence_.ledger.end() ? nullptr : &found->second;
    }

    bool fault_in(wall_ms from, wall_ms to) const
    {
        return std::any_of(evidence_.windows.begin(), evidence_.windows.end(),
                           [&](const auto& one) { return one.from <= to && one.to >= from; });
    }

    void check_starts(const submission_record& record)
    {
        for (std::size_t i = 0; i < record.tasks; ++i) {
            const auto* found = starts(record, i);
            if (found == nullptr || found->count <= 1)
                continue;
            const auto text = "task " + std::to_string(i) + " started " +
                              std::to_string(found->count) + " times: " + found->where;
            if (!record.idempotent_single())
                add(record.customer == 0 ? 5 : 1, record, text);
            else if (!fault_in(found->first - loss_detection_limit_ms, found->last))
                add(1, record, text + " without a fault");
        }
    }

    void check_answers(const submission_record& record)
    {
        const json* first = nullptr;
        for (const auto& one : record.replies) {
            if (!one.answered()) {
                if (one.transport_outcome == runtime::call_outcome::answered)
                    add(3, record, "the answer is not JSON");
                continue;
            }
            const auto outcome = one.outcome();
            if (one.body.value("id", "") != record.id)
                add(3, record, "answer for another id: " + one.body.dump());
            if (outcome == "pending" || outcome == "refused")
                continue;
            if (outcome == "complete")
                check_complete(record, one);
            else if (outcome == "failed")
                check_failed(record, one);
            else
                add(2, record, "outcome \"" + outcome + '"');
            if (first == nullptr)
                first = &one.body;
            else if (*first != one.body)
                add(3, record,
                    "two different answers: " + first->dump() + " and " + one.body.dump());
        }
        if (!record.settled)
            add(3, record,
                "no final answer; last: " + (record.replies.empty()
                                                 ? std::string{"none"}
                                                 : record.replies.back().body.dump()));
    }

    void check_complete(const submission_record& record, const reply& one)
    {
        const auto& tasks = one.body.contains("tasks") ? one.body["tasks"] : json::array();
        if (tasks.size() != record.tasks)
            add(2, record,
                "complete with " + std::to_string(tasks.size()) + " of " +
                    std::to_string(record.tasks) + " tasks");
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            const auto wanted = record.id + '/' + std::to_string(i);
            if (tasks[i].value("/payload/task"_json_pointer, "") != wanted)
                add(3, record, "task " + std::to_string(i) + " has another task's answer");
            else if (starts(record, i) == nullptr)
                add(3, record, "task " + std::to_string(i) + " is complete and never started");
        }
    }

    void check_failed(const submission_record& record, const reply& one)
    {
        if (one.body.contains("tasks"))
            add(2, record, "a failed answer has results");
        const auto counts = one.body.value("work_counts", json::object());
        const auto ran = counts.value("ran", std::size_t{0});
        const auto not_run = counts.value("not_run", std::size_t{0});
        const auto unknown = counts.value("may_have_run", std::size_t{0});
        if (ran + not_run + unknown != record.tasks)
            add(2, record, "the work counts do not add up: " + one.body.dump());
        std::size_t started = 0;
        for (std::size_t i = 0; i < record.tasks; ++i)
            started += starts(record, i) != nullptr ? 1 : 0;
        if (started > ran + unknown || started < ran)
            add(4, record, std::to_string(started) + " tasks started, answer: " + one.body.dump());
        if (one.work() == "not_run" && started > 0)
            add(4, record, "failed as not run, but started: " + one.body.dump());
    }

    void check_not_run(const submission_record& record)
    {
        wall_ms first = 0;
        for (std::size_t i = 0; i < record.tasks; ++i) {
            if (const auto* found = starts(record, i))
                first = first == 0 ? found->first : std::min(first, found->first);
        }
        if (first == 0)
            return;
        const reply* false_claim = nullptr;
        bool other_submission = false;
        for (const auto& one : record.replies) {
            const bool not_run = one.outcome() == "refused" && one.work() == "not_run";
            if (not_run && one.sent > first)
                add(4, record,
                    one.reason() + " not run, but a task had started " +
                        std::to_string(one.sent - first) + " ms before");
            if (not_run && one.operation == "submit")
                false_claim = &one;
            else if (one.operation == "submit")
                other_submission = true;
        }
        if (false_claim != nullptr && !other_submission)
            add(4, record, false_claim->reason() + " not run, but a task started");
    }

    void check_leaving()
    {
        for (const auto& one : evidence_.leaving) {
            if (one.last_start - one.announced > leaving_limit_ms)
                broken_.push_back({6,
                                   one.name + " received work " +
                                       std::to_string(one.last_start - one.announced) +
                                       " ms after the announcement",
                                   one.announced, one.last_start});
        }
    }

    void check_stops()
    {
        for (const auto& stop : evidence_.stops) {
            const auto name = "entry-" + std::to_string(stop.entry + 1);
            if (stop.exit_code != 0)
                broken_.push_back({7, name + " ended with " + std::to_string(stop.exit_code),
                                   stop.asked, stop.ended});
            for (const auto& record : *evidence_.records) {
                for (const auto& one : record.replies) {
                    if (one.entry == stop.entry && one.incarnation == stop.incarnation &&
                        (one.transport_outcome == runtime::call_outcome::lost ||
                         one.transport_outcome == runtime::call_outcome::truncated))
                        add(7, record,
                            "cut by the planned stop of " + name + ", sent " +
                                std::to_string(stop.ended - one.sent) + " ms before its end");
                }
            }
        }
    }

    void check_versions()
    {
        // A host that was paused may answer the pending requests in any order, so a sample is
        // compared with those that were answered before its request was sent.
        for (const auto& one : evidence_.versions) {
            std::int64_t known = 0;
            for (const auto& earlier : evidence_.versions) {
                if (earlier.entry == one.entry && earlier.answered <= one.asked)
                    known = std::max(known, earlier.version);
            }
            // A host reports version 0 after its start until it has read a configuration.
            if (one.version > 0 && one.version < known)
                broken_.push_back({8,
                                   "entry-" + std::to_string(one.entry + 1) + " went from " +
                                       std::to_string(known) + " to " + std::to_string(one.version),
                                   one.asked, one.asked});
        }
        for (const auto& one : evidence_.publications) {
            const auto limit = one.accepted + in_force_limit_ms;
            if (!fault_in(one.accepted - 3000, limit + 2 * sample_interval_ms))
                check_in_force(one, limit);
        }
    }

    void check_in_force(const publication& published, wall_ms limit)
    {
        std::set<int> late;
        std::set<int> sampled;
        for (const auto& one : evidence_.versions) {
            if (one.asked < limit || one.asked > limit + 2 * sample_interval_ms)
                continue;
            sampled.insert(one.entry);
            if (one.version < published.version)
                late.insert(one.entry);
        }
        for (const int entry : late)
            broken_.push_back({8,
                               "version " + std::to_string(published.version) +
                                   " was not in force at entry-" + std::to_string(entry + 1) +
                                   " after 2 s",
                               published.accepted, limit});
    }

    const evidence& evidence_;
    std::vector<violation> broken_;
};

submission_record* find_complete(evidence& run_evidence, std::size_t tasks, std::size_t answers)
{
    for (auto& record : *run_evidence.records) {
        const auto complete =
            std::count_if(record.replies.begin(), record.replies.end(),
                          [](const auto& candidate) { return candidate.outcome() == "complete"; });
        if (record.tasks >= tasks && static_cast<std::size_t>(complete) >= answers)
            return &record;
    }
    return nullptr;
}

reply& complete_reply(submission_record& record)
{
    return *std::find_if(record.replies.rbegin(), record.replies.rend(),
                         [](const auto& candidate) { return candidate.outcome() == "complete"; });
}

} // namespace

std::vector<violation> check_promises(const evidence& run_evidence)
{
    return checker{run_evidence}.run();
}

bool falsify(const std::string& name, evidence& run_evidence)
{
    auto* job = find_complete(run_evidence, 2, 1);
    auto* answered_twice = find_complete(run_evidence, 1, 2);
    if (job == nullptr || answered_twice == nullptr)
        return false;
    auto& body = complete_reply(*job).body;
    const std::map<std::string, std::function<void()>> table{
        {"start_twice", [&] { ++run_evidence.ledger[job->id + "/0"].count; }},
        {"book_twice",
         [&] {
             for (auto& record : *run_evidence.records) {
                 const auto found = run_evidence.ledger.find(record.id + "/0");
                 if (record.customer == 0 && found != run_evidence.ledger.end()) {
                     ++found->second.count;
                     return;
                 }
             }
         }},
        {"repeat_without_fault",
         [&] {
             for (auto& record : *run_evidence.records) {
                 const auto found = run_evidence.ledger.find(record.id + "/0");
                 if (record.idempotent_single() && found != run_evidence.ledger.end()) {
                     ++found->second.count;
                     run_evidence.windows.clear();
                     return;
                 }
             }
         }},
        {"partial_answer", [&] { body["tasks"].erase(0); }},
        {"other_outcome", [&] { body["outcome"] = "some"; }},
        {"mixed_answers", [&] { std::swap(body["tasks"][0], body["tasks"][1]); }},
        {"other_id", [&] { body["id"] = "other"; }},
        {"changed_answer", [&] { complete_reply(*answered_twice).body["message"] = "changed"; }},
        {"no_answer", [&] { job->settled = false; }},
        {"false_not_run",
         [&] {
             body = {{"id", job->id}, {"outcome", "refused"}, {"work", "not_run"}};
             complete_reply(*job).sent = wall_now_ms();
         }},
        {"false_counts",
         [&] {
             body = {{"id", job->id},
                     {"outcome", "failed"},
                     {"work", "not_run"},
                     {"work_counts", {{"not_run", job->tasks}}}};
         }},
        {"late_leaving",
         [&] {
             run_evidence.leaving.push_back({"falsified", 1000, 1001 + leaving_limit_ms});
         }},
        {"bad_exit",
         [&] {
             run_evidence.stops.push_back({0, 0, 1000, 2000, 1});
         }},
        {"cut_stop",
         [&] {
             auto& one = complete_reply(*job);
             one.transport_outcome = runtime::call_outcome::lost;
             run_evidence.stops.push_back({one.entry, one.incarnation, one.sent, one.received, 0});
         }},
        {"version_back",
         [&] {
             const auto now = wall_now_ms();
             run_evidence.versions.push_back({0, now, now, 1000});
             run_evidence.versions.push_back({0, now + 1, now + 1, 999});
         }},
        {"version_late",
         [&] {
             run_evidence.windows.clear();
             run_evidence.publications.push_back({1'000'000, run_evidence.versions.front().asked});
         }},
    };
    const auto found = table.find(name);
    if (found == table.end()) {
        for (const auto& [known, change] : table)
            std::cerr << known << '\n';
        return false;
    }
    found->second();
    return true;
}

void print_report(const evidence& run_evidence, const std::vector<violation>& broken)
{
    std::map<std::string, int> injected{{"(none)", 0}};
    for (const auto& window : run_evidence.windows)
        ++injected[window.fault];
    std::printf("%-16s %5s %12s  P1 P2 P3 P4 P5 P6 P7 P8  verdict\n", "fault", "times",
                "submissions");
    for (const auto& [fault, times] : injected) {
        const bool none = fault == "(none)";
        const auto during = [&, &name = fault](wall_ms from, wall_ms to) {
            bool any = false;
            bool own = false;
            for (const auto& one : run_evidence.windows) {
                const bool overlaps = one.from <= to && one.to + 2000 >= from;
                any = any || overlaps;
                own = own || (overlaps && one.fault == name);
            }
            return none ? !any : own;
        };
        int counts[9] = {};
        int touched = 0;
        for (const auto& record : *run_evidence.records)
            touched +=
                !record.replies.empty() && during(record.first_sent, record.replies.back().received)
                    ? 1
                    : 0;
        for (const auto& one : broken)
            counts[one.promise] += during(one.from, one.to) ? 1 : 0;
        std::printf("%-16s %5d %12d ", fault.c_str(), times, touched);
        int sum = 0;
        for (int promise = 1; promise <= 8; ++promise) {
            std::printf("%3d", counts[promise]);
            sum += counts[promise];
        }
        std::printf("  %s\n", sum == 0 ? "ok" : "BROKEN");
    }
    std::map<std::string, int> outcomes;
    for (const auto& record : *run_evidence.records) {
        std::string text = "no answer";
        for (const auto& one : record.replies) {
            const auto outcome = one.outcome();
            const bool final_answer = outcome == "complete" || outcome == "failed";
            if (final_answer || outcome == "refused")
                text = outcome + ' ' + one.reason() + (final_answer ? "" : ' ' + one.work());
            if (final_answer) {
                if (outcome == "failed")
                    text += " (" + one.body.value("message", "") + ')';
                break;
            }
        }
        ++outcomes[text];
    }
    std::printf("\n%zu submissions by outcome and reason:\n", run_evidence.records->size());
    for (const auto& [text, count] : outcomes)
        std::printf("  %-50s %7d\n", text.c_str(), count);
    std::map<std::string, int> unanswered;
    int examples = 0;
    for (const auto& record : *run_evidence.records) {
        for (const auto& one : record.replies) {
            if (one.answered())
                continue;
            ++unanswered[std::string{to_name(one.transport_outcome)} + ' ' + one.operation];
            if (one.transport_outcome == runtime::call_outcome::timed_out && ++examples <= 12)
                std::printf("  timed out: %s %s entry-%d sent %lld\n", one.operation.c_str(),
                            record.id.c_str(), one.entry + 1, static_cast<long long>(one.sent));
        }
    }
    std::printf("requests without an answer:\n");
    for (const auto& [text, count] : unanswered)
        std::printf("  %-50s %7d\n", text.c_str(), count);
    std::size_t starts = 0;
    std::size_t repeated = 0;
    for (const auto& [task, one] : run_evidence.ledger) {
        starts += one.count;
        repeated += one.count > 1 ? 1 : 0;
    }
    std::printf("task starts %zu, tasks started more than once %zu, planned stops %zu, leaving "
                "workers %zu, publications %zu\n",
                starts, repeated, run_evidence.stops.size(), run_evidence.leaving.size(),
                run_evidence.publications.size());
    std::size_t shown = 0;
    for (const auto& one : broken) {
        if (++shown > 25)
            break;
        std::printf("BROKEN P%d at %lld: %.1200s\n", one.promise, static_cast<long long>(one.from),
                    one.text.c_str());
    }
    if (broken.size() > 25)
        std::printf("... and %zu more\n", broken.size() - 25);
}

} // namespace chivewharf::soak
