#include "simulated_log.hpp"

#include <algorithm>

namespace kingcuplink::test {

namespace {

/*! Number of recent appends that are recognized when they are repeated. */
constexpr std::size_t max_recent_appends = 5u;

} // namespace

simulated_log::answer simulated_log::append(
    std::vector<log_record> const &records, std::optional<append_writer> const writer) {
    if(writer) {
        auto const repeated = std::find_if(recent_appends_.begin(), recent_appends_.end(), [&writer](auto const &item) {
            return item.writer.epoch == writer->epoch && item.writer.sequence == writer->sequence;
        });
        if(repeated != recent_appends_.end() && (acknowledges_fenced_repeats_ || writer->epoch == epoch_)) {
            return {append_result::done, repeated->offset};
        }
        if(writer->epoch < epoch_) {
            return {append_result::fenced, 0u};
        }
        if(writer->epoch == epoch_ && writer->sequence != sequence_ + 1u) {
            return {append_result::out_of_sequence, 0u};
        }
        epoch_ = writer->epoch;
        sequence_ = writer->sequence;
        recent_appends_.push_back({*writer, records_.size()});
        if(recent_appends_.size() > max_recent_appends) {
            recent_appends_.erase(recent_appends_.begin());
        }
    }
    auto const offset = records_.size();
    records_.insert(records_.end(), records.begin(), records.end());
    return {append_result::done, offset};
}

} // namespace kingcuplink::test
