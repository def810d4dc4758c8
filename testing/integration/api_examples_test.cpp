#include "support/test_cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

using nlohmann::json;

/// One request of docs/API.md and its documented response.
struct example {
    /// The stand-in program that receives the request; empty for an entry
    /// instance.
    std::string target;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    int status = 0;
    std::string expected;
};

constexpr const char* source_dir = HIBISCUS_SOURCE_DIR;

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Returns the fenced code blocks of `page` in the language http, each as a
/// pair of the words after the language and the content.
std::vector<std::pair<std::string, std::string>>
http_blocks(const std::string& page) {
    std::vector<std::pair<std::string, std::string>> blocks;
    std::istringstream lines(page);
    std::string line;
    bool inside = false;
    while (std::getline(lines, line)) {
        if (inside && line == "```") {
            inside = false;
        } else if (inside) {
            blocks.back().second += line + "\n";
        } else if (line.rfind("```http", 0) == 0) {
            inside = true;
            blocks.emplace_back(line.substr(7), "");
        }
    }
    return blocks;
}

/// Splits a block into its start line, its content type and its body.
void split_block(const std::string& block, std::string& start_line,
                 std::string& content_type, std::string& body) {
    std::istringstream lines(block);
    std::string line;
    const std::string header = "Content-Type: ";
    std::getline(lines, start_line);
    while (std::getline(lines, line) && !line.empty()) {
        if (line.rfind(header, 0) == 0) {
            content_type = line.substr(header.size());
        }
    }
    std::string separator;
    while (std::getline(lines, line)) {
        body += separator + line;
        separator = "\n";
    }
}

std::vector<example> parse_examples(const std::string& page) {
    const auto blocks = http_blocks(page);
    std::vector<example> examples;
    for (std::size_t i = 0; i + 1 < blocks.size(); i += 2) {
        example e;
        e.target = blocks[i].first.empty() ? "" : blocks[i].first.substr(1);
        std::string start_line;
        split_block(blocks[i].second, start_line, e.content_type, e.body);
        e.method = start_line.substr(0, start_line.find(' '));
        e.path = start_line.substr(start_line.find(' ') + 1);
        std::string unused_content_type;
        split_block(blocks[i + 1].second, start_line, unused_content_type,
                    e.expected);
        e.status =
            std::atoi(start_line.substr(start_line.find(' ') + 1).c_str());
        examples.push_back(e);
    }
    return examples;
}

/// Returns true for fields whose values differ between runs; only the types of
/// these are compared.
bool is_variable_field(const std::string& key) {
    static const std::set<std::string> keys{
        "node", "zone",    "address", "home",     "engine",        "text",
        "seq",  "version", "engines", "document", "slot",          "running",
        "data", "ttl_ms",  "queued",  "attempt",  "retry_after_ms"};
    return keys.count(key) != 0;
}

/// Returns the first difference between `actual` and `expected`, or "" if they
/// match.
std::string find_difference(const json& expected, const json& actual,
                            const std::string& path, const std::string& key) {
    if (expected.is_object()) {
        for (const auto& [name, value] : expected.items()) {
            auto field_path = path;
            field_path.append("/").append(name);
            if (!actual.is_object() || !actual.contains(name)) {
                return field_path + " is missing";
            }
            auto difference =
                find_difference(value, actual[name], field_path, name);
            if (!difference.empty()) {
                return difference;
            }
        }
        return "";
    }
    if (expected.is_array()) {
        if (!actual.is_array() || expected.empty() != actual.empty()) {
            return path +
                   " is not an array, or only one of the arrays is empty";
        }
        return expected.empty()
                   ? ""
                   : find_difference(expected[0], actual[0], path, key);
    }
    const bool same_type =
        (expected.is_number() && actual.is_number()) ||
        std::string(expected.type_name()) == actual.type_name();
    const bool compares_type_only = is_variable_field(key) || expected == "...";
    const bool matches = compares_type_only ? same_type : expected == actual;
    return matches ? "" : path + " is " + actual.dump();
}

