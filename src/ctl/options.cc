#include "src/ctl/options.h"

#include <fmt/format.h>

namespace swiftloft::ctl {

Options::Options(const Command& command)
    : m_command(command)
    , m_options(fmt::format("swiftloft-ctl {}", command.name), std::string(command.summary))
{
    m_options.custom_help(fmt::format("{}[OPTION...]", command.operands.empty() ? "" : std::string(command.operands) + " "));
    m_options.add_options()("help", "print this text");
    m_options.add_options()("version", "print the version");
    m_options.add_options()("json", "print JSON for programs", cxxopts::value<bool>()->default_value("false"));
}

void Options::add(const std::string& name, const std::string& text, const std::shared_ptr<const cxxopts::Value>& value)
{
    m_options.add_options()(name, text, value);
}

bool Options::parse(const Arguments& arguments, const Console& console)
{
    std::vector<const char*> argv { "swiftloft-ctl" };
    for (auto& argument : arguments)
        argv.push_back(argument.c_str());
    try {
        m_result = m_options.parse(static_cast<int>(argv.size()), argv.data());
    } catch (const cxxopts::exceptions::exception& exception) {
        throw UsageError(exception.what());
    }
    m_operands = m_result.unmatched();
    if (m_result.count("help")) {
        console.out(m_options.help() + "\n");
        return false;
    }
    if (m_result.count("version")) {
        console.out("swiftloft-ctl " SWIFTLOFT_VERSION "\n");
        return false;
    }
    return true;
}

settings::Value Options::valueOf(const std::string& name, settings::ValueType type) const
{
    auto text = m_result[name].as<std::string>();
    auto value = settings::parseValue(type, text);
    if (!value)
        throw UsageError(fmt::format("--{}: found \"{}\", expected {}", name, text, value.error().message));
    return *value;
}

const Arguments& Options::operands(std::size_t least, std::size_t most) const
{
    if (m_operands.size() < least || m_operands.size() > most)
        throw UsageError(fmt::format("expected {} {}", m_command.name, m_command.operands));
    return m_operands;
}

} // namespace swiftloft::ctl
