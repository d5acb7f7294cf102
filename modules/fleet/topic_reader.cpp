#include <fleet/topic_reader.h>

#include <algorithm>
#include <base/log_line.h>
#include <utility>

namespace chivewharf::fleet {

namespace {

/// The time for which the topic may be overdue before it no longer counts as current.
constexpr duration overdue_limit = seconds{1};

wire::store_record to_wire(const keyed_record& record)
{
    return {record.key, record.offset, !record.value.has_value(), record.value.value_or("")};
}

keyed_record from_wire(const wire::store_record& record)
{
    keyed_record decoded{record.key, std::nullopt, record.offset};
    if (!record.deleted)
        decoded.value = record.value;
    return decoded;
}

} // namespace

topic_reader::topic_reader(store_topic topic, plan reading_plan, apply_function apply)
    : topic_{topic}, plan_{reading_plan}, apply_{std::move(apply)},
      follower_{[this](const keyed_record& record) {
          const auto part = apply_(record);
          if (part == relay::record)
              relevant_.push_back(to_wire(record));
          else if (part == relay::deletion)
              relevant_.push_back({record.key, record.offset, true, {}});
      }}
{
}

topic_follower::request topic_reader::next() const
{
    auto request = follower_.next();
    if (small_reads_)
        request.max_records = max_records_of_small_read;
    return request;
}

time_point topic_reader::due(std::size_t rank) const
{
    if (follower_.next().newest || missed_records_ || behind_)
        return not_before_;
    auto due = refreshed_ + plan_.pause;
    if (rank > 0)
        due += plan_.wait + standby_delay + (rank - 1) * rank_delay;
    return std::max(due, not_before_);
}

bool topic_reader::current(time_point now) const
{
    return now - refreshed_ <= plan_.wait + plan_.pause + overdue_limit;
}

std::vector<wire::store_records> topic_reader::read_answered(const store_reply& reply,
                                                             time_point now)
{
    const auto request = next();
    not_before_ = {};
    if (reply.history_gone || (!request.newest && reply.end < request.offset)) {
        log_line{"store_history_gone"}.add("topic", to_name(topic_)).write();
        follower_.restart();
        return {};
    }
    relevant_.clear();
    if (request.newest)
        follower_.on_page(reply.records, reply.more, reply.end);
    else
        follower_.on_records(reply.records);
    refreshed_ = now;
    // What this host reads on its own account, the other hosts have already.
    const bool own_account = request.newest || std::exchange(missed_records_, false);
    behind_ = !next().newest && next().offset < reply.end;
    small_reads_ = small_reads_ && behind_;
    if (own_account)
        return {};
    return messages(request.offset);
}

std::vector<wire::store_records> topic_reader::messages(std::uint64_t begin)
{
    std::vector<wire::store_records> all;
    auto remaining = std::exchange(relevant_, {});
    std::size_t taken = 0;
    do {
        wire::store_records message{static_cast<std::uint8_t>(topic_), begin, next().offset, {}};
        std::size_t bytes = 0;
        while (taken < remaining.size() && message.records.size() < max_records_per_message &&
               bytes < full_message_bytes) {
            auto& record = remaining[taken++];
            bytes += record.key.size() + record.value.size();
            message.records.push_back(std::move(record));
        }
        if (taken < remaining.size())
            message.end = message.records.back().offset + 1;
        begin = message.end;
        all.push_back(std::move(message));
    } while (taken < remaining.size());
    return all;
}

void topic_reader::read_failed(duration backoff, time_point now)
{
    not_before_ = now + backoff;
}

bool topic_reader::reply_too_large(time_point now)
{
    if (follower_.next().newest || small_reads_)
        return false;
    log_line{"store_reply_too_large"}
        .add("topic", to_name(topic_))
        .add("offset", follower_.next().offset)
        .warn();
    small_reads_ = true;
    not_before_ = now;
    return true;
}

void topic_reader::passed_on(const wire::store_records& records, time_point now)
{
    // The pages of newest records have to be read first, and a sender that is behind this host has
    // nothing new.
    if (next().newest || records.end < next().offset)
        return;
    if (records.begin > next().offset) {
        missed_records_ = true;
        return;
    }
    std::vector<keyed_record> decoded;
    decoded.reserve(records.records.size());
    for (const auto& record : records.records)
        decoded.push_back(from_wire(record));
    follower_.on_records(decoded);
    follower_.advance(records.end);
    relevant_.clear();
    missed_records_ = false;
    behind_ = false;
    refreshed_ = now;
}

} // namespace chivewharf::fleet
