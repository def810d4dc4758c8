#include "hibiscus/batch/ledger.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::batch {

namespace {

std::optional<job_id> job_of(const record_key& key) {
    return std::visit(
        base::overloaded{
            [](const owner_key&) -> std::optional<job_id> { return {}; },
            [](const auto& k) -> std::optional<job_id> { return k.job; }},
        key);
}

} // namespace

std::optional<job_id> ledger::apply(const store::change& c) {
    const auto key = parse_key(c.key);
    if (!key) {
        ++unreadable_;
        return std::nullopt;
    }
    if (c.value) {
        put(*key, c);
    } else {
        erase(*key);
    }
    return job_of(*key);
}

void ledger::put(const record_key& key, const store::change& c) {
    const auto row = [&](const job_id& id) -> job_row& {
        auto& r = jobs_[id];
        if (r.seen_at == 0) {
            r.seen_at = clock_.now();
        }
        return r;
    };
    std::visit(
        base::overloaded{
            [&](const owner_key&) {
                if (auto o = decode_owner(*c.value)) {
                    owner_ = owner_row{std::move(*o), c.at};
                } else {
                    ++unreadable_;
                }
            },
            [&](const header_key& k) {
                auto& r = row(k.job);
                auto h = decode_header(*c.value);
                if (!h) {
                    ++unreadable_;
                } else if (!r.header) {
                    r.header = std::move(h);
                }
            },
            [&](const chunk_key& k) { row(k.job).chunks[k.chunk] = *c.value; },
            [&](const result_key& k) {
                auto& r = row(k.job);
                r.results[k.position] = *c.value;
                r.listed[k.item] = k.position;
                r.progress.erase(k.item);
            },
            [&](const progress_key& k) {
                auto& r = row(k.job);
                if (r.listed.count(k.item) == 0 && !r.ended) {
                    r.progress[k.item][{k.epoch, k.from}] = *c.value;
                }
            },
            [&](const end_key& k) {
                auto& r = row(k.job);
                r.ended = true;
                r.progress.clear();
            }},
        key);
}

void ledger::erase(const record_key& key) {
    std::visit(base::overloaded{
                   [&](const owner_key&) { owner_.reset(); },
                   [&](const header_key& k) { jobs_.erase(k.job); },
                   [](const auto&) {},
               },
               key);
}

const job_row* ledger::find(const job_id& id) const {
    const auto row = jobs_.find(id);
    if (row == jobs_.end() || !row->second.complete()) {
        return nullptr;
    }
    return &row->second;
}

std::vector<item> all_items(const job_row& row) {
    std::vector<item> out;
    for (const auto& chunk : row.chunks) {
        auto items = decode_items(chunk.second);
        if (!items) {
            return {};
        }
        std::move(items->begin(), items->end(), std::back_inserter(out));
    }
    return out;
}

std::optional<item> find_item(const job_row& row, const item_id& id,
                              int* number) {
    int n = 0;
    for (auto& i : all_items(row)) {
        if (i.id == id) {
            if (number != nullptr) {
                *number = n;
            }
            return std::move(i);
        }
        ++n;
    }
    return std::nullopt;
}

saved_text
join_parts(const std::map<std::pair<int, int>, std::string>& parts) {
    saved_text out;
    if (parts.empty()) {
        return out;
    }
    out.epoch = parts.rbegin()->first.first;
    for (const auto& row : parts) {
        if (row.first.first != out.epoch) {
            continue;
        }
        const auto part = decode_progress(row.second);
        if (!part) {
            break;
        }
        out.failures = std::max(out.failures, part->failures);
        if (part->from > out.events) {
            break;
        }
        if (part->from < out.events || part->events == 0) {
            continue;
        }
        if (out.events > 0) {
            out.text += '\n';
        }
        out.text += part->text;
        out.events += part->events;
        out.last_event = part->last_event;
        out.versions = part->versions;
    }
    return out;
}

} // namespace hibiscus::batch
