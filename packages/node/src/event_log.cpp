#include "event_log.hpp"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

namespace hibiscus::node {

namespace {

constexpr unsigned max_queued_lines = 8192;

log4cplus::LogLevel level_of(severity level) {
    switch (level) {
    case severity::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case severity::info:
        return log4cplus::INFO_LOG_LEVEL;
    case severity::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case severity::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

const char* name_of(severity level) {
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warn:
        return "warn";
    case severity::error:
        return "error";
    }
    return "info";
}

severity severity_of(const std::string& name) {
    for (const auto level :
         {severity::debug, severity::warn, severity::error}) {
        if (name == name_of(level)) {
            return level;
        }
    }
    return severity::info;
}

} // namespace

/// Owns the objects of the logging library.
class event_log::impl {
public:
    impl(const base::node_id& node, const std::string& min_level,
         base::clock clock)
        : node_(node.str()), clock_(std::move(clock)),
          logger_(log4cplus::Logger::getInstance(node.str())) {
        log4cplus::SharedAppenderPtr console(
            new log4cplus::ConsoleAppender(true, true));
        console->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        log4cplus::SharedAppenderPtr queue(
            new log4cplus::AsyncAppender(console, max_queued_lines));
        logger_.addAppender(queue);
        logger_.setAdditivity(false);
        logger_.setLogLevel(level_of(severity_of(min_level)));
    }

    ~impl() { logger_.closeNestedAppenders(); }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    bool is_enabled(severity level) const {
        return logger_.isEnabledFor(level_of(level));
    }

    void write(severity level, nlohmann::json line) {
        line["time_ms"] = clock_.wall_time();
        line["node"] = node_;
        line["level"] = name_of(level);
        logger_.log(level_of(level),
                    line.dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace));
    }

private:
    log4cplus::Initializer initializer_;
    std::string node_;
    base::clock clock_;
    log4cplus::Logger logger_;
};

event_log::event_log(const base::node_id& node, const std::string& min_level,
                     base::clock clock)
    : impl_(std::make_unique<impl>(node, min_level, std::move(clock))) {}

event_log::~event_log() = default;

void event_log::write_decision(const decision& record) {
    if (!impl_->is_enabled(severity::info)) {
        return;
    }
    impl_->write(severity::info, {{"event", "decision"},
                                  {"kind", record.kind},
                                  {"subject", record.subject},
                                  {"candidates", record.candidates},
                                  {"choice", record.choice},
                                  {"reason", record.reason}});
}

void event_log::event(severity level, const char* name,
                      const std::vector<log_field>& fields) {
    if (!impl_->is_enabled(level)) {
        return;
    }
    nlohmann::json line{{"event", name}};
    for (const auto& field : fields) {
        line[field.name] = field.is_number ? nlohmann::json(field.number)
                                           : nlohmann::json(field.text);
    }
    impl_->write(level, std::move(line));
}

} // namespace hibiscus::node
