#include <algorithm>
#include <iterator>
#include <kingcuplink/workflow/job_table.hpp>
#include <kingcuplink/workflow/progress_parts.hpp>
#include <utility>

namespace kingcuplink {

bool job_table::define(job_definition definition) {
    auto const id = definition.id;
    auto const [found, inserted] = jobs_.try_emplace(id);
    if(inserted) {
        found->second.definition = std::move(definition);
        found->second.cancel_requested = early_cancellations_.erase(id) > 0u;
        count(found->second, 1);
    }
    return inserted;
}

void job_table::advance(std::string const &id, job_progress progress, instant const now) {
    auto const found = jobs_.find(id);
    if(found == jobs_.end()) {
        return;
    }
    auto &entry = found->second;
    count(entry, -1);
    if(progress.part) {
        replace_part(entry, std::move(progress));
        count(entry, 1);
        return;
    }
    if(is_final(progress.phase) && !is_final(entry.progress.phase)) {
        entry.ended_at = now;
        // The payload, the steps and the terms are only needed until the job ends.
        entry.definition.payload = {};
        entry.definition.steps = {};
        entry.definition.terms = {};
    }
    entry.progress = std::move(progress);
    count(entry, 1);
}

void job_table::replace_part(job_entry &entry, job_progress progress) {
    auto &current = entry.progress;
    if(is_final(current.phase)) {
        // A snapshot may contain parts of an ended job.
        return;
    }
    // The newest records of several parts may have been written in different phases.
    current.phase = std::max(current.phase, progress.phase);
    progress_parts const parts{entry.definition.steps};
    std::erase_if(
        current.tasks, [&](auto const &task) { return parts.part_of(task.step, task.index) == *progress.part; });
    std::move(progress.tasks.begin(), progress.tasks.end(), std::back_inserter(current.tasks));
}

bool job_table::cancel(std::string const &id, instant const now) {
    auto const found = jobs_.find(id);
    if(found == jobs_.end()) {
        early_cancellations_.try_emplace(id, now);
        return false;
    }
    if(is_final(found->second.progress.phase)) {
        return false;
    }
    count(found->second, -1);
    found->second.cancel_requested = true;
    count(found->second, 1);
    return true;
}

bool job_table::is_cancelled(std::string const &id) const {
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? early_cancellations_.contains(id)
                                : found->second.cancel_requested || is_final(found->second.progress.phase);
}

void job_table::set_reported_phase(std::string const &id, job_phase const phase) {
    if(auto const found = jobs_.find(id); found != jobs_.end() && is_final(phase)) {
        count(found->second, -1);
        found->second.reported_phase = phase;
        count(found->second, 1);
    }
}

void job_table::forget(std::string const &id) {
    if(auto const found = jobs_.find(id); found != jobs_.end()) {
        count(found->second, -1);
        jobs_.erase(found);
    }
    early_cancellations_.erase(id);
}

std::size_t job_table::inherit_local_state(job_table const &former) {
    std::size_t dropped{};
    for(auto const &[id, known]: former.jobs_) {
        auto const found = jobs_.find(id);
        // An identifier may have been used again after the job was removed.
        if(found == jobs_.end() || found->second.definition.accepted_at != known.definition.accepted_at) {
            ++dropped;
            continue;
        }
        if(known.reported_phase) {
            set_reported_phase(id, *known.reported_phase);
        }
        if(is_final(known.progress.phase) && is_final(found->second.progress.phase)) {
            found->second.ended_at = known.ended_at;
        }
    }
    for(auto &[id, read_at]: early_cancellations_) {
        if(auto const known = former.early_cancellations_.find(id); known != former.early_cancellations_.end()) {
            read_at = known->second;
        }
    }
    return dropped;
}

job_entry const *job_table::find(std::string const &id) const {
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

job_phase job_table::visible_phase(job_entry const &entry) noexcept {
    auto const phase = entry.progress.phase;
    if(entry.reported_phase && !is_final(phase)) {
        return *entry.reported_phase;
    }
    return entry.cancel_requested && !is_final(phase) ? job_phase::cancelled : phase;
}

std::size_t job_table::pending(std::string_view const queue, std::uint32_t const path_hash) const {
    std::int64_t count{};
    for(auto const &[origin, jobs]: pending_) {
        auto const &[name, hash] = origin;
        count += name == queue || (hash != 0u && hash == path_hash) ? jobs : 0;
    }
    return static_cast<std::size_t>(count);
}

std::vector<std::string> job_table::expired_before(instant const time) const {
    std::vector<std::string> ids;
    for(auto const &[id, entry]: jobs_) {
        if(is_final(entry.progress.phase) && entry.ended_at < time) {
            ids.push_back(id);
        }
    }
    for(auto const &[id, read_at]: early_cancellations_) {
        if(read_at < time) {
            ids.push_back(id);
        }
    }
    return ids;
}

void job_table::count(job_entry const &entry, std::int64_t const change) {
    if(visible_phase(entry) == job_phase::queued) {
        auto const found = pending_.try_emplace({entry.definition.queue, entry.definition.path_hash}).first;
        found->second += change;
        if(found->second == 0) {
            pending_.erase(found);
        }
    }
}

} // namespace kingcuplink
