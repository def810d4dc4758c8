#include "hibiscus/batch/job_table.hpp"

#include "hibiscus/base/result.hpp"

namespace hibiscus::batch {

namespace {

std::optional<job_id> job_of(const journal_key& key) {
    return std::visit(
        base::overloaded{
            [](const owner_key&) -> std::optional<job_id> { return {}; },
            [](const loss_key&) -> std::optional<job_id> { return {}; },
            [](const auto& k) -> std::optional<job_id> { return k.job; }},
        key);
}

} // namespace

int job_row::next_position() const {
    if (commits.empty()) {
        return 0;
    }
    const auto& last = *commits.rbegin();
    return last.first + static_cast<int>(last.second.rows.size());
}

std::optional<job_id> job_table::apply(const store::change& change) {
    const auto key = parse_key(change.key);
    if (!key) {
        ++unreadable_records_;
        return std::nullopt;
    }
    if (change.value) {
        apply_value(*key, change);
    } else {
        apply_erasure(*key);
    }
    return job_of(*key);
}

job_row& job_table::find_or_add(const job_id& id) {
    auto& row = jobs_[id];
    if (row.first_seen_at == 0) {
        row.first_seen_at = clock_.now();
    }
    return row;
}

void job_table::apply_header(const header_key& key,
                             const store::change& change) {
    auto header = decode_header(*change.value);
    if (!header) {
        ++unreadable_records_;
        return;
    }
    auto& row = find_or_add(key.job);
    if (row.header && row.submitter == key.submitter) {
        return;
    }
    // A first read returns the headers in the order of their keys.
    if (row.header && row.header_offset <= change.offset) {
        row.rejected_submitters.insert(key.submitter);
        return;
    }
    if (row.header) {
        row.rejected_submitters.insert(row.submitter);
    }
    row.header = std::move(header);
    row.submitter = key.submitter;
    row.header_offset = change.offset;
}

void job_table::apply_value(const journal_key& key,
                            const store::change& change) {
    const auto& value = *change.value;
    std::visit(
        base::overloaded{
            [&](const owner_key&) {
                if (auto owner = decode_owner(value)) {
                    owner_ = owner_row{std::move(*owner), clock_.now()};
                } else {
                    ++unreadable_records_;
                }
            },
            [&](const header_key& k) { apply_header(k, change); },
            [&](const commit_key& k) {
                auto commit = decode_commit(value);
                if (!commit) {
                    ++unreadable_records_;
                    return;
                }
                auto& row = find_or_add(k.job);
                for (const auto& item : commit->rows) {
                    row.committed_items.insert(item.item_index);
                }
                row.commits[k.position] = std::move(*commit);
            },
            [&](const end_key& k) { find_or_add(k.job).has_ended = true; },
            [&](const loss_key& k) {
                if (auto record = decode_losses(value)) {
                    losses_[k.tag] = std::move(*record);
                } else {
                    ++unreadable_records_;
                }
            }},
        key);
}

void job_table::apply_erasure(const journal_key& key) {
    std::visit(base::overloaded{
                   [&](const owner_key&) { owner_.reset(); },
                   [&](const loss_key& k) { losses_.erase(k.tag); },
                   [&](const header_key& k) {
                       const auto row = jobs_.find(k.job);
                       if (row == jobs_.end()) {
                           return;
                       }
                       row->second.rejected_submitters.erase(k.submitter);
                       if (row->second.submitter == k.submitter) {
                           jobs_.erase(row);
                       }
                   },
                   [](const auto&) {},
               },
               key);
}

const job_row* job_table::find(const job_id& id) const {
    const auto row = jobs_.find(id);
    if (row == jobs_.end() || !row->second.header) {
        return nullptr;
    }
    return &row->second;
}

} // namespace hibiscus::batch
