#pragma once

#include <swiftloft/settings/value.h>

#include "src/ctl/command.h"

#include <cxxopts.hpp>

#include <functional>
#include <optional>

namespace swiftloft::ctl {

/// Thrown for a wrong command line; `run` reports it with exit code 2.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The options of one command: the shared ones (`--help`, `--version`, `--json`) and its own.
class Options {
public:
    explicit Options(const Command& command);

    /// Adds an option of the command's own.
    void add(const std::string& name, const std::string& text, const std::shared_ptr<const cxxopts::Value>& value);

    /// Reads `arguments`. False when the command has nothing more to do because help or version was asked for.
    bool parse(const Arguments& arguments, const Console& console);

    bool isJson() const { return m_result["json"].as<bool>(); }
    const cxxopts::ParseResult& result() const { return m_result; }

    /// The value of an option, written as settings are; throws `UsageError`.
    settings::Value valueOf(const std::string& name, settings::ValueType type) const;

    /// The operands, of which there must be from `least` to `most`.
    const Arguments& operands(std::size_t least, std::size_t most) const;

private:
    const Command& m_command;
    cxxopts::Options m_options;
    cxxopts::ParseResult m_result;
    Arguments m_operands;
};

} // namespace swiftloft::ctl
