#include "hibiscus/settings/mapping_reader.hpp"

#include <fstream>
#include <sstream>

namespace hibiscus::settings {

base::result<YAML::Node, setting_errors> load_yaml(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return setting_errors{
            {setting_fault::unreadable, path, 0, "", "a readable file"}};
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
        return YAML::Load(text.str());
    } catch (const YAML::Exception& e) {
        return setting_errors{{setting_fault::not_yaml, path, e.mark.line + 1,
                               "", "valid YAML: " + e.msg}};
    }
}

std::string to_string(const setting_error& error) {
    return error.file + ":" + std::to_string(error.line) + ": " + error.key +
           ": " + std::string(base::name_of(error.fault)) + ", expected " +
           error.expected;
}

} // namespace hibiscus::settings
