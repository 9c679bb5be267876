#include "simulated_log.hpp"

#include <algorithm>

namespace kingcuplink::test {

namespace {

/*! Appends whose repetition is told from new ones. */
constexpr std::size_t appends_remembered = 5u;

} // namespace

simulated_log::answer simulated_log::append(
    std::vector<log_record> const &records, std::optional<append_writer> const writer) {
    if(writer) {
        auto const repeated = std::find_if(latest_.begin(), latest_.end(), [&writer](auto const &item) {
            return item.writer.epoch == writer->epoch && item.writer.sequence == writer->sequence;
        });
        if(repeated != latest_.end() && (repeats_first_ || writer->epoch == epoch_)) {
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
        latest_.push_back({*writer, records_.size()});
        if(latest_.size() > appends_remembered) {
            latest_.erase(latest_.begin());
        }
    }
    auto const offset = records_.size();
    records_.insert(records_.end(), records.begin(), records.end());
    return {append_result::done, offset};
}

} // namespace kingcuplink::test
