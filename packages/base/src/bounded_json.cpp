#include "hibiscus/base/bounded_json.hpp"

#include <string>

namespace hibiscus::base {

namespace {

using nlohmann::json;

/// Stops decoding at input nested deeper than max_json_depth.
class depth_checker : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(std::int64_t) override { return true; }
    bool number_unsigned(std::uint64_t) override { return true; }
    bool number_float(double, const std::string&) override { return true; }
    bool string(std::string&) override { return true; }
    bool binary(json::binary_t&) override { return true; }
    bool start_object(std::size_t) override { return begin_level(); }
    bool key(std::string&) override { return true; }
    bool end_object() override { return end_level(); }
    bool start_array(std::size_t) override { return begin_level(); }
    bool end_array() override { return end_level(); }
    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override {
        return false;
    }

private:
    bool begin_level() { return ++depth_ <= max_json_depth; }
    bool end_level() {
        --depth_;
        return true;
    }

    int depth_ = 0;
};

} // namespace

bool is_nested_too_deeply(std::string_view text) {
    int depth = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (in_string) {
            n += c == '\\' ? 1 : 0;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

json parse_json(std::string_view text) {
    return is_nested_too_deeply(text) ? json(json::value_t::discarded)
                                      : json::parse(text, nullptr, false);
}

json parse_cbor(std::string_view bytes) {
    depth_checker checker;
    return json::sax_parse(bytes.begin(), bytes.end(), &checker,
                           json::input_format_t::cbor)
               ? json::from_cbor(bytes.begin(), bytes.end(), true, false)
               : json(json::value_t::discarded);
}

} // namespace hibiscus::base
