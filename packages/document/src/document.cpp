#include "hibiscus/document/document.hpp"

namespace hibiscus::document {

namespace {

/// Returns the row named `name`, or null if there is none.
template <class Row, class Id>
const Row* find_row(const std::vector<Row>& rows, const Id& name) {
    for (const auto& row : rows) {
        if (row.name == name) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

const trainer* document::find(const base::trainer_id& name) const {
    return find_row(trainers, name);
}

const pool* document::find(const base::pool_id& name) const {
    return find_row(pools, name);
}

const service* document::find(const base::service_id& name) const {
    return find_row(services, name);
}

} // namespace hibiscus::document
