#include <daemon/store_reader.h>

#include <algorithm>
#include <base/log_line.h>
#include <utility>

namespace chivewharf::daemon {

namespace {

/// In the order of `store_topic`. The configuration must be in force within 2 s of its publication,
/// even if a connection goes silent. The workers are polled, since a long poll would return on
/// every change of any worker. Hosts without a shard follow them too: a host that takes over a
/// shard while the store is unavailable must know which workers are leaving.
constexpr std::array<fleet::topic_reader::plan, enum_count<fleet::store_topic>> plans{{
    {milliseconds{600}, milliseconds{0}},
    {milliseconds{0}, milliseconds{500}},
    {milliseconds{0}, milliseconds{2000}},
}};
/// Interval of the checks whether a read is due.
constexpr duration read_check_interval = milliseconds{50};
constexpr duration initial_backoff = milliseconds{100};
constexpr duration max_backoff = milliseconds{1000};
/// Bounds the memory and the log lines that keys of other writers can cause.
constexpr std::size_t max_logged_keys = 1000;

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
        topics_[i].reset(new followed_topic{{topic, plans[i],
                                             [this, topic](const fleet::keyed_record& record) {
                                                 return handle_record(topic, record);
                                             }},
                                            0,
                                            false});
    }
    core_.on_store_records([this](const wire::store_records& records, time_point now) {
        handle_passed_on(records, now);
    });
    read_due_topics();
    read_timer_.every(read_check_interval, [this] { read_due_topics(); });
    announce();
    return {};
}

void store_reader::stop()
{
    run_token_.reset();
    core_.on_store_records({});
    read_timer_.cancel();
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

void store_reader::read_due_topics()
{
    const auto now = boot_clock::now();
    const auto rank = core_.reading_rank(now);
    for (auto& topic : topics_) {
        if (!topic->reading && topic->reader.due(rank) <= now)
            read(*topic);
    }
}

void store_reader::read(followed_topic& topic)
{
    topic.reading = true;
    ++metrics_.counter("chivewharf_store_calls_total",
                       "topic=\"" + std::string{to_name(topic.reader.topic())} + '"');
    store_.read(
        topic.reader.topic(), topic.reader.next(), topic.reader.wait(),
        [this, &topic, alive = std::weak_ptr<int>{run_token_}](const fleet::store_reply& reply) {
            if (!alive.expired())
                handle_reply(topic, reply);
        });
}

void store_reader::handle_reply(followed_topic& topic, const fleet::store_reply& reply)
{
    const auto now = boot_clock::now();
    topic.reading = false;
    if (reply.too_large && topic.reader.reply_too_large(now)) {
        read_due_topics();
        return;
    }
    if (!reply.answered) {
        if (topic.failures++ == 0)
            log_line{"store_read_failed"}
                .add("topic", to_name(topic.reader.topic()))
                .add("why", reply.problem)
                .write();
        ++metrics_.counter("chivewharf_store_failures_total");
        topic.reader.read_failed(backoff(topic.failures), now);
        // Another host may still read the topic for this one.
        if (!topic.reader.current(now))
            core_.store_answered(false, now);
        return;
    }
    topic.failures = 0;
    core_.store_answered(true, now);
    const auto messages = topic.reader.read_answered(reply, now);
    apply_operator_records(topic, now);
    for (const auto& records : messages)
        core_.pass_on(records);
    note_complete(topic);
    read_due_topics();
}

void store_reader::handle_passed_on(const wire::store_records& records, time_point now)
{
    if (records.topic >= topics_.size())
        return;
    auto& topic = *topics_[records.topic];
    topic.reader.passed_on(records, now);
    apply_operator_records(topic, now);
    if (topic.reader.current(now))
        core_.store_answered(true, now);
}

void store_reader::note_complete(const followed_topic& topic)
{
    if (topic.reader.topic() == fleet::store_topic::workers && topic.reader.complete())
        core_.workers_complete();
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

fleet::relay store_reader::handle_record(fleet::store_topic topic,
                                         const fleet::keyed_record& record)
{
    using fleet::relay;
    if (record.key.empty())
        return relay::nothing;
    const auto now = boot_clock::now();
    switch (topic) {
    case fleet::store_topic::configuration:
        return handle_operator_record(record);
    case fleet::store_topic::workers:
        return handle_worker(record, now);
    case fleet::store_topic::hosts: {
        if (!record.value)
            return relay::nothing;
        const auto host = decoders_.host(record.key, *record.value);
        if (!host) {
            report_bad_record(topic, record.key, host.error());
            return relay::nothing;
        }
        core_.host_listed(*host, now);
        return relay::record;
    }
    }
    return relay::nothing;
}

fleet::relay store_reader::handle_operator_record(const fleet::keyed_record& record)
{
    using fleet::relay;
    const auto key = decoders_.operator_key(record.key);
    switch (key.kind) {
    case fleet::operator_record_kind::configuration:
        if (record.value)
            read_config_ = record.value;
        return relay::record;
    case fleet::operator_record_kind::drain:
        if (record.value)
            drained_domains_.insert(key.domain);
        else
            drained_domains_.erase(key.domain);
        return relay::record;
    case fleet::operator_record_kind::other:
        log_unused_key(record.key);
        return relay::nothing;
    }
    return relay::nothing;
}

void store_reader::log_unused_key(const std::string& key)
{
    if (unused_keys_.size() < max_logged_keys && unused_keys_.insert(key).second)
        log_line{"record_unused"}
            .add("topic", to_name(fleet::store_topic::configuration))
            .add("key", key)
            .write();
}

void store_reader::apply_operator_records(const followed_topic& topic, time_point now)
{
    // Drains are handed over before the configuration: a host serves once it has a configuration,
    // and must know the drains by then. They may be on a later page than the configuration.
    const auto next = topic.reader.next();
    if (topic.reader.topic() != fleet::store_topic::configuration || next.newest)
        return;
    core_.drains_known(next.offset, drained_domains_, "store", now);
    if (const auto config = std::exchange(read_config_, std::nullopt))
        core_.config_read(*config, now);
}

fleet::relay store_reader::handle_worker(const fleet::keyed_record& record, time_point now)
{
    using fleet::relay;
    if (!record.value) {
        core_.worker_unlisted(record.key, now);
        return relay::deletion;
    }
    const auto listed =
        decoders_.worker(record.key, *record.value).and_then([this](fleet::worker_entry worker) {
            return core_.worker_listed(std::move(worker));
        });
    if (listed)
        return *listed ? relay::record : relay::nothing;
    report_bad_record(fleet::store_topic::workers, record.key, listed.error());
    core_.worker_unlisted(record.key, now);
    return relay::deletion;
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
                announce_failures_ = 0;
                core_.fence_base_granted(*record_number);
                return;
            }
            log_line{"announce_failed"}.write();
            announce_timer_.once(backoff(++announce_failures_), [this] { announce(); });
        });
}

} // namespace chivewharf::daemon
