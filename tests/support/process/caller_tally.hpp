#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_CALLER_TALLY_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_CALLER_TALLY_HPP

#include <map>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// What callers saw.
struct caller_tally {
    int sent = 0;
    std::map<int, int> countByStatus; ///< status 0: the connection broke before a whole answer
    std::vector<std::string> notRunIds; ///< requests refused as not run
    std::vector<std::string> unknownIds; ///< requests whose outcome is not known, or that got no whole answer
    std::vector<std::string> answeredIds; ///< requests with an upstream's answer
    int mismatchedAnswers = 0; ///< answers that belong to another request

    int count(int status) const
    {
        const auto found = countByStatus.find(status);
        return found == countByStatus.end() ? 0 : found->second;
    }
};

} // namespace flamingoroute::testing

#endif
