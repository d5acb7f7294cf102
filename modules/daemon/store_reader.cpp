#include <daemon/store_reader.h>

#include <algorithm>
#include <base/log_line.h>

namespace chivewharf::daemon {

namespace {

/// How a topic is read.
struct read_plan {
    duration wait;  ///< how long the store may hold a read that finds no new records
    duration pause; ///< between a reply and the next read
};

/// In the order of `store_topic`. The configuration must be in force within 2 s of its publication,
/// even if a connection goes silent. The workers are polled, since a long poll would return on
/// every change of any worker. Every host polls them, even without a shard: a host that takes over
/// a shard while the store is unavailable must know which workers are leaving.
constexpr std::array<read_plan, enum_count<fleet::store_topic>> plans{{
    {milliseconds{600}, milliseconds{0}},
    {milliseconds{0}, milliseconds{500}},
    {milliseconds{0}, milliseconds{2000}},
}};
constexpr duration initial_backoff = milliseconds{100};
constexpr duration max_backoff = milliseconds{1000};

const read_plan& plan_of(fleet::store_topic topic)
{
    return plans[static_cast<std::size_t>(topic)];
}

} // namespace

store_reader::store_reader(fleet::fleet_host& core, fleet::store_port& store,
                           record_decoders decoders, metrics::registry& metrics, std::uint64_t seed)
    : core_{core}, store_{store}, decoders_{std::move(decoders)}, metrics_{metrics}, random_{seed}
{
}

result<void, runtime::runtime_error>
store_reader::start(std::function<void(runtime::runtime_error)> /*failed*/)
{
    run_token_ = std::make_shared<int>(0);
    for (std::size_t i = 0; i < topics_.size(); ++i) {
        const auto topic = static_cast<fleet::store_topic>(i);
        topics_[i].reset(new followed_topic{
            topic,
            fleet::topic_follower{
                [this, topic](const fleet::keyed_record& record) { handle_record(topic, record); }},
            {},
            0});
        read(*topics_[i]);
    }
    announce();
    return {};
}

void store_reader::stop()
{
    run_token_.reset();
    announce_timer_.cancel();
    for (auto& topic : topics_)
        topic.reset();
}

duration store_reader::backoff(std::uint32_t failures)
{
    constexpr std::uint32_t max_shift = 5;
    const auto limit =
        std::min(initial_backoff * (1U << std::min(failures, max_shift)), max_backoff);
    return limit / 2 + uniform_duration(random_, limit / 2);
}

void store_reader::read(followed_topic& topic)
{
    ++metrics_.counter("chivewharf_store_calls_total",
                       "topic=\"" + std::string{to_name(topic.topic)} + '"');
    store_.read(
        topic.topic, topic.follower.next(), plan_of(topic.topic).wait,
        [this, &topic, alive = std::weak_ptr<int>{run_token_}](const fleet::store_reply& reply) {
            if (!alive.expired())
                handle_reply(topic, reply);
        });
}

void store_reader::handle_reply(followed_topic& topic, const fleet::store_reply& reply)
{
    const auto now = boot_clock::now();
    core_.store_answered(reply.answered, now);
    if (!reply.answered) {
        if (topic.failures++ == 0)
            log_line{"store_read_failed"}
                .add("topic", to_name(topic.topic))
                .add("why", reply.problem)
                .write();
        ++metrics_.counter("chivewharf_store_failures_total");
        topic.next_read.once(backoff(topic.failures), [this, &topic] { read(topic); });
        return;
    }
    topic.failures = 0;
    const auto request = topic.follower.next();
    if (reply.history_gone || (!request.newest && reply.end < request.offset)) {
        log_line{"store_history_gone"}.add("topic", to_name(topic.topic)).write();
        topic.follower.restart();
        read(topic);
        return;
    }
    if (request.newest)
        topic.follower.on_page(reply.records, reply.more, reply.end);
    else
        topic.follower.on_records(reply.records);
    if (topic.topic == fleet::store_topic::workers && topic.follower.complete())
        core_.workers_complete();
    const bool behind = topic.follower.next().newest || topic.follower.next().offset < reply.end;
    const auto pause = behind ? duration{0} : plan_of(topic.topic).pause;
    topic.next_read.once(pause, [this, &topic] { read(topic); });
}

void store_reader::report_bad_record(fleet::store_topic topic, const std::string& key,
                                     const std::string& problem)
{
    ++metrics_.counter("chivewharf_bad_records_total",
                       "kind=\"" + std::string{to_name(topic)} + '"');
    log_line{"record_unreadable"}
        .add("topic", to_name(topic))
        .add("key", key)
        .add("why", problem)
        .warn();
}

void store_reader::handle_record(fleet::store_topic topic, const fleet::keyed_record& record)
{
    if (record.key.empty())
        return;
    const auto now = boot_clock::now();
    switch (topic) {
    case fleet::store_topic::configuration:
        if (record.value)
            core_.config_read(*record.value, now);
        return;
    case fleet::store_topic::workers: {
        if (!record.value) {
            core_.worker_unlisted(record.key, now);
            return;
        }
        auto worker = decoders_.worker(record.key, *record.value);
        if (worker)
            core_.worker_listed(std::move(*worker));
        else {
            report_bad_record(topic, record.key, worker.error());
            core_.worker_unlisted(record.key, now);
        }
        return;
    }
    case fleet::store_topic::hosts: {
        if (!record.value)
            return;
        const auto host = decoders_.host(record.key, *record.value);
        if (host)
            core_.host_listed(*host, now);
        else
            report_bad_record(topic, record.key, host.error());
        return;
    }
    }
}

void store_reader::announce()
{
    const auto& self = core_.self();
    store_.announce(
        {self.host, self.domain, self.address},
        [this, alive = std::weak_ptr<int>{run_token_}](std::optional<std::uint64_t> record_number) {
            if (alive.expired())
                return;
            if (record_number) {
                core_.fence_base_granted(*record_number);
                return;
            }
            log_line{"announce_failed"}.write();
            announce_timer_.once(backoff(++announce_failures_), [this] { announce(); });
        });
}

} // namespace chivewharf::daemon
