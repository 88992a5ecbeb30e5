#include "pistachioquay/report.h"

namespace pistachioquay {

command_report makeReport(exit_code code, std::string text)
{
    command_report report;
    report.code = code;
    report.text = std::move(text);
    report.json = jsonObject();
    return report;
}

command_report reportFailure(const error &failure)
{
    command_report report = makeReport(exitCodeOf(failure.kind), describe(failure) + "\n");
    putText(report.json, "error", kindName(failure.kind));
    putText(report.json, "message", failure.message);
    putText(report.json, "remedy", failure.remedy);
    return report;
}

exit_code exitCodeOf(error_kind kind)
{
    switch (kind) {
    case error_kind::InvalidTree:
    case error_kind::Conflict:
        return exit_code::Rejected;
    case error_kind::InvalidArgument:
    case error_kind::InvalidSettings:
        return exit_code::Usage;
    case error_kind::NotFound:
    case error_kind::Unavailable:
    case error_kind::Timeout:
    case error_kind::Corrupt:
    case error_kind::UnreadableSchema:
    case error_kind::ResourceExhausted:
    case error_kind::Io:
    case error_kind::Internal:
        break;
    }
    return exit_code::Unavailable;
}

} // namespace pistachioquay
