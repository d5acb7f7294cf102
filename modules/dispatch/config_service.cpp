#include <dispatch/config_service.h>

#include <algorithm>
#include <base/log_line.h>

namespace chivewharf::dispatch {

using configlog::verdict;

namespace {

/// Number of ticks between announcements of the version to other domains; limits the number of
/// links between domains.
constexpr std::uint64_t other_domain_ticks = 2;

bool is_configured(const configlog::config_record& record, const std::string& site,
                   const std::string& host)
{
    const auto* hosts = &record.settings;
    const auto overlay = record.overlays.find(site);
    if (overlay != record.overlays.end() && overlay->contains("entry_hosts"))
        hosts = &*overlay;
    if (!hosts->contains("entry_hosts"))
        return false;
    const auto& entries = (*hosts)["entry_hosts"];
    return std::any_of(entries.begin(), entries.end(),
                       [&host](const auto& entry) { return entry.value("name", "") == host; });
}

} // namespace

config_service::config_service(identity self, std::string site, duration log_retention,
                               action_list& actions, metrics::registry& metrics, rng& random)
    : self_{std::move(self)}, site_{site}, actions_{actions}, random_{random}, follower_{std::move(
                                                                                   site)},
      republisher_{log_retention}, accepted_{metrics.counter("chivewharf_config_records_total",
                                                             "result=\"accepted\"")},
      rejected_{metrics.counter("chivewharf_config_records_total", "result=\"rejected\"")},
      republished_{metrics.counter("chivewharf_config_republications_total")},
      from_peers_{metrics.counter("chivewharf_config_from_peers_total")},
      violations_{metrics.counter("chivewharf_promise_violations_total", "promise=\"P8\"")},
      version_gauge_{metrics.gauge("chivewharf_config_version")}
{
}

void config_service::log_entry(const configlog::history_entry& entry)
{
    if (entry.decision == verdict::in_force)
        ++accepted_;
    else if (entry.decision != verdict::republished && entry.decision != verdict::duplicate)
        ++rejected_;
    log_line{"config_record"}
        .add("offset", entry.offset)
        .add("version", entry.version)
        .add("author", entry.author)
        .add("verdict", to_name(entry.decision))
        .add("detail", entry.detail)
        .write();
}

void config_service::track_configured_since(const configlog::history_entry& entry)
{
    const auto* in_force = history_.in_force();
    if (in_force == nullptr || entry.decision != verdict::in_force)
        return;
    const bool configured = is_configured(in_force->record, site_, self_.host);
    if (configured && !configured_)
        configured_since_ = entry.version == 1 ? std::nullopt : std::optional{entry.time};
    configured_ = configured;
    configured_since_known_ = true;
}

std::optional<config_change> config_service::on_read(const config_read& read)
{
    history_.on_read(read.from, read.first);
    for (const auto& record : read.records) {
        const auto entry = history_.apply(record.offset, record.time, record.data);
        if (!entry)
            continue;
        log_entry(*entry);
        track_configured_since(*entry);
    }
    if (read.reached_end)
        history_.caught_up();
    const auto previous_version = follower_.version();
    const auto changed = follower_.on_history(history_);
    if (!changed) {
        log_line{"config_not_applied"}.add("message", changed.error().message).warn();
        return std::nullopt;
    }
    if (follower_.version() < previous_version)
        ++violations_;
    if (!*changed)
        return std::nullopt;
    if (!configured_since_known_) {
        // The start of the log is no longer retained: use the append time of the copy that was
        // read.
        configured_since_ = history_.in_force()->time;
        configured_since_known_ = true;
    }
    return make_change(true);
}

config_change config_service::make_change(bool from_log) const
{
    version_gauge_ = static_cast<double>(follower_.version());
    return {follower_.version(), follower_.settings(), configured_since_,
            from_log && configured_since_known_};
}

void config_service::on_version(const std::string& from, const wire::config_version& message)
{
    const auto announced = static_cast<std::int64_t>(message.version);
    if (follower_.wants(announced))
        actions_.add(send_peer{from, wire::config_request{message.version}});
    else if (announced < version())
        actions_.add(send_peer{from, wire::config_version{static_cast<std::uint64_t>(version())}});
}

void config_service::on_request(const std::string& from, const wire::config_request& /*message*/)
{
    if (ready())
        actions_.add(send_peer{from, wire::config_record{static_cast<std::uint64_t>(version()),
                                                         follower_.record_data()}});
}

std::optional<config_change> config_service::on_record(const wire::config_record& message)
{
    if (!follower_.wants(static_cast<std::int64_t>(message.version)))
        return std::nullopt;
    const auto accepted = follower_.offer_from_peer(message.body);
    if (!accepted) {
        log_line{"config_from_peer_refused"}
            .add("version", message.version)
            .add("message", accepted.error().message)
            .warn();
        return std::nullopt;
    }
    ++from_peers_;
    log_line{"config_from_peer"}.add("version", message.version).write();
    return make_change(false);
}

void config_service::tick(wall_ms now, const std::vector<std::string>& peers,
                          const std::vector<std::string>& other_domain_hosts)
{
    const wire::config_version own{static_cast<std::uint64_t>(version())};
    if (!peers.empty()) {
        std::uniform_int_distribution<std::size_t> pick{0, peers.size() - 1};
        actions_.add(send_peer{peers[pick(random_)], own});
    }
    if (++ticks_ % other_domain_ticks == 0) {
        for (const auto& host : other_domain_hosts)
            actions_.add(send_peer{host, own});
    }
    const auto record_id = self_.host + '-' + to_hex(self_.incarnation) + "-republish-" +
                           std::to_string(republications_);
    if (auto record = republisher_.poll(now, history_, random_, record_id, self_.host)) {
        ++republications_;
        ++republished_;
        actions_.add(append_record{stream, record_id, std::move(*record)});
    }
}

} // namespace chivewharf::dispatch
