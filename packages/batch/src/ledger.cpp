#include "hibiscus/batch/ledger.hpp"

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
    if (listings.empty()) {
        return 0;
    }
    const auto& last = *listings.rbegin();
    return last.first + static_cast<int>(last.second.rows.size());
}

std::optional<job_id> ledger::apply(const store::change& c) {
    const auto key = parse_key(c.key);
    if (!key) {
        ++unreadable_;
        return std::nullopt;
    }
    if (c.value) {
        put(*key, *c.value);
    } else {
        erase(*key);
    }
    return job_of(*key);
}

job_row& ledger::row(const job_id& id) {
    auto& r = jobs_[id];
    if (r.seen_at == 0) {
        r.seen_at = clock_.now();
    }
    return r;
}

void ledger::put(const journal_key& key, const std::string& value) {
    std::visit(base::overloaded{
                   [&](const owner_key&) {
                       if (auto o = decode_owner(value)) {
                           owner_ = owner_row{std::move(*o), clock_.now()};
                       } else {
                           ++unreadable_;
                       }
                   },
                   [&](const header_key& k) {
                       auto h = decode_header(value);
                       if (!h) {
                           ++unreadable_;
                           return;
                       }
                       auto& r = row(k.job);
                       if (!r.header) {
                           r.header = std::move(h);
                       }
                   },
                   [&](const listing_key& k) {
                       auto l = decode_listing(value);
                       if (!l) {
                           ++unreadable_;
                           return;
                       }
                       auto& r = row(k.job);
                       for (const auto& item : l->rows) {
                           r.listed.insert(item.item);
                       }
                       r.listings[k.position] = std::move(*l);
                   },
                   [&](const end_key& k) { row(k.job).ended = true; }},
               key);
}

void ledger::erase(const journal_key& key) {
    std::visit(base::overloaded{
                   [&](const owner_key&) { owner_.reset(); },
                   [&](const header_key& k) { jobs_.erase(k.job); },
                   [](const auto&) {},
               },
               key);
}

const job_row* ledger::find(const job_id& id) const {
    const auto row = jobs_.find(id);
    if (row == jobs_.end() || !row->second.header) {
        return nullptr;
    }
    return &row->second;
}

} // namespace hibiscus::batch
