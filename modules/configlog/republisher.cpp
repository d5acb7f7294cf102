#include <configlog/republisher.h>

namespace chivewharf::configlog {

std::optional<std::string> republisher::poll(wall_ms now, const config_history& history,
                                             rng& random, std::string_view record_id,
                                             std::string_view author)
{
    const auto* current = history.in_force();
    if (current == nullptr || history.has_gap() || now - current->time <= to_ms(retention_) / 2) {
        due_at_.reset();
        return std::nullopt;
    }
    if (!due_at_ || due_offset_ != current->offset) {
        due_offset_ = current->offset;
        due_at_ = now + delay(random);
    }
    if (now < *due_at_)
        return std::nullopt;
    // The append may fail or its response may be lost. Unless the record is read back,
    // republication becomes due again.
    due_at_ = now + delay(random);
    auto record = current->record;
    record.original_id = current->record.publication_id();
    record.republication = true;
    record.based_on = 0;
    record.record_id = record_id;
    record.author = author;
    return encode(record);
}

wall_ms republisher::delay(rng& random) const
{
    return to_ms(uniform_duration(random, retention_ / 8)) + 1;
}

} // namespace chivewharf::configlog
