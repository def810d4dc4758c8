#include "hibiscus/transport/headers.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace hibiscus::transport {

namespace {

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) {
                          return std::tolower(x) == std::tolower(y);
                      });
}

/// The hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that
/// describe the framing of a message.
constexpr std::array<std::string_view, 11> hop_by_hop_headers{
    "connection", "keep-alive", "proxy-connection", "te",   "transfer-encoding",
    "upgrade",    "trailer",    "content-length",   "host", "accept-encoding",
    "expect"};

} // namespace

bool has_name(const header& field, std::string_view name) {
    return equals_ignore_case(field.name, name);
}

const std::string* find_header(const headers& fields, std::string_view name) {
    for (const auto& field : fields) {
        if (has_name(field, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

void erase_headers(headers& fields, std::string_view name) {
    fields.erase(std::remove_if(
                     fields.begin(), fields.end(),
                     [&](const auto& field) { return has_name(field, name); }),
                 fields.end());
}

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [&](auto hop_by_hop_name) {
                           return equals_ignore_case(hop_by_hop_name, name);
                       });
}

} // namespace hibiscus::transport
