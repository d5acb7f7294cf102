#include <wire/frame_codec.h>

#include <algorithm>
#include <cstring>
#include <flatbuffers/flatbuffers.h>
#include <utility>
#include <vector>
#include <wire/generated/frame_generated.h>

namespace chivewharf::wire {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Smallest buffer that can contain a root table: root offset, vtable and vtable offset.
constexpr std::size_t min_frame_bytes = 12;
// A frame contains at most the root, one body and the entries of a report.
constexpr flatbuffers::uoffset_t max_tables = max_report_entries + 2;
constexpr flatbuffers::uoffset_t max_depth = 8;
constexpr std::size_t initial_builder_bytes = 256;

// Encoding: one overload per message type.

auto bytes(FlatBufferBuilder& b, std::string_view data)
{
    return b.CreateVector(reinterpret_cast<const std::uint8_t*>(data.data()), data.size());
}

template <std::size_t N>
auto bytes(FlatBufferBuilder& b, const std::array<std::uint8_t, N>& data)
{
    return b.CreateVector(data.data(), data.size());
}

auto text(FlatBufferBuilder& b, const std::string& s)
{
    return b.CreateString(s);
}

auto write(FlatBufferBuilder& b, const hello& m)
{
    return fbs::Createhello(b, m.major, m.minor, text(b, m.domain), text(b, m.host), m.incarnation,
                            bytes(b, m.nonce));
}

auto write(FlatBufferBuilder& b, const proof& m)
{
    return fbs::Createproof(b, bytes(b, m.hmac));
}

auto write(FlatBufferBuilder& b, const ping&)
{
    return fbs::Createping(b);
}

auto write(FlatBufferBuilder& b, const forward& m)
{
    return fbs::Createforward(b, m.request_id, text(b, m.customer), text(b, m.submission_id),
                              static_cast<std::uint8_t>(m.operation), m.wait_ms, bytes(b, m.body));
}

auto write(FlatBufferBuilder& b, const forward_answer& m)
{
    return fbs::Createforward_answer(b, m.request_id, m.status, m.retry_after_ms, text(b, m.owner),
                                     bytes(b, m.body));
}

auto write(FlatBufferBuilder& b, const heartbeat& m)
{
    return fbs::Createheartbeat(b, m.incarnation, m.sequence, m.view);
}

auto write(FlatBufferBuilder& b, const member_entry& m)
{
    return fbs::Createmember_entry(b, text(b, m.domain), text(b, m.host), text(b, m.address),
                                   m.incarnation, m.sequence, static_cast<std::uint8_t>(m.state),
                                   m.silence_ms, m.age_ms, b.CreateVector(m.retired));
}

auto write(FlatBufferBuilder& b, const member_report& m)
{
    std::vector<Offset<fbs::member_entry>> entries;
    entries.reserve(m.entries.size());
    for (const auto& entry : m.entries)
        entries.push_back(write(b, entry));
    return fbs::Createmember_report(b, b.CreateVector(entries), m.sync);
}

auto write(FlatBufferBuilder& b, const usage_average& m)
{
    return fbs::Createusage_average(b, m.exchange, m.epoch, m.reply, b.CreateVector(m.keys),
                                    b.CreateVector(m.values));
}

auto write(FlatBufferBuilder& b, const std::vector<lent_slots>& slots)
{
    std::vector<Offset<fbs::lent_slots>> entries;
    entries.reserve(slots.size());
    for (const auto& lent : slots)
        entries.push_back(fbs::Createlent_slots(b, lent.grant, text(b, lent.worker), lent.slots));
    return b.CreateVector(entries);
}

auto write(FlatBufferBuilder& b, const std::vector<slot_epoch>& slots)
{
    std::vector<fbs::slot_epoch> entries;
    entries.reserve(slots.size());
    for (const auto& entry : slots)
        entries.emplace_back(entry.slot, entry.epoch);
    return b.CreateVectorOfStructs(entries);
}

auto write(FlatBufferBuilder& b, const slot_request& m)
{
    return fbs::Createslot_request(b, m.request, text(b, m.service), m.slots, write(b, m.renew));
}

auto write(FlatBufferBuilder& b, const slot_grant& m)
{
    return fbs::Createslot_grant(b, m.request, text(b, m.service), m.lease_ms, write(b, m.granted),
                                 write(b, m.renewed), m.spare);
}

auto write(FlatBufferBuilder& b, const slot_return& m)
{
    return fbs::Createslot_return(b, write(b, m.slots), b.CreateVectorOfStrings(m.leaving));
}

auto write(FlatBufferBuilder& b, const promise_request& m)
{
    return fbs::Createpromise_request(b, text(b, m.host), m.incarnation, write(b, m.slots),
                                      m.asked_at_ns);
}

auto write(FlatBufferBuilder& b, const promise& m)
{
    return fbs::Createpromise(b, text(b, m.configured_host), write(b, m.slots), m.asked_at_ns);
}

auto write(FlatBufferBuilder& b, const handover_records& m)
{
    return fbs::Createhandover_records(b, m.slot, m.epoch, m.quarantine_ms, m.last,
                                       bytes(b, m.body));
}

auto write(FlatBufferBuilder& b, const config_version& m)
{
    return fbs::Createconfig_version(b, m.version);
}

auto write(FlatBufferBuilder& b, const config_request& m)
{
    return fbs::Createconfig_request(b, m.version);
}

auto write(FlatBufferBuilder& b, const config_record& m)
{
    return fbs::Createconfig_record(b, m.version, bytes(b, m.body));
}

auto write(FlatBufferBuilder& b, const spill_task& m)
{
    return fbs::Createspill_task(b, m.request_id, text(b, m.customer), text(b, m.service),
                                 text(b, m.kind), text(b, m.task), m.attempt, m.deadline_ms,
                                 bytes(b, m.body));
}

auto write(FlatBufferBuilder& b, const spill_answer& m)
{
    return fbs::Createspill_answer(b, m.request_id, m.end, text(b, m.message), bytes(b, m.body));
}

auto write(FlatBufferBuilder& b, const load_report& m)
{
    std::vector<Offset<fbs::service_load>> entries;
    entries.reserve(m.services.size());
    for (const auto& load : m.services)
        entries.push_back(fbs::Createservice_load(b, text(b, load.service), load.free_slots));
    return fbs::Createload_report(b, b.CreateVector(entries));
}

auto write(FlatBufferBuilder& b, const job_step& m)
{
    return fbs::Createjob_step(b, m.count, m.cpu_milli, m.memory_mb, m.accelerators, m.estimate_ms,
                               b.CreateVector(m.depends_on), m.gang, m.same_rack, m.saves_progress,
                               m.max_per_worker, text(b, m.required_label), text(b, m.data_rack));
}

auto write(FlatBufferBuilder& b, const job_order& m)
{
    std::vector<Offset<fbs::job_step>> steps;
    steps.reserve(m.steps.size());
    for (const auto& step : m.steps)
        steps.push_back(write(b, step));
    return fbs::Createjob_order(b, text(b, m.job), m.attempt, text(b, m.queue), text(b, m.service),
                                m.priority, m.max_attempts, m.stretch, m.target_ms, m.age_ms,
                                m.remaining_ms, bytes(b, m.payload), b.CreateVector(steps),
                                text(b, m.shard.domain), m.shard.index, m.shard.count,
                                m.worker_revision, m.sent_at_ms);
}

auto write(FlatBufferBuilder& b, const job_result& m)
{
    return fbs::Createjob_result(b, text(b, m.job), m.attempt, static_cast<std::uint8_t>(m.end),
                                 m.retry_after_ms);
}

auto write(FlatBufferBuilder& b, const job_cancel& m)
{
    return fbs::Createjob_cancel(b, text(b, m.job), m.attempt);
}

/// Without a vector of waits, the receiver takes the room for unknown.
Offset<flatbuffers::Vector<const fbs::priority_wait*>>
write_waits(FlatBufferBuilder& b, const std::optional<shard_room>& room)
{
    if (!room)
        return 0;
    std::vector<fbs::priority_wait> waits;
    waits.reserve(room->waits.size());
    for (const auto& wait : room->waits)
        waits.emplace_back(wait.priority, wait.wait_ms);
    return b.CreateVectorOfStructs(waits);
}

auto write(FlatBufferBuilder& b, const host_report& m)
{
    std::vector<Offset<fbs::shard_claim>> claims;
    claims.reserve(m.claims.size());
    for (const auto& claim : m.claims)
        claims.push_back(fbs::Createshard_claim(
            b, text(b, claim.shard.domain), claim.epoch, claim.takeover_complete, claim.free_milli,
            claim.backlog_ms, claim.shard.index, claim.shard.count, claim.leaving,
            claim.worker_revision, b.CreateVectorOfStrings(claim.workers),
            claim.room ? claim.room->startable_tasks : 0, write_waits(b, claim.room)));
    std::vector<Offset<fbs::domain_shards>> domains;
    domains.reserve(m.domains.size());
    for (const auto& known : m.domains)
        domains.push_back(fbs::Createdomain_shards(b, text(b, known.domain), known.count));
    return fbs::Createhost_report(
        b, m.fence_base, m.known_config, m.leaving, m.able, b.CreateVector(claims),
        m.processor_milli, b.CreateVector(domains), m.accepts_store_records, m.operator_offset,
        b.CreateVectorOfStrings(m.drained_domains), m.clock_ms);
}

auto write(FlatBufferBuilder& b, const host_records& m)
{
    std::vector<Offset<fbs::host_record>> hosts;
    hosts.reserve(m.hosts.size());
    for (const auto& host : m.hosts)
        hosts.push_back(fbs::Createhost_record(b, text(b, host.host), text(b, host.domain),
                                               text(b, host.address)));
    return fbs::Createhost_records(b, b.CreateVector(hosts));
}

auto write(FlatBufferBuilder& b, const worker_release& m)
{
    return fbs::Createworker_release(b, text(b, m.domain), text(b, m.worker));
}

auto write(FlatBufferBuilder& b, const store_records& m)
{
    std::vector<Offset<fbs::store_record>> records;
    records.reserve(m.records.size());
    for (const auto& record : m.records)
        records.push_back(fbs::Createstore_record(b, text(b, record.key), record.offset,
                                                  record.deleted, bytes(b, record.value)));
    return fbs::Createstore_records(b, m.topic, m.begin, m.end, b.CreateVector(records));
}

// Decoding: `read` has one overload per table, `read_field` one per field type. They return false
// if a field is missing or out of range.

bool read_field(std::string& to, const flatbuffers::String* from)
{
    if (from == nullptr || from->size() > max_name_bytes)
        return false;
    to = from->str();
    return true;
}

// A missing list counts as empty.
bool read_field(std::vector<std::string>& to,
                const flatbuffers::Vector<Offset<flatbuffers::String>>* from)
{
    if (from == nullptr)
        return true;
    if (from->size() > max_report_entries)
        return false;
    return std::all_of(from->begin(), from->end(), [&to](const flatbuffers::String* name) {
        return read_field(to.emplace_back(), name);
    });
}

// A missing vector counts as empty.
bool read_field(std::string& to, const flatbuffers::Vector<std::uint8_t>* from)
{
    if (from != nullptr)
        to.assign(reinterpret_cast<const char*>(from->data()), from->size());
    return true;
}

template <std::size_t N>
bool read_field(std::array<std::uint8_t, N>& to, const flatbuffers::Vector<std::uint8_t>* from)
{
    if (from == nullptr || from->size() != N)
        return false;
    std::memcpy(to.data(), from->data(), N);
    return true;
}

template <class T>
void read_field(std::vector<T>& to, const flatbuffers::Vector<T>* from)
{
    if (from != nullptr)
        to.assign(from->begin(), from->end());
}

template <class Enum>
bool read_field(Enum& to, std::uint8_t from)
{
    to = static_cast<Enum>(from);
    return from < enum_count<Enum>;
}

bool read(hello& m, const fbs::hello& t)
{
    m.major = t.major();
    m.minor = t.minor();
    m.incarnation = t.incarnation();
    return read_field(m.domain, t.domain()) && read_field(m.host, t.host()) &&
           read_field(m.nonce, t.nonce());
}

bool read(proof& m, const fbs::proof& t)
{
    return read_field(m.hmac, t.hmac());
}

bool read(ping&, const fbs::ping&)
{
    return true;
}

bool read(forward& m, const fbs::forward& t)
{
    m.request_id = t.request_id();
    m.wait_ms = t.wait_ms();
    return read_field(m.customer, t.customer()) && read_field(m.submission_id, t.submission_id()) &&
           read_field(m.operation, t.operation()) && read_field(m.body, t.body());
}

// A string that an older sender may omit.
bool read_optional_field(std::string& to, const flatbuffers::String* from)
{
    return from == nullptr || read_field(to, from);
}

bool read(forward_answer& m, const fbs::forward_answer& t)
{
    m.request_id = t.request_id();
    m.status = t.status();
    m.retry_after_ms = t.retry_after_ms();
    return read_optional_field(m.owner, t.owner()) && read_field(m.body, t.body());
}

bool read(heartbeat& m, const fbs::heartbeat& t)
{
    m = {t.incarnation(), t.sequence(), t.view()};
    return true;
}

bool read(member_entry& m, const fbs::member_entry& t)
{
    m.incarnation = t.incarnation();
    m.sequence = t.sequence();
    m.silence_ms = t.silence_ms();
    m.age_ms = t.age_ms();
    if (t.retired() != nullptr && t.retired()->size() > max_retired_incarnations)
        return false;
    read_field(m.retired, t.retired());
    return read_field(m.domain, t.domain()) && read_field(m.host, t.host()) &&
           (t.address() == nullptr || read_field(m.address, t.address())) &&
           read_field(m.state, t.state());
}

bool read(member_report& m, const fbs::member_report& t)
{
    m.sync = t.sync();
    if (t.entries() == nullptr)
        return true;
    if (t.entries()->size() > max_report_entries)
        return false;
    m.entries.resize(t.entries()->size());
    for (flatbuffers::uoffset_t i = 0; i < t.entries()->size(); ++i) {
        if (!read(m.entries[i], *t.entries()->Get(i)))
            return false;
    }
    return true;
}

bool read(usage_average& m, const fbs::usage_average& t)
{
    m.exchange = t.exchange();
    m.epoch = t.epoch();
    m.reply = t.reply();
    read_field(m.keys, t.keys());
    read_field(m.values, t.values());
    return m.keys.size() == m.values.size();
}

bool read(std::vector<lent_slots>& to, const flatbuffers::Vector<Offset<fbs::lent_slots>>* from)
{
    if (from == nullptr)
        return true;
    if (from->size() > max_lent_slots)
        return false;
    for (const auto* table : *from) {
        auto& entry = to.emplace_back();
        entry.grant = table->grant();
        entry.slots = table->slots();
        if (!read_field(entry.worker, table->worker()))
            return false;
    }
    return true;
}

bool read(std::vector<slot_epoch>& to, const flatbuffers::Vector<const fbs::slot_epoch*>* from)
{
    if (from == nullptr)
        return true;
    if (from->size() > max_slot_epochs)
        return false;
    for (const auto* table : *from)
        to.push_back({table->slot(), table->epoch()});
    return true;
}

bool read(slot_request& m, const fbs::slot_request& t)
{
    m.request = t.request();
    m.slots = t.slots();
    return read_field(m.service, t.service()) && read(m.renew, t.renew());
}

bool read(slot_grant& m, const fbs::slot_grant& t)
{
    m.request = t.request();
    m.lease_ms = t.lease_ms();
    m.spare = t.spare();
    return read_field(m.service, t.service()) && read(m.granted, t.granted()) &&
           read(m.renewed, t.renewed());
}

bool read(slot_return& m, const fbs::slot_return& t)
{
    return read_field(m.leaving, t.leaving()) && read(m.slots, t.slots());
}

bool read(promise_request& m, const fbs::promise_request& t)
{
    m.incarnation = t.incarnation();
    m.asked_at_ns = t.asked_at_ns();
    return read_field(m.host, t.host()) && read(m.slots, t.slots());
}

bool read(promise& m, const fbs::promise& t)
{
    m.asked_at_ns = t.asked_at_ns();
    return read_field(m.configured_host, t.seat()) && read(m.slots, t.slots());
}

bool read(handover_records& m, const fbs::handover_records& t)
{
    m.slot = t.slot();
    m.epoch = t.epoch();
    m.quarantine_ms = t.quarantine_ms();
    m.last = t.last();
    return read_field(m.body, t.body());
}

bool read(config_version& m, const fbs::config_version& t)
{
    m.version = t.version();
    return true;
}

bool read(config_request& m, const fbs::config_request& t)
{
    m.version = t.version();
    return true;
}

bool read(config_record& m, const fbs::config_record& t)
{
    m.version = t.version();
    return read_field(m.body, t.body());
}

bool read(spill_task& m, const fbs::spill_task& t)
{
    m.request_id = t.request_id();
    m.attempt = t.attempt();
    m.deadline_ms = t.deadline_ms();
    return read_field(m.customer, t.customer()) && read_field(m.service, t.service()) &&
           read_field(m.kind, t.kind()) && read_field(m.task, t.task()) &&
           read_field(m.body, t.body());
}

bool read(spill_answer& m, const fbs::spill_answer& t)
{
    m.request_id = t.request_id();
    m.end = t.end();
    return read_optional_field(m.message, t.message()) && read_field(m.body, t.body());
}

bool read(load_report& m, const fbs::load_report& t)
{
    if (t.services() == nullptr)
        return true;
    if (t.services()->size() > max_service_loads)
        return false;
    for (const auto* table : *t.services()) {
        auto& entry = m.services.emplace_back();
        entry.free_slots = table->free_slots();
        if (!read_field(entry.service, table->service()))
            return false;
    }
    return true;
}

bool read(job_step& m, const fbs::job_step& t)
{
    m.count = t.count();
    m.cpu_milli = t.cpu_milli();
    m.memory_mb = t.memory_mb();
    m.accelerators = t.accelerators();
    m.estimate_ms = t.estimate_ms();
    if (t.depends_on() != nullptr)
        m.depends_on.assign(t.depends_on()->begin(), t.depends_on()->end());
    m.gang = t.gang();
    m.same_rack = t.same_rack();
    m.saves_progress = t.saves_progress();
    m.max_per_worker = t.max_per_worker();
    return read_optional_field(m.required_label, t.required_label()) &&
           read_optional_field(m.data_rack, t.data_rack());
}

/// Reads the fields that identify a shard, from any table that has them.
template <class Table>
bool read(shard& m, const Table& t)
{
    m.index = t.shard();
    m.count = t.shards();
    return m.index < m.count && m.count <= max_shards && read_field(m.domain, t.domain());
}

bool read(job_order& m, const fbs::job_order& t)
{
    m.attempt = t.attempt();
    m.priority = t.priority();
    m.max_attempts = t.max_attempts();
    m.stretch = t.stretch();
    m.target_ms = t.target_ms();
    m.age_ms = t.age_ms();
    m.remaining_ms = t.remaining_ms();
    m.worker_revision = t.worker_revision();
    m.sent_at_ms = t.sent_at_ms();
    if (t.steps() == nullptr || t.steps()->size() > max_job_steps)
        return false;
    for (const auto* step : *t.steps()) {
        if (!read(m.steps.emplace_back(), *step))
            return false;
    }
    return read_field(m.job, t.job()) && read_field(m.queue, t.queue()) &&
           read_field(m.service, t.service()) && read_field(m.payload, t.payload()) &&
           read(m.shard, t);
}

bool read(job_result& m, const fbs::job_result& t)
{
    m.attempt = t.attempt();
    m.retry_after_ms = t.retry_after_ms();
    if (t.end() >= enum_count<job_end>)
        return false;
    m.end = static_cast<job_end>(t.end());
    return read_field(m.job, t.job());
}

bool read(job_cancel& m, const fbs::job_cancel& t)
{
    m.attempt = t.attempt();
    return read_field(m.job, t.job());
}

bool read(std::optional<shard_room>& room, const fbs::shard_claim& t)
{
    if (t.waits() == nullptr)
        return true;
    if (t.waits()->size() > max_priority_waits)
        return false;
    room.emplace();
    room->startable_tasks = t.startable_tasks();
    for (const auto* wait : *t.waits())
        room->waits.push_back({wait->priority(), wait->wait_ms()});
    return true;
}

bool read(host_report& m, const fbs::host_report& t)
{
    m.fence_base = t.fence_base();
    m.known_config = t.known_config();
    m.leaving = t.leaving();
    m.able = t.able();
    m.processor_milli = t.processor_milli();
    m.accepts_store_records = t.accepts_store_records();
    if (t.claims() == nullptr || t.domains() == nullptr || t.claims()->size() > max_claims ||
        t.domains()->size() > max_claims)
        return false;
    for (const auto* table : *t.domains()) {
        auto& domain = m.domains.emplace_back();
        domain.count = table->shards();
        if (domain.count == 0 || domain.count > max_shards ||
            !read_field(domain.domain, table->domain()))
            return false;
    }
    for (const auto* table : *t.claims()) {
        auto& claim = m.claims.emplace_back();
        claim.epoch = table->epoch();
        claim.takeover_complete = table->swept();
        claim.free_milli = table->free_milli();
        claim.backlog_ms = table->backlog_ms();
        claim.leaving = table->leaving();
        claim.worker_revision = table->worker_revision();
        if (!read(claim.shard, *table) || !read_field(claim.workers, table->workers()) ||
            !read(claim.room, *table))
            return false;
    }
    m.operator_offset = t.operator_offset();
    m.clock_ms = t.clock_ms();
    if (t.drained_domains() == nullptr)
        return true;
    return t.drained_domains()->size() <= max_drained_domains &&
           read_field(m.drained_domains, t.drained_domains());
}

bool read(host_records& m, const fbs::host_records& t)
{
    if (t.hosts() == nullptr)
        return true;
    if (t.hosts()->size() > max_report_entries)
        return false;
    for (const auto* table : *t.hosts()) {
        auto& entry = m.hosts.emplace_back();
        if (!read_field(entry.host, table->host()) || !read_field(entry.domain, table->domain()) ||
            !read_field(entry.address, table->address()))
            return false;
    }
    return true;
}

bool read(worker_release& m, const fbs::worker_release& t)
{
    return read_field(m.domain, t.domain()) && read_field(m.worker, t.worker());
}

bool read(store_records& m, const fbs::store_records& t)
{
    m.topic = t.topic();
    m.begin = t.begin();
    m.end = t.end();
    if (t.records() == nullptr)
        return true;
    if (t.records()->size() > max_store_records)
        return false;
    for (const auto* table : *t.records()) {
        auto& record = m.records.emplace_back();
        record.offset = table->offset();
        record.deleted = table->deleted();
        if (!read_field(record.key, table->key()) || !read_field(record.value, table->value()))
            return false;
    }
    return true;
}

using decoded = result<message, wire_error>;

template <class Message, class Table>
decoded read_as(const void* table)
{
    Message m;
    if (table == nullptr || !read(m, *static_cast<const Table*>(table))) {
        return unexpected(wire_error{wire_errc::missing_field,
                                     "a field of " + std::string{name_of(message{Message{}})} +
                                         " is missing or out of range"});
    }
    return message{std::move(m)};
}

using table_reader = decoded (*)(const void*);

// In the order of the union `body` without NONE, which is the order of the alternatives of
// `message`.
constexpr std::array<table_reader, std::variant_size_v<message>> table_readers{
    read_as<hello, fbs::hello>,
    read_as<proof, fbs::proof>,
    read_as<ping, fbs::ping>,
    read_as<forward, fbs::forward>,
    read_as<forward_answer, fbs::forward_answer>,
    read_as<heartbeat, fbs::heartbeat>,
    read_as<member_report, fbs::member_report>,
    read_as<usage_average, fbs::usage_average>,
    read_as<slot_request, fbs::slot_request>,
    read_as<slot_grant, fbs::slot_grant>,
    read_as<slot_return, fbs::slot_return>,
    read_as<promise_request, fbs::promise_request>,
    read_as<promise, fbs::promise>,
    read_as<handover_records, fbs::handover_records>,
    read_as<config_version, fbs::config_version>,
    read_as<config_request, fbs::config_request>,
    read_as<config_record, fbs::config_record>,
    read_as<spill_task, fbs::spill_task>,
    read_as<spill_answer, fbs::spill_answer>,
    read_as<load_report, fbs::load_report>,
    read_as<job_order, fbs::job_order>,
    read_as<job_result, fbs::job_result>,
    read_as<job_cancel, fbs::job_cancel>,
    read_as<host_report, fbs::host_report>,
    read_as<host_records, fbs::host_records>,
    read_as<worker_release, fbs::worker_release>,
    read_as<store_records, fbs::store_records>,
};
static_assert(static_cast<std::size_t>(fbs::body::MAX) == table_readers.size());

decoded decode(std::string_view buffer)
{
    // FlatBuffers reads through aligned pointers, but frames in the stream are not aligned.
    std::vector<std::uint64_t> aligned((buffer.size() + 7) / 8);
    std::memcpy(aligned.data(), buffer.data(), buffer.size());
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier{data, buffer.size(), max_depth, max_tables};
    if (!fbs::VerifyframeBuffer(verifier)) {
        return unexpected(wire_error{wire_errc::verification_failed,
                                     "frame of " + std::to_string(buffer.size()) +
                                         " bytes is not a valid FlatBuffers buffer"});
    }
    const auto* frame = fbs::Getframe(data);
    const auto type = static_cast<std::size_t>(frame->body_type());
    if (type == 0 || type > table_readers.size()) {
        return unexpected(wire_error{wire_errc::unknown_type,
                                     "message type " + std::to_string(type) + " is unknown"});
    }
    return table_readers[type - 1](frame->body());
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

} // namespace

std::string encode(const message& m)
{
    FlatBufferBuilder builder{initial_builder_bytes};
    const auto body = std::visit([&](const auto& x) { return write(builder, x).Union(); }, m);
    builder.Finish(fbs::Createframe(builder, static_cast<fbs::body>(m.index() + 1), body));
    const std::size_t size = builder.GetSize();
    std::string frame;
    frame.reserve(length_bytes + size);
    for (std::size_t i = 0; i < length_bytes; ++i)
        frame.push_back(static_cast<char>((size >> (8 * i)) & 0xffU));
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
    return frame;
}

void frame_decoder::feed(std::string_view bytes)
{
    if (error_)
        return;
    buffer_.erase(0, start_);
    start_ = 0;
    buffer_.append(bytes);
}

result<std::optional<message>, wire_error> frame_decoder::next()
{
    if (error_)
        return unexpected(*error_);
    const auto rest = std::string_view{buffer_}.substr(start_);
    if (rest.size() < length_bytes)
        return std::nullopt;
    const std::size_t length = read_length(rest);
    if (length < min_frame_bytes)
        return fail({wire_errc::bad_length, "frame length " + std::to_string(length)});
    if (length > frame_limit_) {
        return fail({wire_errc::too_large, "frame length " + std::to_string(length) +
                                               " exceeds the limit of " +
                                               std::to_string(frame_limit_)});
    }
    if (rest.size() < length_bytes + length)
        return std::nullopt;
    auto m = decode(rest.substr(length_bytes, length));
    if (!m)
        return fail(std::move(m.error()));
    start_ += length_bytes + length;
    return std::optional<message>{std::move(*m)};
}

unexpected<wire_error> frame_decoder::fail(wire_error error)
{
    error_ = std::move(error);
    buffer_ = {};
    start_ = 0;
    return unexpected(*error_);
}

} // namespace chivewharf::wire
