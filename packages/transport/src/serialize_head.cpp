#include "serialize_head.hpp"

namespace hibiscus::transport {

std::string serialize_head(const upstream_request& request,
                           const base::endpoint& address) {
    std::string message =
        request.method + " " + request.target + " HTTP/1.1\r\n";
    if (find_header(request.fields, "host") == nullptr) {
        message += "Host: " + to_string(address) + "\r\n";
    }
    for (const auto& field : request.fields) {
        message += field.name;
        message += ": ";
        message += field.value;
        message += "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        message +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    message += "\r\n";
    return message;
}

} // namespace hibiscus::transport
