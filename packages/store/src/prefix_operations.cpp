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
    std::vector<record> records;
    std::size_t read_bytes = 0;

    prefix_read_operation(
        const log_store& log_calls, partition read_from, std::string key_prefix,
        std::size_t byte_limit,
        std::function<void(std::optional<std::vector<record>>)> callback)
        : store(log_calls), source(std::move(read_from)),
          prefix(std::move(key_prefix)), max_bytes(byte_limit),
          done(std::move(callback)) {}

    void request_page(const std::string& after_key) {
        store.read_latest(source, after_key,
                          [self = shared_from_this()](latest_result r) {
                              self->on_page(std::move(r));
                          });
    }

    void on_page(latest_result result) {
        auto* page = base::value_if(result);
        if (page == nullptr || has_no_cursor(*page)) {
            done(std::nullopt);
            return;
        }
        std::string last_key;
        for (auto& r : page->records) {
            last_key = r.content.key;
            if (last_key.compare(0, prefix.size(), prefix) != 0) {
                finish();
                return;
            }
            read_bytes += r.content.value.size();
            records.push_back(std::move(r.content));
            if (read_bytes >= max_bytes && completes_value(records.back())) {
                finish();
                return;
            }
        }
        if (page->has_more) {
            request_page(last_key);
            return;
        }
        finish();
    }

    void finish() { done(join_chunks(std::move(records))); }
};

/// Deletes the records page by page. Each page is requested from the prefix on,
/// because the records of the previous page no longer exist.
struct prefix_erase_operation
    : std::enable_shared_from_this<prefix_erase_operation> {
    const log_store& store;
    partition source;
    std::string prefix;
    std::function<void(bool)> done;

    prefix_erase_operation(const log_store& log_calls, partition erase_from,
                           std::string key_prefix,
                           std::function<void(bool)> callback)
        : store(log_calls), source(std::move(erase_from)),
          prefix(std::move(key_prefix)), done(std::move(callback)) {}

    void request_page() {
        store.read_latest(source, prefix,
                          [self = shared_from_this()](const latest_result& r) {
                              self->on_page(r);
                          });
    }

    void on_page(const latest_result& result) {
        const auto* page = base::value_if(result);
        if (page == nullptr || has_no_cursor(*page)) {
            done(false);
            return;
        }
        std::vector<record> deletions;
        for (const auto& r : page->records) {
            if (r.content.key.compare(0, prefix.size(), prefix) != 0) {
                break;
            }
            deletions.push_back({r.content.key, ""});
        }
        if (deletions.empty()) {
            done(true);
            return;
        }
        store.append(source, deletions, nullptr,
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
                 const std::string& prefix, const std::string& after_key,
                 std::size_t max_bytes,
                 std::function<void(std::optional<std::vector<record>>)> done) {
    std::make_shared<prefix_read_operation>(store, source, prefix, max_bytes,
                                            std::move(done))
        ->request_page(after_key);
}

} // namespace hibiscus::store
