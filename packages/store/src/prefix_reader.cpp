#include "hibiscus/store/prefix_reader.hpp"

#include "hibiscus/store/pieces.hpp"

#include <memory>
#include <utility>

namespace hibiscus::store {

namespace {

struct reading : std::enable_shared_from_this<reading> {
    const log_store& store;
    partition source;
    std::string prefix;
    std::size_t most_bytes;
    std::function<void(std::optional<std::vector<record>>)> done;
    std::vector<record> found;
    std::size_t bytes = 0;

    reading(const log_store& s, partition p, std::string pre, std::size_t most,
            std::function<void(std::optional<std::vector<record>>)> d)
        : store(s), source(std::move(p)), prefix(std::move(pre)),
          most_bytes(most), done(std::move(d)) {}

    void page(const std::string& after) {
        store.newest(source, after,
                     [self = shared_from_this()](newest_result r) {
                         self->on_page(std::move(r));
                     });
    }

    void on_page(newest_result result) {
        auto* p = base::value_if(result);
        if (p == nullptr || lacks_cursor(*p)) {
            done(std::nullopt);
            return;
        }
        std::string last;
        for (auto& r : p->records) {
            last = r.content.key;
            if (last.compare(0, prefix.size(), prefix) != 0) {
                finish();
                return;
            }
            bytes += r.content.value.size();
            found.push_back(std::move(r.content));
            if (bytes >= most_bytes && ends_value(found.back())) {
                finish();
                return;
            }
        }
        if (p->more) {
            page(last);
            return;
        }
        finish();
    }

    void finish() { done(join_pieces(std::move(found))); }
};

/// Erases page by page; each page begins anew behind the prefix, since what
/// was erased is no longer there.
struct erasing : std::enable_shared_from_this<erasing> {
    const log_store& store;
    partition source;
    std::string prefix;
    std::function<void(bool)> done;

    erasing(const log_store& s, partition p, std::string pre,
            std::function<void(bool)> d)
        : store(s), source(std::move(p)), prefix(std::move(pre)),
          done(std::move(d)) {}

    void page() {
        store.newest(source, prefix,
                     [self = shared_from_this()](const newest_result& r) {
                         self->on_page(r);
                     });
    }

    void on_page(const newest_result& result) {
        const auto* p = base::value_if(result);
        if (p == nullptr || lacks_cursor(*p)) {
            done(false);
            return;
        }
        std::vector<record> erasures;
        for (const auto& r : p->records) {
            if (r.content.key.compare(0, prefix.size(), prefix) != 0) {
                break;
            }
            erasures.push_back({r.content.key, ""});
        }
        if (erasures.empty()) {
            done(true);
            return;
        }
        store.append(source, erasures, nullptr,
                     [self = shared_from_this()](const append_result& r) {
                         if (base::value_if(r) == nullptr) {
                             self->done(false);
                         } else {
                             self->page();
                         }
                     });
    }
};

} // namespace

void erase_prefix(const log_store& store, const partition& source,
                  const std::string& prefix, std::function<void(bool)> done) {
    std::make_shared<erasing>(store, source, prefix, std::move(done))->page();
}

void read_prefix(const log_store& store, const partition& source,
                 const std::string& prefix, const std::string& after,
                 std::size_t most_bytes,
                 std::function<void(std::optional<std::vector<record>>)> done) {
    std::make_shared<reading>(store, source, prefix, most_bytes,
                              std::move(done))
        ->page(after);
}

} // namespace hibiscus::store
