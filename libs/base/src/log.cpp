#include <barleyfork/base/log.hpp>

#include "bounded_writer.hpp"

#include <log4cplus/asyncappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <sstream>
#include <unistd.h>

namespace barleyfork {

namespace {

constexpr unsigned max_queued_lines = 8192;

std::unique_ptr<log4cplus::Initializer>& initializer()
{
    static std::unique_ptr<log4cplus::Initializer> instance;
    return instance;
}

log4cplus::LogLevel to_log4cplus_level(log_level level)
{
    constexpr log4cplus::LogLevel levels[] = {log4cplus::TRACE_LOG_LEVEL,
                                              log4cplus::DEBUG_LOG_LEVEL,
                                              log4cplus::INFO_LOG_LEVEL,
                                              log4cplus::WARN_LOG_LEVEL,
                                              log4cplus::ERROR_LOG_LEVEL};
    return levels[static_cast<std::size_t>(level)];
}

/// Passes formatted lines to a bounded writer on standard output.
class output_appender : public log4cplus::Appender
{
public:
    output_appender() : writer_(STDOUT_FILENO, writer_limits{}) {}

    ~output_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

    void flush()
    {
        writer_.flush();
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        writer_.push(line.str(),
                     event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL);
    }

private:
    bounded_writer writer_;
};

/// Creates the appender of a file or, if `file` is empty, of standard output.
/// `make_queue` adds the thread that writes to a file.
log4cplus::SharedAppenderPtr make_appender(const std::string& file)
{
    if (file.empty())
        return log4cplus::SharedAppenderPtr(new output_appender);
    return log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(file, std::ios_base::app));
}

log4cplus::SharedAppenderPtr
make_queue(const log4cplus::SharedAppenderPtr& appender, bool to_file)
{
    if (!to_file)
        return appender;
    return log4cplus::SharedAppenderPtr(
        new log4cplus::AsyncAppender(appender, max_queued_lines));
}

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void start_log(std::string_view level,
               const std::string& file,
               const std::string& instance)
{
    initializer() = std::make_unique<log4cplus::Initializer>();
    auto appender = make_appender(file);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "ts=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p instance=" + instance + " %m%n"));
    const auto queue = make_queue(appender, !file.empty());
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(queue);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(
        level == "trace"   ? "TRACE"
        : level == "debug" ? "DEBUG"
        : level == "warn"  ? "WARN"
        : level == "error" ? "ERROR"
                           : "INFO"));
}

void flush_log()
{
    if (!initializer())
        return;
    for (const auto& appender : log4cplus::Logger::getRoot().getAllAppenders())
        if (auto* output = dynamic_cast<output_appender*>(appender.get()))
            output->flush();
}

void stop_log()
{
    if (!initializer())
        return;
    log4cplus::Logger::shutdown();
    initializer().reset();
}

log_event::log_event(log_level level, std::string_view name)
    : level_(level), line_("event=")
{
    append_value(line_, name);
}

log_event::~log_event()
{
    if (!initializer())
        return;
    auto root = log4cplus::Logger::getRoot();
    const auto level = to_log4cplus_level(level_);
    if (root.isEnabledFor(level))
        root.forcedLog(level, line_);
}

log_event& log_event::with(std::string_view key, std::string_view value)
{
    line_ += ' ';
    line_ += key;
    line_ += '=';
    append_value(line_, value);
    return *this;
}

log_event& log_event::with(std::string_view key, std::int64_t value)
{
    return with(key, std::string_view(std::to_string(value)));
}

} // namespace barleyfork
