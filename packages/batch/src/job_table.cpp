#include "hibiscus/batch/job_table.hpp"

#include "hibiscus/base/result.hpp"

namespace hibiscus::batch {

namespace {

std::optional<job_id> job_of(const journal_key& key) {
    return std::visit(
        base::overloaded{
            [](const owner_key&) -> std::optional<job_id> { return {}; },
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

std::optional<job_id> job_table::apply(const store::change& c) {
    const auto key = parse_key(c.key);
    if (!key) {
        ++unreadable_records_;
        return std::nullopt;
    }
    if (c.value) {
        apply_value(*key, *c.value);
    } else {
        apply_erasure(*key);
    }
    return job_of(*key);
}

job_row& job_table::find_or_add(const job_id& id) {
    auto& r = jobs_[id];
    if (r.first_seen_at == 0) {
        r.first_seen_at = clock_.now();
    }
    return r;
}

void job_table::apply_value(const journal_key& key, const std::string& value) {
    std::visit(
        base::overloaded{
            [&](const owner_key&) {
                if (auto o = decode_owner(value)) {
                    owner_ = owner_row{std::move(*o), clock_.now()};
                } else {
                    ++unreadable_records_;
                }
            },
            [&](const header_key& k) {
                auto h = decode_header(value);
                if (!h) {
                    ++unreadable_records_;
                    return;
                }
                auto& r = find_or_add(k.job);
                if (!r.header) {
                    r.header = std::move(h);
                }
            },
            [&](const commit_key& k) {
                auto l = decode_commit(value);
                if (!l) {
                    ++unreadable_records_;
                    return;
                }
                auto& r = find_or_add(k.job);
                for (const auto& item : l->rows) {
                    r.committed_items.insert(item.item_index);
                }
                r.commits[k.position] = std::move(*l);
            },
            [&](const end_key& k) { find_or_add(k.job).has_ended = true; }},
        key);
}

void job_table::apply_erasure(const journal_key& key) {
    std::visit(base::overloaded{
                   [&](const owner_key&) { owner_.reset(); },
                   [&](const header_key& k) { jobs_.erase(k.job); },
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
