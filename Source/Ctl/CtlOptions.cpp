#include "Ctl/CtlOptions.h"

#include "Configuration/ConfigurationHead.h"
#include "Core/NameTable.h"
#include "Settings/SectionReader.h"

#include <fmt/format.h>

#include <algorithm>

namespace wisteriadock {

namespace {

    constexpr auto commandNames = makeNameTable<CtlCommand>({
        { CtlCommand::Apply, "apply" },
        { CtlCommand::Check, "check" },
        { CtlCommand::Diff, "diff" },
        { CtlCommand::Drain, "drain" },
        { CtlCommand::Get, "get" },
        { CtlCommand::Status, "status" },
        { CtlCommand::Undrain, "undrain" },
    });

    constexpr auto formatNames = makeNameTable<OutputFormat>({
        { OutputFormat::Text, "text" },
        { OutputFormat::Json, "json" },
    });

    // Leaves room for the "-N" attempt suffix that "drain" and "undrain" append to the apply id.
    constexpr std::size_t maxApplyIdLength = maxNameLength - 3;
    constexpr double maxDeadlineSeconds = 3600;

    Error usage(const std::string& expected) { return { ErrorCode::InvalidArgument, "expected " + expected }; }

    bool takesArgument(CtlCommand command) { return command != CtlCommand::Get && command != CtlCommand::Status; }

    bool needsPlatform(CtlCommand command) { return command != CtlCommand::Check && command != CtlCommand::Status; }

    bool isPrintable(std::string_view text)
    {
        return std::all_of(
            text.begin(), text.end(), [](unsigned char character) { return character >= ' ' && character < 0x7f; });
    }

    Result<CtlOptions> parseWords(const std::vector<std::string>& words)
    {
        CtlOptions options;
        const auto command = words.empty() ? std::nullopt : commandNames.value(words.front());
        if (!command)
            return usage("one of the commands apply, check, diff, drain, get, status, undrain");
        options.command = *command;
        if (words.size() != (takesArgument(*command) ? 2U : 1U))
            return usage(fmt::format(
                "{} after '{}'", takesArgument(*command) ? "one argument" : "no argument", nameOf(*command)));
        if (takesArgument(*command))
            options.argument = words.back();
        return options;
    }

    Result<void> parseAddresses(const CtlFlags& flags, CtlOptions& options)
    {
        if (!flags.platform.empty()) {
            BOOST_OUTCOME_TRY(platform, Endpoint::parse(flags.platform));
            options.platform = platform;
        }
        if (!flags.balancers.empty()) {
            BOOST_OUTCOME_TRY(balancers, parseEndpointList(flags.balancers));
            options.balancers = balancers;
        }
        if (needsPlatform(options.command) && !options.platform)
            return usage(fmt::format("--platform ADDRESS:PORT for '{}'", nameOf(options.command)));
        if (options.command == CtlCommand::Status && options.balancers.empty() && !options.platform)
            return usage("--balancers ADDRESS:PORT,... or --platform ADDRESS:PORT for 'status'");
        return boost::outcome_v2::success();
    }

}

std::string_view nameOf(CtlCommand command) { return commandNames.name(command); }

Result<CtlOptions> parseCtlOptions(const std::vector<std::string>& words, const CtlFlags& flags)
{
    BOOST_OUTCOME_TRY(options, parseWords(words));
    BOOST_OUTCOME_TRYV(parseAddresses(flags, options));
    const auto format = formatNames.value(flags.format);
    if (!format)
        return usage("--format text or json");
    if (!flags.applyId.empty() && (!isName(flags.applyId) || flags.applyId.size() > maxApplyIdLength))
        return usage(fmt::format("--apply_id of 1 to {} letters, digits, '-', '_' or '.'", maxApplyIdLength));
    if (flags.author.size() > maxAuthorLength || !isPrintable(flags.author))
        return usage(fmt::format("--author of at most {} printable ASCII characters", maxAuthorLength));
    // The negated form also rejects NaN.
    if (!(flags.deadlineSeconds > 0 && flags.deadlineSeconds <= maxDeadlineSeconds))
        return usage(fmt::format("--deadline_seconds above 0, at most {}", maxDeadlineSeconds));

    options.format = *format;
    options.applyId = flags.applyId;
    options.author = flags.author;
    if (flags.baseVersion >= 0)
        options.baseVersion = static_cast<std::uint64_t>(flags.baseVersion);
    options.aboveVersion = flags.aboveVersion;
    options.allowed = { flags.allowIdleService, flags.allowMovedAddress };
    options.allowUnreadableBase = flags.allowUnreadableBase;
    options.timeLimit = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(flags.deadlineSeconds));
    return std::move(options);
}

}
