#include "hibiscus/store/prefix_operations.hpp"

#include "hibiscus/store/value_chunks.hpp"

#include <memory>
#include <utility>

namespace hibiscus::store {

namespace {

struct prefix_read_operation
    : std::enable_shared_from_this<prefix_read_operation> {
    const log_store& store;
    partition source;
    std::string prefix;
    std::size_t max_bytes;
    std::function<void(std::optional<std::vector<record>>)> done;
    std::vector<record> found;
    std::size_t found_bytes = 0;

    prefix_read_operation(
        const log_store& s, partition p, std::string pre, std::size_t most,
        std::function<void(std::optional<std::vector<record>>)> d)
        : store(s), source(std::move(p)), prefix(std::move(pre)),
          max_bytes(most), done(std::move(d)) {}

    void request_page(const std::string& after) {
        store.read_latest(source, after,
                          [self = shared_from_this()](latest_result r) {
                              self->on_page(std::move(r));
                          });
    }

    void on_page(latest_result result) {
        auto* p = base::value_if(result);
        if (p == nullptr || has_no_cursor(*p)) {
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
            found_bytes += r.content.value.size();
            found.push_back(std::move(r.content));
            if (found_bytes >= max_bytes && completes_value(found.back())) {
                finish();
                return;
            }
        }
        if (p->has_more) {
            request_page(last);
            return;
        }
        finish();
    }

    void finish() { done(join_chunks(std::move(found))); }
};

/// Erases page by page; each page begins anew behind the prefix, since what
/// was erased is no longer there.
struct prefix_erase_operation
    : std::enable_shared_from_this<prefix_erase_operation> {
    const log_store& store;
    partition source;
    std::string prefix;
    std::function<void(bool)> done;

    prefix_erase_operation(const log_store& s, partition p, std::string pre,
                           std::function<void(bool)> d)
        : store(s), source(std::move(p)), prefix(std::move(pre)),
          done(std::move(d)) {}

    void request_page() {
        store.read_latest(source, prefix,
                          [self = shared_from_this()](const latest_result& r) {
                              self->on_page(r);
                          });
    }

    void on_page(const latest_result& result) {
        const auto* p = base::value_if(result);
        if (p == nullptr || has_no_cursor(*p)) {
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
                             self->request_page();
                         }
                     });
    }
};

} // namespace

void erase_prefix(const log_store& store, const partition& source,
                  const std::string& prefix, std::function<void(bool)> done) {
    std::make_shared<prefix_erase_operation>(store, source, prefix,
                                             std::move(done))
        ->request_page();
}

void read_prefix(const log_store& store, const partition& source,
                 const std::string& prefix, const std::string& after,
                 std::size_t most_bytes,
                 std::function<void(std::optional<std::vector<record>>)> done) {
    std::make_shared<prefix_read_operation>(store, source, prefix, most_bytes,
                                            std::move(done))
        ->request_page(after);
}

} // namespace hibiscus::store
