#include "hibiscus/base/response_rules.hpp"

#include <algorithm>
#include <cctype>

namespace hibiscus::base {

namespace {

constexpr unsigned switching_protocols = 101;
constexpr unsigned first_interim_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_final_status = 599;

constexpr unsigned first_version_with_codings = 11;
constexpr std::string_view chunked_coding = "chunked";

} // namespace

response_kind classify_status(unsigned status) {
    if (status < first_interim_status || status == switching_protocols ||
        status > last_final_status) {
        return response_kind::malformed;
    }
    return status < first_final_status ? response_kind::interim_response
                                       : response_kind::final_response;
}

bool has_folded_line(std::string_view head) {
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

bool is_readable_coding(std::string_view field_value, unsigned version) {
    return version >= first_version_with_codings &&
           std::equal(field_value.begin(), field_value.end(),
                      chunked_coding.begin(), chunked_coding.end(),
                      [](unsigned char a, unsigned char b) {
                          return std::tolower(a) == b;
                      });
}

} // namespace hibiscus::base
