#include "flamingoroute/admin/client/ctl_command.hpp"

#include "flamingoroute/admin/client/ctl_groups.hpp"

#include <ostream>
#include <sstream>

namespace flamingoroute {

namespace {

std::vector<std::string> split(const std::string& words)
{
    std::istringstream stream(words);
    std::vector<std::string> result;
    std::string word;
    while (stream >> word)
        result.push_back(word);
    return result;
}

bool beginsWith(const std::vector<std::string>& words, const std::vector<std::string>& prefix)
{
    return words.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), words.begin());
}

std::vector<ctl_command> allCommands()
{
    std::vector<ctl_command> all;
    for (const auto& group : { objectCommands(), keyCommands(), moveCommands(), statusCommands() })
        all.insert(all.end(), group.begin(), group.end());
    return all;
}

} // namespace

const std::vector<ctl_command>& ctlCommands()
{
    static const std::vector<ctl_command> commands = allCommands();
    return commands;
}

std::string ctlUsage()
{
    std::string text = "flamingoctl COMMAND [FLAGS]\n\ncommands:\n";
    const std::size_t column = 30;
    for (const auto& command : ctlCommands()) {
        std::string call = "  " + command.words + " " + command.arguments;
        call.resize(std::max(call.size() + 1, column), ' ');
        text += call + command.help + "\n";
    }
    return text;
}

exit_code runCtl(const std::vector<std::string>& words, const admin_client& client, const ctl_options& options,
    std::ostream& out, std::ostream& progress)
{
    for (const auto& command : ctlCommands()) {
        const auto prefix = split(command.words);
        if (!beginsWith(words, prefix))
            continue;
        ctl_context context { client, options,
            { words.begin() + static_cast<std::ptrdiff_t>(prefix.size()), words.end() }, out, progress };
        if (context.arguments.size() == command.argumentCount)
            return command.run(context);
        progress << "usage: flamingoctl " << command.words << " " << command.arguments << "\n";
        return exit_code::usage;
    }
    progress << ctlUsage();
    return exit_code::usage;
}

} // namespace flamingoroute
