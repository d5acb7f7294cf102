#include <fleet/report_sender.h>

#include <fleet/report_schedule.h>
#include <optional>
#include <wire/frame_codec.h>

namespace chivewharf::fleet {

/// The report of a moment, made when it is first needed, with and without the lists of workers.
class report_sender::report_cache {
public:
    report_cache(const report_sender& sender, time_point now) : sender_{sender}, now_{now} {}

    time_point now() const noexcept { return now_; }

    const wire::host_report& brief()
    {
        if (!brief_)
            brief_ = sender_.report(now_);
        return *brief_;
    }

    const wire::host_report& complete()
    {
        if (complete_)
            return *complete_;
        complete_ = brief();
        for (auto& claim : complete_->claims) {
            const auto& ids =
                sender_.context_.claims.owned().at(claim.shard).owner->workers_in_use()->ids;
            // A longer list would not be accepted; receivers then rely on time limits.
            if (ids.size() <= wire::max_report_entries)
                claim.workers.assign(ids.begin(), ids.end());
        }
        return *complete_;
    }

private:
    const report_sender& sender_;
    time_point now_;
    std::optional<wire::host_report> brief_;
    std::optional<wire::host_report> complete_;
};

wire::host_report report_sender::report(time_point now) const
{
    wire::host_report current;
    current.fence_base = context_.claims.fence_base();
    current.known_config = context_.config.version();
    current.leaving = context_.claims.leaving();
    current.able = context_.claims.can_claim(now) && !context_.claims.leaving();
    current.processor_milli = context_.self.processor_milli;
    current.domains = context_.claims.shard_counts();
    current.accepts_store_records = true;
    current.clock_ms = to_ms(now.time_since_epoch());
    current.operator_offset = context_.drains.offset();
    current.drained_domains.assign(context_.drains.domains().begin(),
                                   context_.drains.domains().end());
    if (current.drained_domains.size() > wire::max_drained_domains)
        current.drained_domains.resize(wire::max_drained_domains);
    current.claims = context_.claims.claims(now);
    return current;
}

void report_sender::send(const std::string& host, report_cache& reports)
{
    const auto* known = context_.directory.find(host);
    const bool has_lists =
        known != nullptr && known->worker_revision_sent >= context_.claims.worker_revision();
    context_.directory.report_sent(host, context_.claims.worker_revision(), reports.now());
    context_.peers.send(host, has_lists ? reports.brief() : reports.complete());
}

void report_sender::send(const std::string& host, time_point now)
{
    report_cache reports{*this, now};
    send(host, reports);
}

void report_sender::send_to_all(time_point now)
{
    report_cache reports{*this, now};
    for (const auto& [name, host] : context_.directory.hosts()) {
        if (host.linked)
            send(name, reports);
    }
}

void report_sender::send_to_domain(time_point now)
{
    report_cache reports{*this, now};
    for (const auto& [name, host] : context_.directory.hosts()) {
        if (host.linked && context_.directory.same_domain(host))
            send(name, reports);
    }
}

void report_sender::send_due(time_point now)
{
    report_cache reports{*this, now};
    for (const auto& [name, host] : context_.directory.hosts()) {
        // Hosts that do not pass on store records yet expect all reports of an owner at the short
        // interval.
        const bool older = host.report && !host.report->accepts_store_records;
        const auto interval =
            report_interval({context_.directory.same_domain(host) || older,
                             !context_.claims.owned().empty(), host.shares_jobs()});
        if (!host.linked || !interval || now - host.last_report_sent < *interval)
            continue;
        send(name, reports);
    }
}

} // namespace chivewharf::fleet