/// A cluster of three nodes with the backend servers that
/// examples/cascadia.json names.
class api_examples_test : public ::testing::Test {
protected:
    api_examples_test() : cluster_(build_dir), client_({{"127.0.0.1", 1}}) {
        cluster_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            cluster_.start_node(std::string("127.0.0.") + zone,
                                std::string("z") + zone);
        }
        engine_ = cluster_.start_engine("job-tagging", "z1");
        cluster_.start_engine("job-tagging", "z2");
        service_ = cluster_.start_service("balance", "z1");
        cluster_.start_service("ledger", "z2");
        cluster_.send_request("weights", "PUT", "/v1/weights/job-tagger/1",
                              "{}");
    }

    base::endpoint address_of(const std::string& target) {
        if (target.empty()) {
            return cluster_.entry_addresses().front();
        }
        if (target == "engine") {
            return cluster_.address_of(engine_);
        }
        return cluster_.address_of(target == "service" ? service_ : target);
    }

    /// Sends the request of `e` and returns how the response differs from the
    /// documented one, or "" if it matches.
    std::string check_response(const example& e) {
        net::http_request request;
        request.method = e.method;
        request.target = e.path;
        request.content_type = e.content_type;
        request.body = e.body;
        const std::string placeholder = "$NOW_MS";
        const auto placeholder_offset = request.body.find(placeholder);
        if (placeholder_offset != std::string::npos) {
            request.body.replace(placeholder_offset, placeholder.size(),
                                 std::to_string(base::clock().wall_time()));
        }
        const auto result =
            client_.send_to(address_of(e.target), request, 10000);
        const auto* response = std::get_if<net::http_response>(&result);
        if (response == nullptr) {
            return "no response";
        }
        if (response->status != e.status) {
            return std::to_string(response->status) + " " + response->body;
        }
        const auto expected = json::parse(e.expected, nullptr, false);
        if (expected.is_discarded()) {
            return response->body.rfind(e.expected, 0) == 0 ? ""
                                                            : response->body;
        }
        const auto actual = json::parse(response->body, nullptr, false);
        const auto difference = find_difference(expected, actual, "", "");
        return difference.empty() ? "" : difference + " in " + response->body;
    }

    test_cluster cluster_;
    entry_client client_;
    std::string engine_;
    std::string service_;
};

TEST_F(api_examples_test, every_example_gets_the_documented_response) {
    ASSERT_EQ(cluster_.publish_document(read_file(std::string(source_dir) +
                                                  "/examples/cascadia.json")),
              0);
    ASSERT_TRUE(cluster_.wait_until_ready());
    const auto examples =
        parse_examples(read_file(std::string(source_dir) + "/docs/API.md"));
    ASSERT_GE(examples.size(), 25U);
    for (const auto& e : examples) {
        // The instance list may lag and weights may still be loading, so each
        // request is retried until its response matches.
        std::string difference;
        eventually([&] { return (difference = check_response(e)).empty(); },
                   20000);
        EXPECT_EQ(difference, "")
            << e.target << " " << e.method << " " << e.path << "\n"
            << e.body;
    }
}

TEST_F(api_examples_test, the_example_documents_are_valid) {
    for (const char* name : {"cascadia", "veritas"}) {
        const auto [code, output] =
            cluster_.run_ctl({"validate", std::string(source_dir) +
                                              "/examples/" + name + ".json"});
        EXPECT_EQ(code, 0) << output;
    }
}

TEST_F(api_examples_test, the_example_settings_are_accepted) {
    process check(
        {build_dir + "/packages/node/hibiscusd", "--check",
         "--settings=" + std::string(source_dir) + "/examples/hibiscusd.yaml"},
        cluster_.file_path("check.out"));
    EXPECT_EQ(check.wait_for_exit(20000), 0) << check.output();
}

} // namespace
} // namespace hibiscus::testing
